#include "results/result_token.h"

#include <sys/random.h>

#include <stdexcept>

namespace firvalve::results {
namespace {

std::optional<uint8_t> parse_digit(char digit) {
  if (digit >= '0' && digit <= '9') return static_cast<uint8_t>(digit - '0');
  if (digit >= 'a' && digit <= 'f') return static_cast<uint8_t>(digit - 'a' + 10);
  return std::nullopt;
}

}  // namespace

ResultToken generate_token() {
  ResultToken token;
  if (::getrandom(token.data(), token.size(), 0) != static_cast<ssize_t>(token.size()))
    throw std::runtime_error("the system's random source failed");
  return token;
}

std::string to_hex(const ResultToken& token) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const uint8_t byte : token) text += {kDigits[byte >> 4], kDigits[byte & 15]};
  return text;
}

std::optional<ResultToken> parse_token(std::string_view hex) {
  ResultToken token;
  if (hex.size() != 2 * token.size()) return std::nullopt;
  for (size_t i = 0; i < token.size(); ++i) {
    const auto high = parse_digit(hex[2 * i]), low = parse_digit(hex[2 * i + 1]);
    if (!high || !low) return std::nullopt;
    token[i] = static_cast<uint8_t>(*high * 16 + *low);
  }
  return token;
}

bool equal_in_constant_time(const ResultToken& left, const ResultToken& right) {
  uint8_t difference = 0;
  for (size_t i = 0; i < left.size(); ++i)
    difference = static_cast<uint8_t>(difference | (left[i] ^ right[i]));
  return difference == 0;
}

}  // namespace firvalve::results
