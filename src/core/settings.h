// The settings of a gateway at start, as the deploy file and the simulator's START event hold them: nested
// JSON under the operators' names, read into a flat map under ours (policy/setting_keys.h) and in our units.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <vector>

#include "policy/settings.h"

namespace firvalve {

// Nothing is required of the settings here: members that are unknown, absent or of another type than any
// setting has are passed over.
Settings parse_settings(const rapidjson::Value& json);

// The names of the profiles (setting::kProfiles) or tenants (setting::kTenants), in their order.
std::vector<std::string> names_of(const Settings& settings, const std::string& list);

}  // namespace firvalve
