#include "proto/bus/bus.h"

#include "proto/json.h"

namespace firvalve::proto {
namespace {

using rapidjson::Value;

std::string text_of(const Value& v, const char* name) {
  const Value* text = member(v, name);
  return text && text->IsString() ? std::string(text->GetString(), text->GetStringLength()) : std::string();
}

bool read_listing(const Value& v, BusListing& out) {
  if (!v.IsObject()) return false;
  out.name = text_of(v, "id");
  out.address = text_of(v, "addr");
  EngineInfo& l = out.listing;
  l.zone = text_of(v, "zone");
  l.machine_type = text_of(v, "kind");
  const std::string state = text_of(v, "state");
  if (out.name.empty()) return false;
  if (state == "SERVING") {
    l.state = EngineState::kReady;
  } else if (state == "DRAINING") {
    l.state = EngineState::kDraining;
  } else if (state == "DELETED") {
    l.state = EngineState::kRemoved;
  } else {
    return false;
  }
  if (const Value* cell = member(v, "cell"); cell && cell->IsInt()) l.cell = cell->GetInt();
  if (const Value* born = member(v, "started_ms"); born && born->IsNumber() && born->GetDouble() > 0)
    l.started_at = time_point_of(born->GetDouble());
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
  const Value* offset = member(event, "offset");
  const Value* topology = member(event, "topology");
  if (!offset || !offset->IsInt64() || !topology || !topology->IsObject()) return std::nullopt;
  const Value* servers = member(*topology, "servers");
  if (!servers || !servers->IsArray()) return std::nullopt;
  BusEvent out;
  out.offset = offset->GetInt64();
  const Value* full = member(*topology, "full");
  out.full = full && full->IsTrue();
  for (const Value& server : servers->GetArray())
    if (!read_listing(server, out.listings.emplace_back())) return std::nullopt;
  return out;
}

std::optional<BusEvent> read_bus_line(std::span<char> line) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
  if (document.HasParseError()) return std::nullopt;
  const Value* offset = document.IsObject() ? member(document, "offset") : &document;
  if (offset && offset->IsInt64() && (!document.IsObject() || document.MemberCount() == 1)) {
    BusEvent last;
    last.offset = offset->GetInt64();
    return last;
  }
  return read_bus_event(document);
}

std::string bus_request(int64_t last) { return "from " + std::to_string(last) + "\n"; }

}  // namespace firvalve::proto
