// An active command: the request as admitted, its attempts so far and the state that the policy wants for it.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/scheduling_hints.h"

namespace firvalve {

// Whether a command has an attempt in flight, and whether its cancellation was requested.
enum class AttemptState { kNone, kInFlight, kCancelling };

// The latest attempt of a command.
struct Attempt {
  AttemptState state = AttemptState::kNone;
  std::optional<size_t> engine_index;  // index in State::engines
  TimePoint started_at{};
  TimePoint reported_at{};   // time of the last status report, or of the start if there was none
  double fraction_done = 0;  // 0 to 1, as last reported; 0 before the first progress report
  bool is_waiting = false;   // by the last report, waits for memory or behind a load
  bool has_waited = false;   // by any report so far
  bool is_blocked = false;   // waits and has not begun, so it can move to another engine without losing work
};

// The first attempt that may have run and so may have taken effect.
struct PossibleRun {
  size_t engine_index = 0;  // index in State::engines
  TimePoint started_at{};
};

// The state that the policy wants for a command. append_actions() turns the difference from the current state
// into actions.
enum class DesiredState { kQueued, kInFlight, kCancelled, kShed, kFailed };

struct Command {
  Admitted request;
  size_t profile = 0;
  TimePoint admitted_at{};
  Duration predicted_work{};     // thread-time, summed over all threads
  Duration predicted_runtime{};  // on an uncongested engine
  bool is_heavy = false;
  // Current state:
  TimePoint queued_since{};
  bool is_ended = false;                    // answered, or no client waits for it
  bool lacks_reservation = false;           // no storage is reserved for its rows yet
  int attempts = 0;                         // started so far
  Attempt attempt;                          // the latest one
  int bad_plan_cancellations = 0;           // attempts cancelled for being slow
  int blocked_cancellations = 0;            // attempts cancelled while blocked
  TimePoint retry_not_before{};             // set when a blocked attempt is cancelled
  std::optional<TimePoint> half_closed_at;  // the client may have closed since then
  std::optional<PossibleRun> possible_run;  // empty if no attempt can have run
  SchedulingHints hints;                    // as last sent to the engine
  // Desired state:
  DesiredState desired = DesiredState::kQueued;
  Reason reason = Reason::kNone;  // set for kCancelled, kShed and kFailed
  std::optional<size_t> desired_engine_index;
  SchedulingHints desired_hints;
};

inline bool has_attempt(const Command& command) { return command.attempt.state != AttemptState::kNone; }

}  // namespace firvalve
