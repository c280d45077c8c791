// Retries: decides when a further attempt of a command is allowed.
//
// A retry must not run a command twice where that does harm, must not start when no client waits any more,
// and must stay within the retry budget: an allowance plus a share of the commands admitted in a sliding
// window.
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

// Settings of the retry budget.
struct RetryBudgetOptions {
  bool is_limited = false;  // otherwise retries are unlimited
  double allowance = 0;     // retries per window
  double share = 0;         // further retries per admitted command
  Duration window{};
};

// The retry budget, with the admitted commands and retries counted in its window.
struct RetryBudget {
  SlidingWindow admitted, retries;
};

// Counts a command, or a retry, in the window of the budget. The memory is bounded at any rate.
void count_admission(State& state, TimePoint now);
void count_retry(State& state, TimePoint now);

// Whether the budget allows one more retry now.
bool has_retry_budget(State& state, TimePoint now);

// Whether engines still recognize a duplicate of a command that first ran at `since`.
bool is_in_deduplication_window(const Profile& profile, TimePoint since, TimePoint now);

// Returns why no further attempt is allowed (it could run the command twice, all attempts are used up, or no
// client waits any more), or kNone if one is.
Reason retry_refusal(const State& state, const Command& command, TimePoint now);

// Whether the command may be attempted on the engine now, regardless of capacity.
bool may_attempt(const State& state, const Command& command, const Engine& engine, TimePoint now);

// Whether the client can safely be advised to send the command again, as shedding does.
bool is_safe_to_shed(const State& state, const Command& command, TimePoint now);

// Records the first attempt that may have run.
void record_possible_run(Command& command, Outcome outcome);

}  // namespace firvalve
