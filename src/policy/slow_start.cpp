#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kBudgetShare = 0.5;    // of the allowed work to a cold engine: the rest is for chance
constexpr double kSmallShare = 0.05;    // of that work: commands up to this come in numbers that even out
constexpr double kCapacity = 0.85;      // of the cores: the bench's and the operators' meaning of capacity
constexpr Duration kListDelayMax = 8s;  // of the endpoint list: the protocol's 7 s, and the way

// What this gateway may send an engine that warms up, over the window that ends now.
struct Budget {
  Duration all_gateways{}, own{};
  Duration small_interval{};  // between small commands, where the share is less than one
  Duration sent{};            // of its own
  TimePoint last_sent_at{};
};

// A gateway that has started since the engine did has forgotten what it sent before: it takes that for its
// share.
Budget budget_of(const State& state, Engine& engine, Duration work, TimePoint now) {
  const SlowStartOptions& options = state.options.slow_start;
  EngineSlowStart& slow_start = engine.slow_start;
  const TimePoint opened_at = state.first_event_at.value_or(TimePoint{});
  const TimePoint started_at = *slow_start.started_at;
  Budget budget;
  budget.all_gateways = kBudgetShare * options.overload_multiple * warm_share(state, engine, now) *
                        kCapacity * engine.cores * options.overload_window;
  budget.own = budget.all_gateways / state.options.gateways;
  budget.small_interval = options.overload_window * std::max(1.0, work / budget.own);
  const Duration forgotten =
      started_at < opened_at ? options.overload_window - (now - opened_at) : Duration{};
  budget.sent = budget.own * std::max(0.0, forgotten / options.overload_window);
  budget.last_sent_at =
      std::max(started_at, opened_at) - budget.small_interval * (1 - slow_start.first_turn_phase);
  const TimePoint kept_since = now - std::max(options.warm_up, budget.small_interval);
  std::erase_if(slow_start.sent, [&](const SentWork& sent) { return sent.at < kept_since; });
  for (const SentWork& sent : slow_start.sent) {
    if (sent.at > now - options.overload_window) budget.sent += sent.work;
    budget.last_sent_at = sent.at;
  }
  return budget;
}

// Large commands come by turns, one at a time, which all gateways derive from the engine's start and their
// numbers. A turn that had begun when this gateway started passes.
bool has_scheduled_turn(const State& state, const Engine& engine, const Budget& budget, Duration work,
                        TimePoint now) {
  Duration longest = work;  // whose turns are long enough for all: the turns of profiles must not add up
  for (const Profile& profile : state.profiles)
    if (profile.costs.mean_predicted_work <= budget.all_gateways)
      longest = std::max(longest, profile.costs.mean_predicted_work);
  const Duration window = state.options.slow_start.overload_window;
  const TimePoint started_at = *engine.slow_start.started_at;
  const double turns = std::floor(budget.all_gateways / longest);  // within the window
  const double turn = std::floor((now - started_at) * turns / window);
  const bool is_own =
      std::fmod(turn + to_number(engine.id), state.options.gateways) == state.options.gateway_number;
  const TimePoint begun_at = started_at + turn * window / turns;
  return is_own && begun_at > budget.last_sent_at && begun_at >= state.first_event_at.value_or(TimePoint{});
}

}  // namespace

void start_slow_start(State& state, Engine& engine, TimePoint started_at) {
  engine.slow_start.started_at = started_at;
  engine.slow_start.first_turn_phase = std::ldexp(state.random.next(), -32);
  engine.slow_start.sent.clear();
}

// Guards the slow start against a wall clock that was stepped, here or where the list is written: by it an
// engine that has just started may seem an hour old, or not to have started yet, and would get the load of a
// warm one, or none. A start cannot lie ahead; and one that the list did not hold when it was last known to
// be current lies after that, but for the delay of the list. What contradicts these is taken as a start now.
// It may cost a warm engine that joins late a warm-up.
TimePoint start_time_of(TimePoint started_at, std::optional<TimePoint> current_at, TimePoint now) {
  const bool is_ahead = started_at > now;
  const bool is_older_than_news = current_at && started_at < *current_at - kListDelayMax;
  return is_ahead || is_older_than_news ? now : started_at;
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
  if (work <= kSmallShare * budget.all_gateways) {
    const bool is_due = work > budget.own && now - budget.last_sent_at >= budget.small_interval;
    return is_due ? SlowStartAdmission::kAllowed : SlowStartAdmission::kDenied;
  }
  if (work > budget.all_gateways) return SlowStartAdmission::kDenied;
  return has_scheduled_turn(state, engine, budget, work, now) ? SlowStartAdmission::kScheduledTurn
                                                              : SlowStartAdmission::kDenied;
}

void note_slow_start_work(Engine& engine, Duration work, TimePoint now) {
  if (engine.slow_start.started_at) engine.slow_start.sent.push_back({now, work});
}

}  // namespace firvalve
