// Base64 encoding and decoding, with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace firvalve::proto {

std::optional<std::string> from_base64(std::string_view text);  // empty: the text is not valid base64
void append_base64(std::string& out, std::string_view bytes);

}  // namespace firvalve::proto
