// Whether a schema is sound in itself, whoever reads it.
#pragma once

#include <vector>

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

// All of them are Rule::kMalformed.
std::vector<Violation> find_contradictions(const Schema& schema);

}  // namespace firvalve::schema
