#include "policy/outlier_detection.h"

#include <algorithm>

#include "policy/formulas.h"
#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

// The first two are the design's.
constexpr double kFailureShare = 0.2;     // of attempts that fail: the engine is ejected
constexpr Duration kFailureWindow = 10s;  // over which they are counted (as a fading count)
constexpr double kFailuresMin = 2.5;      // fading failures before the share is believed
constexpr Duration kProbeInterval = 1s;   // until the first probe of an ejected engine
constexpr int kGoodProbes = 4;        // in a row: past the luck of an engine that fails a third of its work
constexpr Duration kSilence = 600ms;  // without a sign of life while an attempt is overdue: above long pauses
constexpr double kOverdueRatio = 4;   // times the usual runtime before an attempt is overdue
constexpr double kStatusPeriodsMissed = 1.6;  // without a report: one was surely missed
constexpr double kSlowPeerRatio = 3;      // times the median slowdown: slower than its peers, not just busy
constexpr Duration kRestartSilence = 3s;  // after which an engine may have started anew

bool is_failure(Outcome outcome) {
  return outcome == Outcome::kFailed || outcome == Outcome::kReset || outcome == Outcome::kConnectFailed;
}

void find_unresponsive(State& state, TimePoint now) {
  for (const size_t slot : state.in_hand) {
    const Command& command = state.slots[slot];
    if (!has_attempt(command)) continue;
    Engine& engine = state.engines[*command.attempt.engine];
    if (is_overdue(state, command, engine, now)) engine.outlier.is_unresponsive = true;
  }
}

void eject_or_reinstate(const State& state, TimePoint now, Engine& engine) {
  EngineOutlier& outlier = engine.outlier;
  const bool is_failing =
      outlier.failures >= kFailuresMin && outlier.failures >= kFailureShare * outlier.attempts;
  const bool is_slow = engine.concurrency.usual_slowdown > kSlowPeerRatio * state.concurrency.usual_slowdown;
  const bool is_outlier = outlier.is_unresponsive || is_failing || is_slow;
  if (is_outlier && !outlier.is_ejected) {
    outlier.probes_in_a_row = 0;
    outlier.next_probe_at = now + kProbeInterval;
  }
  outlier.is_ejected = is_outlier;
}

}  // namespace

// Guards against ejection where no report is owed: what is blocked sends none, and after a stall of this
// gateway itself the first reports are still to come.
bool is_overdue(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  const Attempt& attempt = command.attempt;
  TimePoint since = std::max(attempt.started_at, engine.outlier.last_sign_at);
  if (state.resumed_at) since = std::max(since, *state.resumed_at);
  if (attempt.is_waiting || now - since < kSilence) return false;
  const std::optional<Duration>& period = state.options.status_period;
  if (period && now - std::max(since, attempt.reported_at) > kStatusPeriodsMissed * *period) return true;
  return now - since > kOverdueRatio * usual_runtime(state, command, engine);
}

void review_engines(State& state, TimePoint now) {
  find_unresponsive(state, now);
  update_slowdowns(state, now);
  for (Engine& engine : state.engines) {
    eject_or_reinstate(state, now, engine);
    adjust_limit(state, now, engine);
  }
}

void fade_counts(Engine& engine, TimePoint now) {
  const double factor = fading_factor(engine.outlier.counted_at, now, kFailureWindow);
  engine.outlier.attempts *= factor;
  engine.outlier.failures *= factor;
  engine.concurrency.samples *= factor;
}

void count_outcome(Engine& engine, Outcome outcome) {
  EngineOutlier& outlier = engine.outlier;
  if (outcome == Outcome::kOk || is_failure(outcome) || outcome == Outcome::kTimedOut) outlier.attempts += 1;
  if (!is_failure(outcome)) return;
  outlier.failures += 1;
  outlier.good_probes_in_a_row = 0;
}

void note_success(State& state, Engine& engine, TimePoint now) {
  EngineOutlier& outlier = engine.outlier;
  // Guards the slow start: an engine unresponsive for long may have started anew before the list says so.
  if (outlier.is_unresponsive && now - outlier.last_sign_at > kRestartSilence)
    start_slow_start(state, engine, now);
  outlier.is_unresponsive = false;
  outlier.probes_in_a_row = 0;
  if (!outlier.is_ejected) return;
  // Guards against a long way back: fading counts alone keep an engine out as long again as it failed.
  outlier.next_probe_at = now;
  if (++outlier.good_probes_in_a_row >= kGoodProbes) outlier.failures = outlier.good_probes_in_a_row = 0;
}

bool may_probe(const State& state, const Command& command, const Engine& engine, TimePoint now) {
  return is_short(state, command) && profile_of(state, command).effect == Effect::kReplayable &&
         engine.in_flight.attempts == 0 && now >= engine.outlier.next_probe_at && command.attempts == 0;
}

void start_probe(Engine& engine, TimePoint now) {
  engine.outlier.next_probe_at = now + next_backoff(kProbeInterval, engine.outlier.probes_in_a_row);
}

}  // namespace firvalve
