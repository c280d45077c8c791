// The token that a client reads a stored result by: whoever knows it may read the result.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

using ResultToken = std::array<uint8_t, 16>;

// 128 bits from the system's random source. Throws std::runtime_error if the system gives none.
ResultToken generate_token();
// 32 lower-case hex digits, as on the wire.
std::string to_hex(const ResultToken& token);
// Nothing if the text is not 32 lower-case hex digits.
std::optional<ResultToken> parse_token(std::string_view hex);
// Its running time does not depend on the contents, so that it tells nothing about a token.
bool equal_in_constant_time(const ResultToken& one, const ResultToken& other);

}  // namespace firvalve::results
