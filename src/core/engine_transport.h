// What carries attempts to engines. Implemented by net::EngineConnections.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "core/ids.h"
#include "policy/events.h"

namespace firvalve {

// One attempt, as the transport needs it. The views are good until the attempt has finished.
struct AttemptRequest {
  AttemptId attempt{};
  uint32_t engine = 0;
  std::string_view command, profile, statement;
  TimePoint deadline{};         // the client's
  std::optional<int> priority;  // none: the engine's own choice
  bool paged = false;           // its rows go to Core::append_page() as they come, not to attempt_finished()
  bool may_cancel = false;      // the settings allow telling the engine that nobody waits for it any more
};

// Every attempt started finishes once, by Core::attempt_finished(), never within one of these calls.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start_attempt(TimePoint now, const AttemptRequest& request) = 0;
  // The attempt finishes with `outcome`, or with its own if that comes first.
  virtual void cancel_attempt(TimePoint now, AttemptId attempt, Outcome outcome) = 0;
  virtual void set_priority(TimePoint now, AttemptId attempt, int priority) = 0;
  // An engine is listed, with its address and state, or has gone (then the address is empty).
  virtual void update_engine(TimePoint now, uint32_t engine, std::string_view address, EngineState state) = 0;
};

}  // namespace firvalve
