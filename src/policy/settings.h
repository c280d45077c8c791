// The settings of a gateway as the policy reads them: a flat map of names to values. src/core/settings.h
// makes it from the operators' JSON. Times are in milliseconds.
#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace firvalve {

using SettingValue = std::variant<double, std::string>;
using Settings = std::map<std::string, SettingValue>;

// The number of that name, or `otherwise` if it is missing or not a number.
double number(const Settings& settings, const std::string& name, double otherwise = 0);
// The text of that name, or an empty one.
std::string text(const Settings& settings, const std::string& name);
// A list of texts, stored as NAME.0, NAME.1 and so on.
std::vector<std::string> texts(const Settings& settings, const std::string& name);

}  // namespace firvalve
