// The token with which a client reads a stored result. Whoever knows the token can read the result, but a
// result that was stored with a client's key also requires that key.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

using ResultToken = std::array<uint8_t, 16>;

// Returns 128 bits from the system's random source. Throws std::runtime_error if that fails.
ResultToken generate_token();
// Returns 32 lower-case hex digits, as on the wire.
std::string to_hex(const ResultToken& token);
// Returns nothing if the text is not 32 lower-case hex digits.
std::optional<ResultToken> parse_token(std::string_view hex);
// Compares in constant time, to prevent timing attacks on a token.
bool equal_in_constant_time(const ResultToken& left, const ResultToken& right);

}  // namespace firvalve::results
