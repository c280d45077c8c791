// Ids of commands, as texts and as the policy's type.
#pragma once

#include <algorithm>
#include <string_view>

#include "policy/events.h"

namespace firvalve {

// Texts longer than an id are cut, shorter ones filled up with zero bytes.
inline CommandId command_id_of(std::string_view text) {
  CommandId id;
  std::copy_n(text.begin(), std::min(text.size(), id.text.size()), id.text.begin());
  return id;
}

// Good for as long as the id lives.
inline std::string_view view_of(const CommandId& id) { return {id.text.data(), id.text.size()}; }

struct CommandIdLess {
  bool operator()(const CommandId& one, const CommandId& other) const { return one.text < other.text; }
};

}  // namespace firvalve
