// A command in hand: as admitted, its attempts so far, and what the policy wants of it.
#pragma once

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/scheduling_hints.h"

namespace firvalve {

enum class AttemptState { kNone, kInFlight, kCancelling };

// The last attempt of a command.
struct Attempt {
  AttemptState state = AttemptState::kNone;
  std::optional<size_t> engine;  // its place in State::engines
  TimePoint started_at{};
  TimePoint reported_at{};  // the last status report, or the start
  double share_done = 0;    // 0 to 1, as last reported; 0: no progress reported
  bool is_waiting = false;  // by the last report: for memory, or behind a load
  bool has_waited = false;
  bool is_blocked = false;  // it waits and has not begun: it can move to another engine at no loss
};

// The first attempt that may have run, and so may have had its effect.
struct PossibleRun {
  size_t engine = 0;  // its place in State::engines
  TimePoint started_at{};
};

// What the policy wants of a command. append_actions() turns the difference to its present state into
// actions.
enum class DesiredState { kQueued, kInFlight, kCancelled, kShed, kFailed };

struct Command {
  Admitted request;
  size_t profile = 0;
  TimePoint admitted_at{};
  Duration predicted_work{};     // all threads together
  Duration predicted_runtime{};  // on an engine by itself
  bool is_heavy = false;
  // Present state:
  TimePoint queued_since{};
  bool is_ended = false;                    // it has its answer, or nobody waits for it
  bool lacks_reservation = false;           // there is no storage for its rows yet
  int attempts = 0;                         // started so far
  Attempt attempt;                          // the last of them
  int bad_plan_cancellations = 0;           // attempts cancelled for their pace
  int moves = 0;                            // attempts cancelled while blocked
  TimePoint retry_not_before{};             // after a move
  std::optional<TimePoint> half_closed_at;  // since then its client may have closed
  std::optional<PossibleRun> possible_run;  // none: no attempt may have run
  SchedulingHints hints;                    // as last sent
  // Desired state:
  DesiredState desired = DesiredState::kQueued;
  Reason reason = Reason::kNone;  // of kCancelled, kShed and kFailed
  std::optional<size_t> desired_engine;
  SchedulingHints desired_hints;
};

inline bool has_attempt(const Command& command) { return command.attempt.state != AttemptState::kNone; }

}  // namespace firvalve
