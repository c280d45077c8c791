// Computes the work budget of engines that warm up and this gateway's part of it.
#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

// The work budget is this share of the overload limit of a warming engine; the rest absorbs random variation.
constexpr double kBudgetShare = 0.5;
// A command of at most this share of the work budget is small: such commands are numerous enough to average
// out.
constexpr double kSmallCommandShare = 0.05;
constexpr double kUsableCoreShare = 0.85;  // of the cores; benchmarks and operators call this the capacity
constexpr Duration kMaxListDelay = 8s;     // of the endpoint list: 7 s by its protocol, plus the transfer

// This gateway's budget for a warming engine in the window that ends now.
struct Budget {
  Duration all_gateways{}, own{};
  Duration small_interval{};  // time between small commands, if the share is less than one command
  Duration sent{};            // by this gateway
  TimePoint last_sent_at{};
};

// A gateway that started after the engine no longer knows what it sent before. It assumes that it used its
// share.
Budget budget_of(const State& state, Engine& engine, Duration work, TimePoint now) {
  const SlowStartOptions& options = state.options.slow_start;
  EngineSlowStart& slow_start = engine.slow_start;
  const TimePoint gateway_started_at = state.first_event_at.value_or(TimePoint{});
  const TimePoint started_at = *slow_start.started_at;
  Budget budget;
  budget.all_gateways = kBudgetShare * options.overload_multiple * warm_share(state, engine, now) *
                        kUsableCoreShare * engine.cores * options.overload_window;
  budget.own = budget.all_gateways / state.options.gateway_count;
  budget.small_interval = options.overload_window * std::max(1.0, work / budget.own);
  const Duration unrecorded_time =
      started_at < gateway_started_at ? options.overload_window - (now - gateway_started_at) : Duration{};
  budget.sent = budget.own * std::max(0.0, unrecorded_time / options.overload_window);
  budget.last_sent_at =
      std::max(started_at, gateway_started_at) - budget.small_interval * (1 - slow_start.first_turn_phase);
  const TimePoint keep_since = now - std::max(options.warm_up, budget.small_interval);
  std::erase_if(slow_start.sent, [&](const SentWork& sent) { return sent.at < keep_since; });
  for (const SentWork& sent : slow_start.sent) {
    if (sent.at > now - options.overload_window) budget.sent += sent.work;
    budget.last_sent_at = sent.at;
  }
  return budget;
}

// Large commands are sent in turns, one at a time, which all gateways derive from the engine's start and
// their gateway numbers. A turn that had begun when this gateway started is skipped.
bool has_scheduled_turn(const State& state, const Engine& engine, const Budget& budget, Duration work,
                        TimePoint now) {
  // Every turn is long enough for all profiles, so that the turns of different profiles do not add up.
  Duration longest_work = work;
  for (const Profile& profile : state.profiles)
    if (profile.costs.mean_predicted_work <= budget.all_gateways)
      longest_work = std::max(longest_work, profile.costs.mean_predicted_work);
  const Duration window = state.options.slow_start.overload_window;
  const TimePoint started_at = *engine.slow_start.started_at;
  const double turns = std::floor(budget.all_gateways / longest_work);  // per window
  const double turn = std::floor((now - started_at) * turns / window);
  const bool is_own_turn =
      std::fmod(turn + to_number(engine.id), state.options.gateway_count) == state.options.gateway_number;
  const TimePoint turn_started_at = started_at + turn * window / turns;
  return is_own_turn && turn_started_at > budget.last_sent_at &&
         turn_started_at >= state.first_event_at.value_or(TimePoint{});
}

}  // namespace

void start_slow_start(State& state, Engine& engine, TimePoint started_at) {
  engine.slow_start.started_at = started_at;
  engine.slow_start.first_turn_phase = std::ldexp(state.random.next(), -32);
  engine.slow_start.sent.clear();
}

// Corrects start times that are wrong because a wall clock was stepped, here or where the list is written. An
// engine that has just started may then seem an hour old and get the load of a warm one, or seem not to have
// started yet and get none. A start cannot be in the future, and a start that the list did not contain when
// it was last known to be current must be later than that, up to the delay of the list. A start time that
// contradicts this is replaced by `now`. As a cost, a warm engine that joins late may go through a warm-up.
TimePoint start_time_of(TimePoint started_at, std::optional<TimePoint> current_at, TimePoint now) {
  const bool is_in_future = started_at > now;
  const bool contradicts_list = current_at && started_at < *current_at - kMaxListDelay;
  return is_in_future || contradicts_list ? now : started_at;
}

double warm_share(const State& state, const Engine& engine, TimePoint now) {
  const SlowStartOptions& options = state.options.slow_start;
  const std::optional<TimePoint>& started_at = engine.slow_start.started_at;
  if (!started_at || now - *started_at >= options.warm_up) return 1;
  return options.initial_share + (1 - options.initial_share) * (now - *started_at) / options.warm_up;
}

SlowStartAdmission slow_start_admission(const State& state, Engine& engine, Duration work, TimePoint now) {
  std::optional<TimePoint>& started_at = engine.slow_start.started_at;
  const SlowStartOptions& options = state.options.slow_start;
  if (!started_at || now - *started_at > options.warm_up || options.overload_window <= Duration{}) {
    started_at.reset();
    return SlowStartAdmission::kAllowed;
  }
  const Budget budget = budget_of(state, engine, work, now);
  if (budget.sent + work <= budget.own) return SlowStartAdmission::kAllowed;
  if (work <= kSmallCommandShare * budget.all_gateways) {
    const bool is_due = work > budget.own && now - budget.last_sent_at >= budget.small_interval;
    return is_due ? SlowStartAdmission::kAllowed : SlowStartAdmission::kDenied;
  }
  if (work > budget.all_gateways) return SlowStartAdmission::kDenied;
  return has_scheduled_turn(state, engine, budget, work, now) ? SlowStartAdmission::kScheduledTurn
                                                              : SlowStartAdmission::kDenied;
}

void record_slow_start_work(Engine& engine, Duration work, TimePoint now) {
  if (engine.slow_start.started_at) engine.slow_start.sent.push_back({now, work});
}

}  // namespace firvalve
