// JSON encoding and decoding of the messages between the scale run and its child processes.
#include "loadtest/gateway_process_wire.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <type_traits>

#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

using rapidjson::Value;

// Each structure lists its fields once, in a visit() below that both Writer and Reader use.
class Writer {
 public:
  template <class T>
  void operator()(const char* name, const T& value) {
    json_.Key(name);
    put(value);
  }
  template <class T>
  std::string line(const T& value) {
    put(value);
    return std::string(buffer_.GetString(), buffer_.GetSize()) + "\n";
  }

 private:
  void put(const std::string& text) {
    json_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  }
  template <class T>
  void put(const std::vector<T>& list) {
    json_.StartArray();
    for (const T& one : list) put(one);
    json_.EndArray();
  }
  template <class T>
  void put(const T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      json_.Bool(value);
    } else if constexpr (std::is_floating_point_v<T>) {
      json_.Double(value);
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
      json_.Uint64(static_cast<uint64_t>(value));
    } else {
      json_.StartObject();
      visit(value, *this);
      json_.EndObject();
    }
  }

  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_{buffer_};
};

// Reads the fields of one JSON object; a missing or mistyped field throws ScaleError.
class Reader {
 public:
  explicit Reader(const Value& object) : object_(object) {}
  template <class T>
  void operator()(const char* name, T& value) {
    const auto at = object_.FindMember(name);
    if (at == object_.MemberEnd()) throw ScaleError(std::string("gateway process: no field ") + name);
    get(at->value, value);
  }

  static void require(bool right) {
    if (!right) throw ScaleError("gateway process: a field of another kind than expected");
  }
  static void get(const Value& json, std::string& text) {
    require(json.IsString());
    text.assign(json.GetString(), json.GetStringLength());
  }
  template <class T>
  static void get(const Value& json, std::vector<T>& list) {
    require(json.IsArray());
    for (const Value& one : json.GetArray()) get(one, list.emplace_back());
  }
  template <class T>
  static void get(const Value& json, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
      require(json.IsBool());
      value = json.GetBool();
    } else if constexpr (std::is_floating_point_v<T>) {
      require(json.IsNumber());
      value = json.GetDouble();
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
      require(json.IsUint64());
      value = static_cast<T>(json.GetUint64());
    } else {
      require(json.IsObject());
      Reader reader(json);
      visit(value, reader);
    }
  }

 private:
  const Value& object_;
};

// `Same` is T for the Reader and const T for the Writer.
template <class Same, class T>
concept Of = std::is_same_v<std::remove_const_t<Same>, T>;

template <Of<SimulatedGatewayOptions> T, class Fields>
void visit(T& options, Fields& field) {
  field("address", options.address);
  field("reached_at", options.reached_at);
  field("site", options.site);
  field("keepers", options.keepers);
  field("leases", options.leases);
  field("folder", options.folder);
  field("lease_ms", options.lease_ms);
  field("bus", options.bus);
  field("known_list", options.known_list);
  field("seed", options.seed);
}

template <Of<GatewayProcessOptions> T, class Fields>
void visit(T& options, Fields& field) {
  field("gateways", options.gateways);
  field("bus_address", options.bus_address);
}

template <Of<GatewayProcessCommand> T, class Fields>
void visit(T& command, Fields& field) {
  field("kind", command.kind);
  field("gateways", command.gateways);
  field("listings", command.listings);
  field("whole", command.whole);
}

template <Of<LinkTraffic> T, class Fields>
void visit(T& traffic, Fields& field) {
  field("frames_in", traffic.frames_in);
  field("frames_out", traffic.frames_out);
  field("messages_in", traffic.messages_in);
  field("messages_out", traffic.messages_out);
  field("bytes_in", traffic.bytes_in);
  field("bytes_out", traffic.bytes_out);
  field("connects", traffic.connects);
}

template <Of<LeaseEvent> T, class Fields>
void visit(T& event, Fields& field) {
  field("kind", event.kind);
  field("lease", event.lease);
  field("epoch", event.epoch);
  field("at", event.at);
  field("until", event.until);
}

template <Of<SimulatedGatewayReport> T, class Fields>
void visit(T& report, Fields& field) {
  field("is_up", report.is_up);
  field("record_ready", report.record_ready);
  field("peers", report.peers);
  field("links_lost", report.links_lost);
  field("list_updates", report.list_updates);
  field("bus_links_lost", report.bus_links_lost);
  field("list_updated_at", report.list_updated_at);
  field("cpu_us", report.cpu_us);
  field("lease_events", report.lease_events);
}

template <Of<EventBusReport> T, class Fields>
void visit(T& report, Fields& field) {
  field("connections_open", report.connections_open);
  field("connections_made", report.connections_made);
  field("lines_in", report.lines_in);
  field("lines_out", report.lines_out);
  field("bytes_in", report.bytes_in);
  field("bytes_out", report.bytes_out);
  field("updates", report.updates);
  field("accepted_at", report.accepted_at);
  field("cpu_us", report.cpu_us);
}

template <Of<GatewayProcessReport> T, class Fields>
void visit(T& report, Fields& field) {
  field("gateways", report.gateways);
  field("bus", report.bus);
  field("cpu_us", report.cpu_us);
  field("resident_mb", report.resident_mb);
  field("descriptors", report.descriptors);
  field("at", report.at);
}

// Parses a line as a T. Throws ScaleError on invalid input, or with the message of an error_line().
template <class T>
T read(const std::string& line) {
  rapidjson::Document json;
  json.Parse(line.data(), line.size());
  Reader::require(!json.HasParseError() && json.IsObject());
  if (const auto error = json.FindMember("error"); error != json.MemberEnd())
    throw ScaleError(error->value.GetString());
  T out;
  Reader::get(json, out);
  return out;
}

}  // namespace

std::string to_line(const GatewayProcessOptions& options) { return Writer().line(options); }
std::string to_line(const GatewayProcessCommand& command) { return Writer().line(command); }
std::string to_line(const GatewayProcessReport& report) { return Writer().line(report); }

std::string error_line(const std::string& why) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> json(buffer);
  json.StartObject();
  json.Key("error");
  json.String(why.c_str());
  json.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

GatewayProcessOptions read_options(const std::string& line) { return read<GatewayProcessOptions>(line); }
GatewayProcessCommand read_command(const std::string& line) { return read<GatewayProcessCommand>(line); }
GatewayProcessReport read_report_line(const std::string& line) { return read<GatewayProcessReport>(line); }

}  // namespace firvalve::loadtest
