// The protocol of the event bus: numbered events, one JSON object per line, and once per second a heartbeat
// line with only the last offset. The bus sends `{"offset":41}`; a bare `41` is accepted as well.
#pragma once

#include <rapidjson/document.h>

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/events.h"
#include "proto/read_buffer.h"

namespace firvalve::proto {

// The bus counts as lost after this time without a line: two heartbeats were missed.
constexpr Duration kBusReadTimeout = std::chrono::milliseconds(2200);
constexpr size_t kMaxBusLineBytes = size_t{1024} * 1024;  // holds a list of thousands of engines

struct BusListing {
  std::string name, address;
  EngineInfo listing;  // without the engine id, which the receiver assigns
};
struct BusEvent {
  int64_t offset = 0;
  bool full = false;
  std::vector<BusListing> listings;
};

// Takes the next line from the buffer, without the line feed.
ReadResult next_line(ReadBuffer& in, std::span<char>& line);
// Parses a line. A heartbeat becomes an event without listings. Empty: the line is malformed.
std::optional<BusEvent> read_bus_line(std::span<char> line);
std::optional<BusEvent> read_bus_event(const rapidjson::Value& event);
// The request line that asks for all events after last_offset.
std::string bus_request(int64_t last_offset);

}  // namespace firvalve::proto
