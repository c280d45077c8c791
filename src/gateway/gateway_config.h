// Reads the two configuration files of a gateway: the file that NODE_CONFIG names, which the platform writes,
// and the operator's file, which enables features. No value of a file is used before the whole file has been
// read and checked.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/operator_config.h"
#include "core/settings.h"
#include "proto/bus/bus.h"

namespace firvalve {

// An invalid configuration. what() is a one-line message for the operator and includes the place.
class ConfigError : public std::runtime_error {
 public:
  enum class Code {
    kNotGiven,     // the environment variable is not set
    kUnreadable,   // the file cannot be opened
    kMalformed,    // the content is not the expected JSON
    kMissing,      // a required field is missing
    kWrongType,    // a field's value has the wrong type
    kInvalid,      // the operator's file has errors; what() lists each with its line
    kExceedsLimit  // a value exceeds what this gateway can provide
  };
  // place: the name of the field, or of the file if the error concerns the whole file.
  ConfigError(Code code, std::string place, const std::string& message)
      : std::runtime_error(message), code_(code), place_(std::move(place)) {}
  Code code() const { return code_; }
  const std::string& place() const { return place_; }

 private:
  Code code_;
  std::string place_;
};

// The content of the file that NODE_CONFIG names.
struct GatewayConfig {
  std::string listen_address, event_bus_address;
  uint64_t seed = 0;
  int max_descriptors = 0;
  double memory_limit_mb = 0;
  int64_t last_event_offset = 0;  // offset of the last event in known_events
  std::vector<proto::BusEvent> known_events;
  Settings settings;

  double memory_limit_bytes() const { return memory_limit_mb * 1024 * 1024; }
};

// Reads the file that NODE_CONFIG names. Throws ConfigError and the exceptions of parse_settings().
GatewayConfig read_gateway_config();

// Reads the operator's file; returns the defaults for an empty name. Throws one ConfigError that lists all
// errors found.
config::OperatorConfig read_operator_config(const std::string& operator_file);

// Throws ConfigError if the result store would take memory that connections and statements need.
void check_result_store_memory(const config::OperatorConfig& operator_config, const GatewayConfig& config,
                               const std::string& operator_file);

}  // namespace firvalve
