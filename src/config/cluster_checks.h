// Checks of the section `fleet` that involve more than one field, or the format of a value: whether the
// section describes a working cluster.
#pragma once

#include "config/operator_config.h"

namespace firvalve::config {

// Adds a diagnostic for each error. Does not check a section that is switched off.
void check_cluster_section(ParsedConfig& config);

}  // namespace firvalve::config
