// The token that a client reads a stored result by.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

// 128 bits from the system's random source, as 32 hex digits on the wire.
using ResultToken = std::array<uint8_t, 16>;
ResultToken new_token();  // throws std::runtime_error where the system gives none
std::string to_hex(const ResultToken& token);
std::optional<ResultToken> parse_token(std::string_view hex);
bool equal_in_constant_time(const ResultToken& a,
                            const ResultToken& b);  // takes the same time whatever they hold

}  // namespace firvalve::results
