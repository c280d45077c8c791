// The reader of what a gateway is told at start, shared by the gateway and the drill: nested JSON of the
// operators' names to a flat map of ours, in our units.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <vector>

#include "policy/settings.h"

namespace firvalve {

Settings parse_settings(const rapidjson::Value& json);
std::vector<std::string> names_of(const Settings& settings, const std::string& list);

}  // namespace firvalve
