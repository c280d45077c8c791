// Checks whether a version can be added or retired, or a declaration can be made. Pure functions: the same
// topic and proposal give the same verdict on every gateway, independent of the order of declarations. Adding
// a declaration never removes a violation.
#pragma once

#include "schema/schema.h"
#include "schema/violation.h"

namespace firvalve::schema {

Verdict check_new_version(const Topic& topic, const Schema& proposed);
Verdict check_retirement(const Topic& topic, uint32_t version);
Verdict check_declaration(const Topic& topic, const Declaration& declaration);

}  // namespace firvalve::schema
