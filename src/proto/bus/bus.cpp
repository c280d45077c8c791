#include "proto/bus/bus.h"

#include "proto/json.h"

namespace firvalve::proto {
namespace {

using rapidjson::Value;

std::string string_member(const Value& object, const char* name) {
  const Value* value = find_member(object, name);
  return value && value->IsString() ? std::string(value->GetString(), value->GetStringLength())
                                    : std::string();
}

bool read_listing(const Value& server, BusListing& out) {
  if (!server.IsObject()) return false;
  out.name = string_member(server, "id");
  out.address = string_member(server, "addr");
  EngineInfo& info = out.listing;
  info.zone = string_member(server, "zone");
  info.machine_type = string_member(server, "kind");
  const std::string state = string_member(server, "state");
  if (out.name.empty()) return false;
  if (state == "SERVING") {
    info.state = EngineState::kReady;
  } else if (state == "DRAINING") {
    info.state = EngineState::kDraining;
  } else if (state == "DELETED") {
    info.state = EngineState::kRemoved;
  } else {
    return false;
  }
  if (const Value* cell = find_member(server, "cell"); cell && cell->IsInt()) info.cell = cell->GetInt();
  if (const Value* started_ms = find_member(server, "started_ms");
      started_ms && started_ms->IsNumber() && started_ms->GetDouble() > 0)
    info.started_at = time_point_of(started_ms->GetDouble());
  return true;
}

}  // namespace

ReadResult next_line(ReadBuffer& in, std::span<char>& line) {
  const size_t end = in.text().find('\n');
  if (end == std::string_view::npos)
    return in.text().size() > kMaxBusLineBytes ? ReadResult::kMalformed : ReadResult::kIncomplete;
  line = in.unread().first(end);
  in.consume(end + 1);
  return ReadResult::kComplete;
}

std::optional<BusEvent> read_bus_event(const Value& event) {
  if (!event.IsObject()) return std::nullopt;
  const Value* offset = find_member(event, "offset");
  const Value* topology = find_member(event, "topology");
  if (!offset || !offset->IsInt64() || !topology || !topology->IsObject()) return std::nullopt;
  const Value* servers = find_member(*topology, "servers");
  if (!servers || !servers->IsArray()) return std::nullopt;
  BusEvent out;
  out.offset = offset->GetInt64();
  const Value* full = find_member(*topology, "full");
  out.full = full && full->IsTrue();
  for (const Value& server : servers->GetArray())
    if (!read_listing(server, out.listings.emplace_back())) return std::nullopt;
  return out;
}

std::optional<BusEvent> read_bus_line(std::span<char> line) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
  if (document.HasParseError()) return std::nullopt;
  const Value* offset = document.IsObject() ? find_member(document, "offset") : &document;
  if (offset && offset->IsInt64() && (!document.IsObject() || document.MemberCount() == 1)) {
    BusEvent heartbeat;
    heartbeat.offset = offset->GetInt64();
    return heartbeat;
  }
  return read_bus_event(document);
}

std::string bus_request(int64_t last_offset) { return "from " + std::to_string(last_offset) + "\n"; }

}  // namespace firvalve::proto
