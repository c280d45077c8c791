// Outlier detection: judges each engine by errors, silence and slowness.
//
// An engine is ejected when a response is overdue, when many of its attempts fail, or when it is much slower
// than its peers. An ejected engine gets only probes: single short replayable commands, at intervals that
// double. It is reinstated once it responds, or, where it had failed, after several successful probes in a
// row.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct Command;
struct Engine;
struct State;

// Outcome counts, ejection and probes of one engine.
struct EngineOutlier {
  double attempts = 0, failures = 0;  // decaying counts
  TimePoint decayed_at{};             // when the counts and the slowdown samples were last decayed
  TimePoint last_response_at{};       // answer or status report, or when the engine joined
  bool is_ejected = false;
  bool is_unresponsive = false;
  bool was_logged_as_ejected = false;
  TimePoint next_probe_at{};
  int probes_since_success = 0;           // probes started since the last success
  int consecutive_successful_probes = 0;  // counted while ejected
};

// Whether an attempt has run so long without a response that its engine counts as unresponsive.
bool is_overdue(const State& state, const Command& command, const Engine& engine, TimePoint now);

// Judges all engines: which are unresponsive, how slow they are, which are ejected, and what their limits
// are.
void review_engines(State& state, TimePoint now);

// Decays an engine's outcome counts and its number of slowdown samples.
void decay_counts(Engine& engine, TimePoint now);

// Adds an outcome to the counts. A success also shows that the engine responds, and brings an ejected engine
// closer to reinstatement.
void count_outcome(Engine& engine, Outcome outcome);
void record_success(State& state, Engine& engine, TimePoint now);

// Whether this command may probe an ejected engine now; start_probe() then schedules the next probe.
bool may_probe(const State& state, const Command& command, const Engine& engine, TimePoint now);
void start_probe(Engine& engine, TimePoint now);

}  // namespace firvalve
