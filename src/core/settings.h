// Parses the start-up settings of a gateway. The deploy file and the simulator's START event hold them as
// nested JSON with the operators' names; here they become a flat map with the internal keys
// (policy/setting_keys.h) and units.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <vector>

#include "policy/settings.h"

namespace firvalve {

// No setting is required: members that are unknown, absent or of a type that no setting has are ignored.
Settings parse_settings(const rapidjson::Value& json);

// The names of the profiles (`list` = setting::kProfiles) or tenants (setting::kTenants), in settings order.
std::vector<std::string> names_of(const Settings& settings, const std::string& list);

}  // namespace firvalve
