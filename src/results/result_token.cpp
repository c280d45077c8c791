#include "results/result_token.h"

#include <sys/random.h>

#include <stdexcept>

namespace firvalve::results {

ResultToken new_token() {
  ResultToken token;
  if (::getrandom(token.data(), token.size(), 0) != static_cast<ssize_t>(token.size()))
    throw std::runtime_error("the system gives no random numbers");
  return token;
}

std::string to_hex(const ResultToken& token) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const uint8_t b : token) text += {kDigits[b >> 4], kDigits[b & 15]};
  return text;
}

std::optional<ResultToken> parse_token(std::string_view hex) {
  ResultToken token;
  if (hex.size() != 2 * token.size()) return std::nullopt;
  const auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  for (size_t i = 0; i < token.size(); ++i) {
    const int high = digit(hex[2 * i]), low = digit(hex[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    token[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return token;
}

bool equal_in_constant_time(const ResultToken& a, const ResultToken& b) {
  uint8_t differs = 0;
  for (size_t i = 0; i < a.size(); ++i) differs = static_cast<uint8_t>(differs | (a[i] ^ b[i]));
  return differs == 0;
}

}  // namespace firvalve::results
