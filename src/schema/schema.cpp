#include "schema/schema.h"

#include <algorithm>

namespace firvalve::schema {

const Field* Schema::find(uint32_t number) const {
  const auto found =
      std::lower_bound(fields.begin(), fields.end(), number,
                       [](const Field& field, uint32_t wanted) { return field.number < wanted; });
  return found != fields.end() && found->number == number ? &*found : nullptr;
}

const Version* Topic::find(uint32_t number) const {
  const auto found = std::find_if(versions.begin(), versions.end(),
                                  [&](const Version& version) { return version.number == number; });
  return found != versions.end() ? &*found : nullptr;
}

}  // namespace firvalve::schema
