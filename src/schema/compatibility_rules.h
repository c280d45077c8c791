// The rules that decide whether one reader can be served across two versions of a schema.
#pragma once

#include <vector>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

// Returns the reasons why messages published under `from` cannot be converted to `to` for the reader; empty
// if they can. Only fields that the reader reads count. The violations list no readers.
std::vector<Violation> find_incompatibilities(const Schema& from, const Schema& to,
                                              const Declaration& reader);

}  // namespace firvalve::schema
