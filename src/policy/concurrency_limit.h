// Concurrency limit: how many threads this gateway runs at once, on each engine and on all of them together.
//
// No gateway sees the load that the others put on an engine. Each measures the slowdown of its own attempts,
// that is, runtime over the predicted runtime on an engine by itself, and adapts a limit for each engine as
// TCP does its window: multiplicative decrease while the engine is congested, additive increase while the
// limit binds and it is not.
//
// Where many gateways share an engine a limit may be a fraction of a thread, and one attempt may always run.
// The overrun keeps account of that: thread-time past the limits that is still to be waited out, so that they
// hold as a mean over time.
//
// An engine that rejects attempts, or to which no connection comes up, is left alone for a backoff.
#pragma once

#include <array>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct Command;
struct Engine;
struct Profile;
struct State;

// Of EngineConcurrency::congestion: above the one an engine's cores or disks are congested, below the other
// there is room for more.
constexpr double kCongestionHigh = 1.9, kCongestionLow = 1.5;

struct EngineConcurrency {
  double limit = 0;               // threads of this gateway at once
  bool is_limit_reached = false;  // since the last adjustment
  TimePoint limit_adjusted_at{};
  // Running means of slowdown. Two: short commands of high priority glide past congestion that holds up all
  // others, and where no priority is heeded they are the first to feel it.
  double slowdown = 1;       // over commands
  double work_slowdown = 1;  // over their work
  double samples = 0;        // fading count of what went into them
  // With those of its group, where it has few samples of its own:
  double usual_slowdown = 1;
  double congestion = 1;  // the worse of the two means
};

struct EngineBackoff {
  TimePoint until{};
  double from_memory_mb = 0;  // for commands that need as much memory or more
  int rejections_in_a_row = 0;
};

// Engines of one machine type, those of the pool or the others.
struct EngineGroup {
  double slowdown = 1, work_slowdown = 1;
};

struct ConcurrencyState {
  std::vector<EngineGroup> groups;       // two for each machine type: light engines, pool
  double usual_slowdown = 1;             // median of the engines
  std::vector<double> sorted_slowdowns;  // scratch
  std::array<Duration, 2> overrun{};     // thread-time; light engines, pool
  TimePoint overrun_updated_at{};
};

// The limit of an engine that is new to this gateway.
double initial_limit(const State& state, const Engine& engine);

// Adds an attempt that ended well to the slowdown of its engine and that engine's group.
void learn_slowdown(State& state, const Command& command, const AttemptFinished& event);

// Adds what a status report shows: a slow pace, or a wait for memory. `now` is the report's time.
void learn_slowdown_from_progress(State& state, TimePoint now, const Command& command, double share_done);
void learn_slowdown_from_memory_wait(State& state, const Command& command);

// Takes the slowdown samples together: of each engine with its group, and of all engines.
void update_slowdowns(State& state, TimePoint now);

// Moves an engine's limit.
void adjust_limit(const State& state, TimePoint now, Engine& engine);

// What an outcome says about room on the engine: rejections lower the limit and back off.
void note_rejection_or_start(Engine& engine, TimePoint now, Outcome outcome);

// A command waits on that engine for memory: those that need as much go elsewhere for a moment.
void back_off_for_memory(Engine& engine, TimePoint now, double memory_mb);
bool is_backing_off(const Engine& engine, TimePoint now, const Command& command);

// Adds what runs past the limits to the overrun, and takes off what stays below them.
void update_overrun(State& state, TimePoint now);

}  // namespace firvalve
