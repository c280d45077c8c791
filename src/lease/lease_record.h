// What stands in the record under a duty's name: who holds it, under which epoch, for how long at a time, and
// the state that goes from holder to holder.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"

namespace firvalve::lease {

struct LeaseRecord {
  uint64_t epoch = 0;     // grows with every new holder; 0: never held
  std::string holder;     // the address that its peers reach it at
  uint64_t life = 0;      // of the holder's process
  Ms lease = 0;           // counted by the holder from before it asked for it
  bool released = false;  // its holder acts no more
  std::string state;
  bool operator==(const LeaseRecord&) const = default;
};

std::string written(const LeaseRecord& claim);
std::optional<LeaseRecord> read_claim(std::string_view bytes);  // none: it is no claim

}  // namespace firvalve::lease
