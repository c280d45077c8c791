// Converts simulator events to policy events, with one function per event. All throw MalformedInput.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/events.h"
#include "simulator_adapter/event_fields.h"

namespace firvalve::simulator {

// The simulator sends times as whole nanoseconds.
constexpr double kNanosecondsPerMs = 1e6;
inline Duration duration_of_nanoseconds(int64_t nanoseconds) {
  return Duration(static_cast<double>(nanoseconds) / kNanosecondsPerMs);
}
inline TimePoint time_of_nanoseconds(int64_t nanoseconds) {
  return TimePoint(duration_of_nanoseconds(nanoseconds));
}

// The engines of a list. Later updates refer to the list by its number.
std::vector<EngineInfo> read_engine_list(const EventFields& fields);

// An update without its engines. Nothing if the request for a list failed; the previous list then stays
// valid.
std::optional<EngineListUpdate> read_engine_list_update(const EventFields& fields);

// A command with its profile's name. The profile's number depends on the gateway's settings.
struct AcceptedCommand {
  Admitted admitted;
  std::string profile;  // name
};
AcceptedCommand read_accepted_command(const EventFields& fields);

// Nothing if the kind of status is unknown.
std::optional<AttemptStatus> read_attempt_status(const EventFields& fields);
AttemptFinished read_attempt_finished(const EventFields& fields);
ProbeResult read_probe_result(const EventFields& fields);
ClientGone read_client_gone(const EventFields& fields);
TimerFired read_timer_fired(const EventFields& fields);

}  // namespace firvalve::simulator
