// Gateway settings as the policy reads them: a flat map from key to value (setting_keys.h), built from the
// operators' JSON by core/settings.h. Times are in milliseconds.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace firvalve {

using SettingValue = std::variant<double, std::string>;
using Settings = std::map<std::string, SettingValue>;

// Returns a numeric setting, or `fallback` if it is missing or not a number.
double number_setting(const Settings& settings, const std::string& name, double fallback = 0);
// Returns a text setting, or an empty string if it is missing or not a text.
std::string text_setting(const Settings& settings, const std::string& name);
// Returns a list of texts, stored as NAME.0, NAME.1 and so on.
std::vector<std::string> text_list_setting(const Settings& settings, const std::string& name);

}  // namespace firvalve
