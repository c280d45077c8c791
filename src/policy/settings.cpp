#include "policy/settings.h"

namespace firvalve {

double number(const Settings& settings, const std::string& name, double otherwise) {
  const auto at = settings.find(name);
  const double* const value = at == settings.end() ? nullptr : std::get_if<double>(&at->second);
  return value ? *value : otherwise;
}

std::string text(const Settings& settings, const std::string& name) {
  const auto at = settings.find(name);
  const std::string* const value = at == settings.end() ? nullptr : std::get_if<std::string>(&at->second);
  return value ? *value : std::string();
}

std::vector<std::string> texts(const Settings& settings, const std::string& name) {
  std::vector<std::string> all;
  for (int i = 0; settings.count(name + "." + std::to_string(i)); ++i)
    all.push_back(text(settings, name + "." + std::to_string(i)));
  return all;
}

}  // namespace firvalve
