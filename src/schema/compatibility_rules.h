// Whether one reader can be served across two versions of a schema.
#pragma once

#include <vector>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

// What keeps messages published as `from` from being given to the reader as `to`; only fields that it reads
// count. Violations name no readers. Empty: nothing.
std::vector<Violation> find_incompatibilities(const Schema& from, const Schema& to,
                                              const Declaration& reader);

}  // namespace firvalve::schema
