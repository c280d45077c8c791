// Checks that a schema is valid in itself, independent of its readers and of earlier versions.
#pragma once

#include <vector>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

// All violations have Rule::kMalformed.
std::vector<Violation> find_schema_errors(const Schema& schema);

}  // namespace firvalve::schema
