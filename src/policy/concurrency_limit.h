// Concurrency limit: how many threads this gateway runs at once on each engine and on all engines together.
//
// No gateway sees the load that the others put on an engine. Each measures the slowdown of its own attempts,
// that is, runtime over predicted runtime on an uncongested engine, and adapts a limit per engine as TCP
// adapts its window: multiplicative decrease while the engine is congested, additive increase while it is not
// and the limit is reached.
//
// Where many gateways share an engine, a limit may be a fraction of a thread, yet one attempt may always run.
// The overrun counts the thread-time used above the limits that is still to be waited out, so that the limits
// hold on average.
//
// An engine that rejects attempts or connections is not tried again until a backoff has passed.
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

// Thresholds for EngineConcurrency::congestion. Above kCongestionHigh the engine's cores or disks are
// congested; below kCongestionLow it has spare capacity.
constexpr double kCongestionHigh = 1.9, kCongestionLow = 1.5;

// The limit of one engine and the slowdowns that it is adjusted by.
struct EngineConcurrency {
  double limit = 0;               // threads that this gateway may run at once
  bool is_limit_reached = false;  // at any time since the last adjustment
  TimePoint limit_adjusted_at{};
  // Running means of the slowdown. Two are kept because congestion that delays all other commands hardly
  // affects short commands of high priority, while short commands are the first to suffer where engines
  // ignore priorities.
  double slowdown = 1;       // each command counts the same
  double work_slowdown = 1;  // weighted by work
  double samples = 0;        // decaying count of samples in the means
  // Combined with the means of the engine's group:
  double usual_slowdown = 1;
  double congestion = 1;  // the larger of the two combined means
};

// Backoffs of one engine: after rejections, and for commands that need much memory.
struct EngineBackoff {
  TimePoint until{};
  double min_memory_mb = 0;  // applies to commands that need at least this much memory
  int consecutive_rejections = 0;
};

// Mean slowdowns over the engines of one machine type, either those in the pool or the others.
struct EngineGroup {
  double slowdown = 1, work_slowdown = 1;
};

// Slowdowns and overruns over all engines.
struct ConcurrencyState {
  std::vector<EngineGroup> groups;       // two per machine type: light engines, pool engines
  double usual_slowdown = 1;             // median over ready engines, at least 1
  std::vector<double> sorted_slowdowns;  // scratch
  std::array<Duration, 2> overrun{};     // thread-time; light engines, pool engines
  TimePoint overrun_updated_at{};
};

// Returns the limit for an engine that is new to this gateway.
double initial_limit(const State& state, const Engine& engine);

// Adds a successful attempt to the mean slowdowns of its engine and of the engine's group.
void learn_slowdown(State& state, const Command& command, const AttemptFinished& event);

// Add a sample from a status report: slow progress, or a wait for memory. `now` is the time of the report.
void learn_slowdown_from_progress(State& state, TimePoint now, const Command& command, double fraction_done);
void learn_slowdown_from_memory_wait(State& state, const Command& command);

// Combines each engine's means with those of its group, and computes the median over all engines.
void update_slowdowns(State& state, TimePoint now);

// Raises or lowers an engine's limit according to its congestion.
void adjust_limit(const State& state, TimePoint now, Engine& engine);

// Lowers the limit after a rejection, backs off after a rejection or a failed connection, and resets the
// backoff after an attempt that started.
void update_rejection_backoff(Engine& engine, TimePoint now, Outcome outcome);

// Makes commands that need at least `memory_mb` avoid the engine for a moment, because a command waits there
// for memory.
void back_off_for_memory(Engine& engine, TimePoint now, double memory_mb);
bool is_backing_off(const Engine& engine, TimePoint now, const Command& command);

// Adds thread-time used above the limits to the overrun and subtracts thread-time left unused below them.
void update_overrun(State& state, TimePoint now);

}  // namespace firvalve
