// The group of tables that a statement reads or writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace firvalve::proto {

// The number behind the underscore in the name of the schema (17 in `sales_17.orders`), past strings,
// comments and the schema `staging`, if there is one.
std::optional<int64_t> table_group(std::string_view statement);

}  // namespace firvalve::proto
