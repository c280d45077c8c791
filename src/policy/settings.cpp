// Typed access to the settings map.
#include "policy/settings.h"

namespace firvalve {

double number_setting(const Settings& settings, const std::string& name, double fallback) {
  const auto at = settings.find(name);
  const double* const value = at == settings.end() ? nullptr : std::get_if<double>(&at->second);
  return value ? *value : fallback;
}

std::string text_setting(const Settings& settings, const std::string& name) {
  const auto at = settings.find(name);
  const std::string* const value = at == settings.end() ? nullptr : std::get_if<std::string>(&at->second);
  return value ? *value : std::string();
}

std::vector<std::string> text_list_setting(const Settings& settings, const std::string& name) {
  std::vector<std::string> all;
  for (int i = 0; settings.count(name + "." + std::to_string(i)); ++i)
    all.push_back(text_setting(settings, name + "." + std::to_string(i)));
  return all;
}

}  // namespace firvalve
