// Detects unresponsive, failing and slow engines, ejects them and probes for their recovery.
#include "policy/outlier_detection.h"

#include <algorithm>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kEjectionFailureShare = 0.2;   // share of failed attempts for an ejection
constexpr Duration kFailureWindow = 10s;        // time constant of the decaying counts
constexpr double kMinFailures = 2.5;            // decayed count of failures before the share is trusted
constexpr Duration kInitialProbeInterval = 1s;  // from the ejection to the first probe
// Successful probes in a row that reinstate an engine. An engine that fails a third of its work seldom passes
// as many by luck.
constexpr int kReinstatementProbes = 4;
// A response is not overdue until an attempt has run this long without one. Longer than long pauses of an
// engine.
constexpr Duration kSilenceTimeout = 600ms;
constexpr double kOverdueRatio = 4;            // times the usual runtime before an attempt is overdue
constexpr double kOverdueStatusPeriods = 1.6;  // status periods without a report: at least one was missed
constexpr double kSlowPeerRatio = 3;  // times the median slowdown: slower than its peers, not just busy
constexpr Duration kMinRestartSilence = 3s;  // an engine silent for longer may have restarted

bool is_failure(Outcome outcome) {
  return outcome == Outcome::kFailed || outcome == Outcome::kReset || outcome == Outcome::kConnectFailed;
}

void mark_unresponsive_engines(State& state, TimePoint now) {
  for (const size_t slot : state.active_slots) {
    const Command& command = state.slots[slot];
    if (!has_attempt(command)) continue;
    Engine& engine = state.engines[*command.attempt.engine_index];
    if (is_overdue(state, command, engine, now)) engine.outlier.is_unresponsive = true;
  }
}

void eject_or_reinstate(const State& state, TimePoint now, Engine& engine) {
  EngineOutlier& outlier = engine.outlier;
  const bool is_failing =
      outlier.failures >= kMinFailures && outlier.failures >= kEjectionFailureShare * outlier.attempts;
  const bool is_slow = engine.concurrency.usual_slowdown > kSlowPeerRatio * state.concurrency.usual_slowdown;
  const bool is_outlier = outlier.is_unresponsive || is_failing || is_slow;
  if (is_outlier && !outlier.is_ejected) {
    outlier.probes_since_success = 0;
    outlier.next_probe_at = now + kInitialProbeInterval;
  }
  outlier.is_ejected = is_outlier;
}

}  // namespace

// A response is not overdue while the attempt is blocked, since it then sends no reports, nor right after a
// stall of this gateway, when the first reports are still to arrive.
bool is_overdue(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  const Attempt& attempt = command.attempt;
  TimePoint since = std::max(attempt.started_at, engine.outlier.last_response_at);
  if (state.resumed_at) since = std::max(since, *state.resumed_at);
  if (attempt.is_waiting || now - since < kSilenceTimeout) return false;
  const std::optional<Duration>& period = state.options.status_period;
  if (period && now - std::max(since, attempt.reported_at) > kOverdueStatusPeriods * *period) return true;
  return now - since > kOverdueRatio * usual_runtime(state, command, engine);
}

void review_engines(State& state, TimePoint now) {
  mark_unresponsive_engines(state, now);
  update_slowdowns(state, now);
  for (Engine& engine : state.engines) {
    eject_or_reinstate(state, now, engine);
    adjust_limit(state, now, engine);
  }
}

void decay_counts(Engine& engine, TimePoint now) {
  const double factor = decay_factor(engine.outlier.decayed_at, now, kFailureWindow);
  engine.outlier.attempts *= factor;
  engine.outlier.failures *= factor;
  engine.concurrency.samples *= factor;
}

void count_outcome(Engine& engine, Outcome outcome) {
  EngineOutlier& outlier = engine.outlier;
  if (outcome == Outcome::kOk || is_failure(outcome) || outcome == Outcome::kTimedOut) outlier.attempts += 1;
  if (!is_failure(outcome)) return;
  outlier.failures += 1;
  outlier.consecutive_successful_probes = 0;
}

void record_success(State& state, Engine& engine, TimePoint now) {
  EngineOutlier& outlier = engine.outlier;
  // An engine that was unresponsive for long may have restarted before the endpoint list says so; it then
  // needs a slow start.
  if (outlier.is_unresponsive && now - outlier.last_response_at > kMinRestartSilence)
    start_slow_start(state, engine, now);
  outlier.is_unresponsive = false;
  outlier.probes_since_success = 0;
  if (!outlier.is_ejected) return;
  // Decaying counts alone would keep an engine ejected for as long again as it failed, so enough successful
  // probes reset them.
  outlier.next_probe_at = now;
  if (++outlier.consecutive_successful_probes >= kReinstatementProbes)
    outlier.failures = outlier.consecutive_successful_probes = 0;
}

bool may_probe(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  return is_short(state, command) && profile_of(state, command).effect == Effect::kReplayable &&
         engine.in_flight.attempts == 0 && now >= engine.outlier.next_probe_at && command.attempts == 0;
}

void start_probe(Engine& engine, TimePoint now) {
  engine.outlier.next_probe_at =
      now + next_backoff(kInitialProbeInterval, engine.outlier.probes_since_success);
}

}  // namespace firvalve
