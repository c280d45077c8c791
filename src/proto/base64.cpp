#include "proto/base64.h"

#include <array>
#include <cstdint>

namespace firvalve::proto {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<int8_t, 256> make_decode_table() {
  std::array<int8_t, 256> all{};
  for (int8_t& v : all) v = -1;
  for (size_t i = 0; i < kAlphabet.size(); ++i)
    all[static_cast<unsigned char>(kAlphabet[i])] = static_cast<int8_t>(i);
  return all;
}
constexpr std::array<int8_t, 256> kDecodeTable = make_decode_table();

}  // namespace

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') ++padding;
  std::string bytes;
  bytes.reserve(text.size() / 4 * 3);
  uint32_t bits = 0;
  for (size_t i = 0; i < text.size() - padding; ++i) {
    const int8_t value = kDecodeTable[static_cast<unsigned char>(text[i])];
    if (value < 0) return std::nullopt;
    bits = (bits << 6) | static_cast<uint32_t>(value);
    if (i % 4 > 0) bytes.push_back(static_cast<char>(bits >> (6 - 2 * (i % 4))));
  }
  return bytes;
}

void append_base64(std::string& out, std::string_view bytes) {
  out.reserve(out.size() + (bytes.size() + 2) / 3 * 4);
  const auto at = [&](size_t i) {
    return i < bytes.size() ? static_cast<uint32_t>(static_cast<unsigned char>(bytes[i])) : 0;
  };
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const uint32_t bits = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    out += kAlphabet[bits >> 18];
    out += kAlphabet[bits >> 12 & 63];
    out += i + 1 < bytes.size() ? kAlphabet[bits >> 6 & 63] : '=';
    out += i + 2 < bytes.size() ? kAlphabet[bits & 63] : '=';
  }
}

}  // namespace firvalve::proto
