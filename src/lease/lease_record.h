// LeaseRecord: what is stored in the register under a lease's name. Who holds the lease, under which epoch
// and for how long, and the application's state that is passed from holder to holder.
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
  uint64_t epoch = 0;           // fencing token: grows with every new holder; 0: never held
  std::string holder;           // the address at which its peers reach it
  Incarnation incarnation = 0;  // of the holder's process
  Duration duration{};          // counted by the holder from before it proposed the record
  bool is_released = false;     // the holder acts no more
  std::string state;            // of the application, opaque here
  bool operator==(const LeaseRecord&) const = default;
};

std::string encode(const LeaseRecord& record);
// None: the bytes are no lease record.
std::optional<LeaseRecord> decode_lease_record(std::string_view bytes);

}  // namespace firvalve::lease
