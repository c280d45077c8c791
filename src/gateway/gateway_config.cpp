#include "gateway/gateway_config.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace firvalve {
namespace {

using Code = ConfigError::Code;
using rapidjson::Value;

const Value& required_field(const Value& object, const char* name) {
  const auto at = object.FindMember(name);
  if (at == object.MemberEnd())
    throw ConfigError(Code::kMissing, name, fmt::format("configuration: {} is missing", name));
  return at->value;
}

const Value& required_object(const Value& object, const char* name) {
  const Value& value = required_field(object, name);
  if (!value.IsObject())
    throw ConfigError(Code::kWrongType, name, fmt::format("configuration: {} must be an object", name));
  return value;
}

std::string required_text(const Value& object, const char* name) {
  const Value& value = required_field(object, name);
  if (!value.IsString())
    throw ConfigError(Code::kWrongType, name, fmt::format("configuration: {} must be a string", name));
  return value.GetString();
}

// Reads the environment variable again at each reload. Called on the main thread only.
std::string read_config_file() {
  const char* const path = std::getenv("NODE_CONFIG");  // NOLINT(concurrency-mt-unsafe): never modified
  if (!path) throw ConfigError(Code::kNotGiven, "NODE_CONFIG", "environment variable NODE_CONFIG is not set");
  std::ifstream file(path);
  if (!file)
    throw ConfigError(Code::kUnreadable, path, fmt::format("cannot open configuration file {}", path));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void read_limits(const Value& json, GatewayConfig& config) {
  const Value& limits = required_field(json, "limits");
  if (!limits.IsObject() || !required_field(limits, "sockets").IsInt())
    throw ConfigError(Code::kWrongType, "limits.sockets", "configuration: limits.sockets must be an integer");
  if (!required_field(limits, "memory_mb").IsNumber())
    throw ConfigError(Code::kWrongType, "limits.memory_mb",
                      "configuration: limits.memory_mb must be a number");
  config.max_descriptors = required_field(limits, "sockets").GetInt();
  config.memory_limit_mb = required_field(limits, "memory_mb").GetDouble();
}

void read_known_events(const Value& json, GatewayConfig& config) {
  const Value& known = required_object(json, "known");
  const Value& batch = required_field(known, "batch");
  if (!batch.IsArray())
    throw ConfigError(Code::kWrongType, "known.batch", "configuration: known.batch must be an array");
  for (const Value& element : batch.GetArray()) {
    auto event = proto::read_bus_event(element);
    if (!event)
      throw ConfigError(Code::kMalformed, "known.batch",
                        "configuration: known.batch contains an invalid event");
    config.known_events.push_back(std::move(*event));
  }
  const Value& offset = required_field(known, "offset");
  config.last_event_offset = offset.IsInt64() ? offset.GetInt64() : 0;
}

}  // namespace

GatewayConfig read_gateway_config() {
  const std::string text = read_config_file();
  rapidjson::Document json;
  json.Parse<rapidjson::kParseIterativeFlag>(text.c_str());
  if (json.HasParseError() || !json.IsObject())
    throw ConfigError(Code::kMalformed, "", "configuration must be a JSON object");
  GatewayConfig config;
  config.settings = parse_settings(required_object(json, "settings"));
  config.seed = std::strtoull(required_text(json, "seed").c_str(), nullptr, 16);
  config.listen_address = required_text(json, "listen");
  config.event_bus_address = required_text(json, "bus");
  read_limits(json, config);
  read_known_events(json, config);
  return config;
}

config::OperatorConfig read_operator_config(const std::string& operator_file) {
  if (operator_file.empty()) return {};
  const config::ParsedConfig parsed = config::load_operator_config(operator_file);
  if (parsed.is_valid()) return parsed.values;
  std::string lines;
  for (const config::Diagnostic& diagnostic : parsed.diagnostics)
    lines += (lines.empty() ? "" : "; ") + config::format_diagnostic(operator_file, diagnostic);
  throw ConfigError(Code::kInvalid, operator_file, lines);
}

// The result store may take at most half of the memory limit: connections and statements have never needed
// more than the other half. A gateway that exceeds the limit is killed.
void check_result_store_memory(const config::OperatorConfig& operator_config, const GatewayConfig& config,
                               const std::string& operator_file) {
  const config::OperatorConfig::PagedResults& section = operator_config.paged_results;
  if (!section.on || section.memory_mb <= config.memory_limit_mb / 2) return;
  throw ConfigError(Code::kExceedsLimit, "spool.memory_mb",
                    fmt::format("{}: spool.memory_mb: {} exceeds half of the gateway's memory limit of {} MB",
                                operator_file, section.memory_mb, config.memory_limit_mb));
}

}  // namespace firvalve
