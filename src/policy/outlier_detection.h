// Outlier detection: one judgement per engine, from errors, silence and slowness.
//
// An engine is ejected when it owes a sign of life, when many of its attempts fail, or when it is much slower
// than its peers. An ejected engine gets probes alone: single short replayable commands, at intervals that
// double. It is reinstated once it answers, or after some good probes in a row where it had failed.
#pragma once

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

struct Command;
struct Engine;
struct State;

struct EngineOutlier {
  double attempts = 0, failures = 0;  // fading counts
  TimePoint counted_at{};             // when they, and the slowdown samples, were last faded
  TimePoint last_sign_at{};           // of life
  bool is_ejected = false;
  bool is_unresponsive = false;
  bool was_logged_as_ejected = false;
  TimePoint next_probe_at{};
  int probes_in_a_row = 0;       // without success
  int good_probes_in_a_row = 0;  // while ejected
};

// Whether an attempt has run so long that its engine owes a sign of life.
bool is_overdue(const State& state, const Command& command, const Engine& engine, TimePoint now);

// Judges all engines: who is unresponsive, how slow they are, who is ejected, and what their limits are.
void review_engines(State& state, TimePoint now);

// Fades the counts of an engine, and its slowdown samples.
void fade_counts(Engine& engine, TimePoint now);

// Takes an outcome into the counts. A success is also a sign of life, and moves an ejected engine towards
// reinstatement.
void count_outcome(Engine& engine, Outcome outcome);
void note_success(State& state, Engine& engine, TimePoint now);

// Whether this command may probe an ejected engine now; start_probe() then counts it.
bool may_probe(const State& state, const Command& command, const Engine& engine, TimePoint now);
void start_probe(Engine& engine, TimePoint now);

}  // namespace firvalve
