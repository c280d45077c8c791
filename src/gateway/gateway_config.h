// What a gateway reads before it serves: the file that NODE_CONFIG names, which the platform writes, and the
// operator's own file, which switches features on. Nothing of either is used before it was read whole.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/operator_config.h"
#include "core/settings.h"
#include "proto/bus/bus.h"

namespace firvalve {

// A configuration that cannot be used. what() is the line for the operator, place included.
class ConfigError : public std::runtime_error {
 public:
  enum class Code {
    kNotGiven,     // the environment names no file
    kUnreadable,   // the file cannot be opened
    kMalformed,    // it is not the JSON that it has to be
    kMissing,      // a field that has to be there is not
    kWrongType,    // a field's value is of another type
    kInvalid,      // faults of the operator's file, each with its line
    kExceedsLimit  // a value is more than this gateway can give
  };
  // place: the field, or the file where the fault is of the whole.
  ConfigError(Code code, std::string place, const std::string& message)
      : std::runtime_error(message), code_(code), place_(std::move(place)) {}
  Code code() const { return code_; }
  const std::string& place() const { return place_; }

 private:
  Code code_;
  std::string place_;
};

// What NODE_CONFIG's file says.
struct GatewayConfig {
  std::string listen_address, event_bus_address;
  uint64_t seed = 0;
  int max_descriptors = 0;
  double memory_limit_mb = 0;
  int64_t last_event_offset = 0;  // of the last event in known_events
  std::vector<proto::BusEvent> known_events;
  Settings settings;

  double memory_limit_bytes() const { return memory_limit_mb * 1024 * 1024; }
};

// Reads the file that NODE_CONFIG names. Throws ConfigError, and what parse_settings() throws.
GatewayConfig read_gateway_config();

// Reads the operator's file; an empty name gives the defaults. Throws ConfigError with all faults found.
config::OperatorConfig read_operator_config(const std::string& operator_file);

// Throws ConfigError where the result store would take the memory that connections and statements need.
void check_result_store_memory(const config::OperatorConfig& operator_config, const GatewayConfig& config,
                               const std::string& operator_file);

}  // namespace firvalve
