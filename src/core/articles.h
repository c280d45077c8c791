// The reader of what a gateway is told at start, shared by the gateway and the drill: nested JSON of the
// operators' names to a flat map of ours, in our units.
#pragma once

#include <rapidjson/document.h>

#include <string>
#include <vector>

#include "policy/rules.h"

namespace firvalve {

Articles articles_from(const rapidjson::Value& settings);
std::vector<std::string> names_of(const Articles& articles, const std::string& list);

}  // namespace firvalve
