// Events of the simulator as events of the policy: one function a message. All throw MalformedInput.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "policy/events.h"
#include "simulator_adapter/event_fields.h"

namespace firvalve::simulator {

// The simulator counts times in whole nanoseconds.
constexpr double kNanosecondsPerMs = 1e6;
inline Duration duration_of_nanoseconds(int64_t nanoseconds) {
  return Duration(static_cast<double>(nanoseconds) / kNanosecondsPerMs);
}
inline TimePoint time_of_nanoseconds(int64_t nanoseconds) {
  return TimePoint(duration_of_nanoseconds(nanoseconds));
}

// The engines of a list that later updates refer to by its number.
std::vector<EngineInfo> read_engine_list(const EventFields& fields);

// An update without its engines. Nothing: the call for a list failed, the old one holds.
std::optional<EngineListUpdate> read_engine_list_update(const EventFields& fields);

// A command without its profile's number, which depends on its gateway's settings.
struct AcceptedCommand {
  Admitted admitted;
  std::string profile;  // its name
};
AcceptedCommand read_accepted_command(const EventFields& fields);

// Nothing: a kind of status that is not known here.
std::optional<AttemptStatus> read_attempt_status(const EventFields& fields);
AttemptFinished read_attempt_finished(const EventFields& fields);
ProbeResult read_probe_result(const EventFields& fields);
ClientGone read_client_gone(const EventFields& fields);
TimerFired read_timer_fired(const EventFields& fields);

}  // namespace firvalve::simulator
