// Interface through which the core sends attempts to engines. Implemented by net::EngineConnections.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"
#include "core/ids.h"
#include "policy/events.h"

namespace firvalve {

// The data of one attempt that the transport needs. The views are valid until the attempt has finished.
struct AttemptRequest {
  AttemptId attempt{};
  uint32_t engine = 0;
  std::string_view command, profile, statement;
  TimePoint deadline{};         // the client's deadline
  std::optional<int> priority;  // none: the engine chooses
  bool paged = false;           // rows go to Core::append_page() as they arrive, not to attempt_finished()
  bool may_cancel = false;      // the settings allow sending a cancellation to the engine
};

// The transport reports the end of each started attempt exactly once, through Core::attempt_finished(), and
// never from within one of these calls.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start_attempt(TimePoint now, const AttemptRequest& request) = 0;
  // The attempt finishes with `outcome`, unless the engine's own outcome arrives first.
  virtual void cancel_attempt(TimePoint now, AttemptId attempt, Outcome outcome) = 0;
  virtual void set_priority(TimePoint now, AttemptId attempt, int priority) = 0;
  // An engine is listed with its address and state, or was removed (then the address is empty).
  virtual void update_engine(TimePoint now, uint32_t engine, std::string_view address, EngineState state) = 0;
};

}  // namespace firvalve
