// LeaseRecord: the value of the register whose key is the lease's name. It states who holds the lease, under
// which epoch and for how long, and carries the application's state from one holder to the next.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/register.h"

namespace firvalve::lease {

using namespace std::chrono_literals;
using consensus::BootTime;
using consensus::Incarnation;
using consensus::kImmediately;

struct LeaseRecord {
  uint64_t epoch = 0;           // fencing token: increases with every acquisition; 0: never held
  std::string holder;           // address at which peers reach the holder
  Incarnation incarnation = 0;  // of the holder's process
  Duration duration{};          // the holder counts it from before it proposed the record
  bool is_released = false;     // the holder has given up the lease
  std::string state;            // application state, opaque to the lease package
  bool operator==(const LeaseRecord&) const = default;
};

std::string encode(const LeaseRecord& record);
// Returns nothing if the bytes are not a valid lease record.
std::optional<LeaseRecord> decode_lease_record(std::string_view bytes);

}  // namespace firvalve::lease
