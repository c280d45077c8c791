// Writes the reply to a batch: the decisions of its gateways as one line of JSON.
#pragma once

#include <cstdint>
#include <string>

#include "policy/actions.h"

namespace firvalve::simulator {

class DecisionWriter {
 public:
  void begin();  // starts a new reply
  void write(int64_t gateway_id, const Action& action);
  void write_panic(int64_t gateway_id, const std::string& reason);  // for a gateway whose policy has thrown
  const std::string& end();  // the complete reply without a line feed; valid until begin()

 private:
  void begin_decision(const char* name, int64_t gateway_id);
  void write_command(const CommandId& id);
  void write_integer(const char* name, int64_t value);
  void write_text(const char* name, const std::string& text);
  void end_decision() { reply_ += "}}"; }

  std::string reply_;
};

}  // namespace firvalve::simulator
