#include "policy/engine_selection.h"

#include <algorithm>
#include <string>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kShortExtra = 1.25;       // times the limit for short commands, which free it soon
constexpr double kCachedTables = 0.85;     // of the work: what tables read lately save
constexpr Duration kTablesLockedFor = 3s;  // as long as a report of it is kept: a load's usual length

// What a choice needs to know of the command, found once for all engines.
struct Request {
  const Command& command;
  const Profile& profile;
  TimePoint now;
  bool is_short = false;
  bool is_unbound = false;  // it may run on any machine type
};

// What a look at the engines of one half (the pool, or the light ones) has found. Those that have room are in
// State::selection.candidates.
struct HalfReview {
  bool has_working_engine = false;
  bool are_all_beyond_cores = true;  // more threads in flight than cores
  double limit = 0, in_flight = 0;   // threads, of all engines that would do
  std::optional<size_t> chosen;      // to be taken without a draw: a probe, or a scheduled turn
};

// Loads that readers would wait behind overflow when every pool engine is beyond its cores, as by design, or
// once held as long as heavy commands are; other heavy ones when the pool's limits are reached. Light ones
// use spare room there; those that would wait behind its loads if no light engine works.
bool may_overflow(const State& state, const Request& request, const HalfReview& preferred) {
  if (!preferred.has_working_engine) return true;
  if (!request.command.is_heavy) return !request.profile.waits_for_loads;
  const bool has_readers = std::any_of(state.profiles.begin(), state.profiles.end(),
                                       [](const Profile& profile) { return profile.waits_for_loads; });
  const bool is_held_long = request.now - request.command.queued_since > kHeavyHold;
  return !request.profile.is_load || !has_readers || preferred.are_all_beyond_cores || is_held_long;
}

// An engine in working order: adds it to the candidates if it has room, or takes it at once on its turn.
void review_working_engine(State& state, const Request& request, size_t place, HalfReview& half) {
  Engine& engine = state.engines[place];
  const EngineLoad& load = engine.in_flight;
  half.has_working_engine = true;
  half.are_all_beyond_cores &= load.threads > engine.cores;
  const double limit = engine.concurrency.limit * warm_share(state, engine, request.now) *
                       (request.is_short ? kShortExtra : 1);
  half.limit += limit;
  half.in_flight += request.is_short ? load.short_threads : load.threads;
  if (load.threads > 0 && load.threads + request.profile.threads > limit) {
    engine.concurrency.is_limit_reached = true;
    return;
  }
  const SlowStartAdmission admission =
      slow_start_admission(state, engine, request.profile.costs.mean_predicted_work, request.now);
  if (admission == SlowStartAdmission::kDenied || is_blocked_by_load(state, request.command, engine) ||
      (engine.is_reserved_now && request.is_unbound && !request.is_short))
    return;
  if (admission == SlowStartAdmission::kScheduledTurn)
    half.chosen = place;
  else
    state.selection.candidates.push_back(place);
}

HalfReview review_half(State& state, const Request& request, bool is_pool) {
  HalfReview half;
  state.selection.candidates.clear();
  for (size_t place = 0; place < state.engines.size() && !half.chosen; ++place) {
    Engine& engine = state.engines[place];
    if (engine.is_in_pool != is_pool || is_backing_off(engine, request.now, request.command) ||
        !may_attempt(state, request.command, engine, request.now))
      continue;
    if (!engine.outlier.is_ejected) {
      review_working_engine(state, request, place, half);
    } else if (may_probe(state, request.command, engine, request.now)) {
      start_probe(engine, request.now);
      half.chosen = place;
    }
  }
  return half;
}

// Guards against many gateways with a small share of each engine, whose single attempts add up to congestion:
// one attempt may always run, any further ones only within the limits of all these engines together. Short
// commands are held by each other alone: they do not wait out a long one.
bool exceeds_joint_limit(const State& state, const Request& request, const HalfReview& half, bool is_pool) {
  const bool has_overrun = !request.is_short && state.concurrency.overrun[is_pool] > Duration{};
  return (half.in_flight > 0 || has_overrun) && half.in_flight + request.profile.threads > half.limit;
}

// Guards against filling machines that some commands are bound to while others stand half idle: congested
// engines take nothing that has room on one that is not.
void drop_congested(State& state) {
  std::vector<size_t>& candidates = state.selection.candidates;
  const auto congestion = [&](size_t place) { return state.engines[place].concurrency.congestion; };
  const auto is_uncongested = [&](size_t place) { return congestion(place) < kCongestionLow; };
  if (std::any_of(candidates.begin(), candidates.end(), is_uncongested))
    std::erase_if(candidates, [&](size_t place) { return congestion(place) > kCongestionHigh; });
}

// What may run anywhere leaves reserved engines to the commands that are bound to them. Short commands do so
// only where this gateway's limit holds one there: elsewhere some engine is always reserved, and the short
// commands of all gateways would congest the machines that nothing is bound to.
void drop_reserved(State& state, const Request& request) {
  std::vector<size_t>& candidates = state.selection.candidates;
  const auto is_left_free = [&](size_t place) {
    const Engine& engine = state.engines[place];
    return request.is_unbound && engine.is_reserved &&
           (!request.is_short || engine.concurrency.limit >= request.profile.threads);
  };
  if (!std::all_of(candidates.begin(), candidates.end(), is_left_free))
    std::erase_if(candidates, is_left_free);
}

// The runtime to be expected there for all work in flight and this command.
Duration expected_load(const Command& command, const Engine& engine) {
  const auto& tables = engine.recent_table_groups;
  const bool is_cached = command.request.table_group &&
                         std::find(tables.begin(), tables.end(), command.request.table_group) != tables.end();
  return (engine.in_flight.work + command.predicted_work * (is_cached ? kCachedTables : 1)) *
         std::max(1.0, engine.concurrency.usual_slowdown) / engine.cores;
}

size_t draw_less_loaded_of_two(State& state, const Command& command) {
  const std::vector<size_t>& candidates = state.selection.candidates;
  const size_t count = candidates.size();
  const size_t first = state.random.next() % count;
  const size_t second = count > 1 ? (first + 1 + state.random.next() % (count - 1)) % count : first;
  const auto load = [&](size_t drawn) { return expected_load(command, state.engines[candidates[drawn]]); };
  return load(first) <= load(second) ? candidates[first] : candidates[second];
}

}  // namespace

std::optional<size_t> choose_engine(State& state, const Command& command, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  const Request request{command, profile, now, is_short(state, command), profile.machine_types.empty()};
  HalfReview half;
  for (const bool is_pool : {command.is_heavy, !command.is_heavy}) {
    if (is_pool != command.is_heavy && !may_overflow(state, request, half)) break;
    half = review_half(state, request, is_pool);
    if (half.chosen) return half.chosen;
    if (exceeds_joint_limit(state, request, half, is_pool)) {
      for (const size_t place : state.selection.candidates)
        state.engines[place].concurrency.is_limit_reached = true;
      continue;
    }
    if (state.selection.candidates.empty()) continue;
    drop_congested(state);
    drop_reserved(state, request);
    return draw_less_loaded_of_two(state, command);
  }
  return std::nullopt;
}

bool is_allowed_on(const Profile& profile, const Engine& engine) {
  const auto is_named = [](const std::vector<std::string>& names, const std::string& name) {
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
  };
  return is_named(profile.zones, engine.zone) && is_named(profile.machine_types, engine.machine_type);
}

bool is_blocked_by_load(const State& state, const Command& command, const Engine& engine) {
  const Profile& profile = profile_of(state, command);
  const std::optional<int64_t>& table_group = command.request.table_group;
  if (!table_group || !(profile.waits_for_loads || profile.is_load)) return false;
  for (const size_t slot : state.in_hand) {
    const Command& other = state.slots[slot];
    if (&other != &command && has_attempt(other) && &state.engines[*other.attempt.engine] == &engine &&
        other.request.table_group == table_group && profile_of(state, other).is_load)
      return true;
  }
  const std::vector<LockedTables>& locked = state.selection.locked_tables;
  return std::any_of(locked.begin(), locked.end(), [&](const LockedTables& tables) {
    return tables.engine == engine.id && tables.table_group == table_group;
  });
}

void note_locked_tables(State& state, const Command& command, EngineId engine, TimePoint now) {
  state.selection.locked_tables.push_back({engine, command.request.table_group, now + kTablesLockedFor});
}

void forget_unlocked_tables(State& state, TimePoint now) {
  std::erase_if(state.selection.locked_tables,
                [&](const LockedTables& tables) { return now >= tables.until; });
}

void note_cached_tables(Engine& engine, const Command& command) {
  auto& tables = engine.recent_table_groups;
  const auto place = static_cast<size_t>(command.attempts + to_ms(command.admitted_at)) % tables.size();
  tables[place] = command.request.table_group;
}

}  // namespace firvalve
