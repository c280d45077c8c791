// What no field of the section `fleet` shows by itself: whether the section makes a working cluster.
#pragma once

#include "config/operator_config.h"

namespace firvalve::config {

// Adds a diagnostic for each thing that is wrong. A section that is switched off is not looked at.
void check_cluster_section(ParsedConfig& config);

}  // namespace firvalve::config
