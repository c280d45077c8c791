// Conversion between a command id as text and CommandId, the policy's fixed-size type.
#pragma once

#include <algorithm>
#include <string_view>

#include "policy/events.h"

namespace firvalve {

// Truncates a longer text and pads a shorter one with zero bytes.
inline CommandId command_id_of(std::string_view text) {
  CommandId id;
  std::copy_n(text.begin(), std::min(text.size(), id.text.size()), id.text.begin());
  return id;
}

// The view is valid for the lifetime of `id`.
inline std::string_view view_of(const CommandId& id) { return {id.text.data(), id.text.size()}; }

struct CommandIdLess {
  bool operator()(const CommandId& one, const CommandId& other) const { return one.text < other.text; }
};

}  // namespace firvalve
