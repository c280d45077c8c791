#include "schema/schema.h"

#include <algorithm>

namespace firvalve::schema {

const Field* Schema::find(uint32_t number) const {
  const auto at = std::lower_bound(fields.begin(), fields.end(), number,
                                   [](const Field& field, uint32_t wanted) { return field.number < wanted; });
  return at != fields.end() && at->number == number ? &*at : nullptr;
}

const Version* Topic::find(uint32_t number) const {
  const auto at = std::find_if(versions.begin(), versions.end(),
                               [&](const Version& version) { return version.number == number; });
  return at != versions.end() ? &*at : nullptr;
}

}  // namespace firvalve::schema
