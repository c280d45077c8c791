// Finds the table group that an SQL statement reads or writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace firvalve::proto {

// Returns the number after the underscore in the first schema name that has one (17 in `sales_17.orders`).
// Skips string literals, comments and the schema `staging`. Empty: the statement names no such schema.
std::optional<int64_t> table_group(std::string_view statement);

}  // namespace firvalve::proto
