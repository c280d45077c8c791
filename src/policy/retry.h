// Retries: when a further attempt of a command is allowed.
//
// A retry must not run a command twice where that does harm, must not follow once nobody waits for it, and
// must stay within the retry budget: an allowance and a share of the commands admitted in a sliding window.
#pragma once

#include "base/time.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/sliding_window.h"

namespace firvalve {

struct Command;
struct Engine;
struct Profile;
struct State;

struct RetryBudgetOptions {
  bool is_limited = false;  // else there is no limit
  double allowance = 0;     // retries in a window
  double share = 0;         // retries per command admitted, on top
  Duration window{};
};

struct RetryBudget {
  SlidingWindow admitted, retries;
};

// Whether the budget allows one more retry now.
bool has_retry_budget(State& state, TimePoint now);

// Whether the engines still recognize a duplicate of what ran first at `since`.
bool is_in_deduplication_window(const Profile& profile, TimePoint since, TimePoint now);

// Why no further attempt may follow: it could run the command twice, or nobody may wait any more. kNone: one
// may.
Reason retry_refusal(const State& state, const Command& command, TimePoint now);

// Whether it may be attempted on that engine now, whatever room there is.
bool may_attempt(const State& state, const Command& command, const Engine& engine, TimePoint now);

// Whether it is safe to advise its client to send the command again, as shedding does.
bool is_safe_to_shed(const State& state, const Command& command, TimePoint now);

// Remembers the first attempt that may have run.
void note_possible_run(Command& command, Outcome outcome);

}  // namespace firvalve
