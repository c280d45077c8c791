// The bench's wire, one line in and one line out, for any number of gateways that share nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "policy/policy.h"

namespace firvalve::drill {

// Input that cannot be read: names the event and the field.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Fields;

class SimulatorAdapter {
 public:
  // Reads a batch and returns the reply, without a line's end. Throws Malformed.
  const std::string& answer(std::string line);

 private:
  struct Gateway {
    State state;
    std::vector<std::string> profiles;
    bool heard = false;
  };

  void take(const std::string& name, const Fields& fields, Ms now);
  Gateway* held(int64_t id);
  void reply_for(int64_t id, Gateway& gateway, Ms now);
  void write(int64_t id, const Action& action);
  void panic(int64_t id, const std::string& why);

  std::map<int64_t, Gateway> gateways_;
  std::vector<int64_t> order_;  // of first being heard in this batch
  std::map<int64_t, std::vector<EngineInfo>> lists_;
  Actions actions_;
  std::string reply_;
};

}  // namespace firvalve::drill
