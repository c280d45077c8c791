// Scans the preferred partition of engines, then the other, and draws an engine with capacity.
#include "policy/engine_selection.h"

#include <algorithm>
#include <string>

#include "policy/state.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr double kShortCommandLimitFactor = 1.25;  // short commands soon free the capacity again
constexpr double kCachedTablesWorkFactor =
    0.85;                                    // of the work, on an engine that has read the tables recently
constexpr Duration kTableLockLifetime = 3s;  // how long a report is trusted: the usual duration of a load

// The command to place and its properties, looked up once for all engines.
struct Request {
  const Command& command;
  const Profile& profile;
  TimePoint now;
  bool is_short = false;
  bool is_unrestricted = false;  // it may run on any machine type
};

// Result of scanning one partition (the pool, or the light engines). Engines with capacity are in
// State::selection.candidates.
struct PartitionScan {
  bool has_working_engine = false;
  bool are_all_beyond_cores = true;  // each has more threads in flight than cores
  double limit = 0, in_flight = 0;   // threads, summed over all usable engines
  std::optional<size_t> chosen;  // taken without a draw: for a probe, or on a scheduled turn of slow start
};

// Whether a command may overflow from its preferred partition into the other. Any command may if no preferred
// engine works. Light commands use spare capacity of the pool unless they would wait behind its loads. Heavy
// commands overflow when the pool's limits are reached; loads that readers would wait behind do so only when
// every pool engine runs more threads than it has cores, or after the longest wait of heavy commands.
bool may_overflow(const State& state, const Request& request, const PartitionScan& preferred) {
  if (!preferred.has_working_engine) return true;
  if (!request.command.is_heavy) return !request.profile.waits_for_loads;
  const bool has_readers = std::any_of(state.profiles.begin(), state.profiles.end(),
                                       [](const Profile& profile) { return profile.waits_for_loads; });
  const bool has_waited_long = request.now - request.command.queued_since > kMaxHeavyWait;
  return !request.profile.is_load || !has_readers || preferred.are_all_beyond_cores || has_waited_long;
}

// Scans an engine that is not ejected: adds it to the candidates if it has capacity, or chooses it on its
// scheduled turn.
void scan_working_engine(State& state, const Request& request, size_t index, PartitionScan& partition) {
  Engine& engine = state.engines[index];
  const InFlightTotals& in_flight = engine.in_flight;
  partition.has_working_engine = true;
  partition.are_all_beyond_cores &= in_flight.threads > engine.cores;
  const double limit = engine.concurrency.limit * warm_share(state, engine, request.now) *
                       (request.is_short ? kShortCommandLimitFactor : 1);
  partition.limit += limit;
  partition.in_flight += request.is_short ? in_flight.short_threads : in_flight.threads;
  if (in_flight.threads > 0 && in_flight.threads + request.profile.threads > limit) {
    engine.concurrency.is_limit_reached = true;
    return;
  }
  const SlowStartAdmission admission =
      slow_start_admission(state, engine, request.profile.costs.mean_predicted_work, request.now);
  if (admission == SlowStartAdmission::kDenied || is_blocked_by_load(state, request.command, engine) ||
      (engine.is_reserved_this_review && request.is_unrestricted && !request.is_short))
    return;
  if (admission == SlowStartAdmission::kScheduledTurn)
    partition.chosen = index;
  else
    state.selection.candidates.push_back(index);
}

PartitionScan scan_partition(State& state, const Request& request, bool is_pool) {
  PartitionScan partition;
  state.selection.candidates.clear();
  for (size_t index = 0; index < state.engines.size() && !partition.chosen; ++index) {
    Engine& engine = state.engines[index];
    if (engine.is_in_pool != is_pool || is_backing_off(engine, request.now, request.command) ||
        !may_attempt(state, request.command, engine, request.now))
      continue;
    if (!engine.outlier.is_ejected) {
      scan_working_engine(state, request, index, partition);
    } else if (may_probe(state, request.command, engine, request.now)) {
      start_probe(engine, request.now);
      partition.chosen = index;
    }
  }
  return partition;
}

// Where many gateways have a small share of each engine, their single attempts can add up to congestion. One
// attempt may always run; further ones must fit within the combined limits of the partition's engines. Short
// commands are limited only by each other, so that they do not wait out a long one.
bool exceeds_joint_limit(const State& state, const Request& request, const PartitionScan& partition,
                         bool is_pool) {
  const bool has_overrun = !request.is_short && state.concurrency.overrun[is_pool] > Duration{};
  return (partition.in_flight > 0 || has_overrun) &&
         partition.in_flight + request.profile.threads > partition.limit;
}

// Drops congested engines if an uncongested one has capacity. Otherwise machines that some commands are
// restricted to would fill up while others stand half idle.
void drop_congested(State& state) {
  std::vector<size_t>& candidates = state.selection.candidates;
  const auto congestion = [&](size_t index) { return state.engines[index].concurrency.congestion; };
  const auto is_uncongested = [&](size_t index) { return congestion(index) < kCongestionLow; };
  if (std::any_of(candidates.begin(), candidates.end(), is_uncongested))
    std::erase_if(candidates, [&](size_t index) { return congestion(index) > kCongestionHigh; });
}

// Leaves reserved engines to the commands restricted to them, if there is another candidate. Short commands
// do so only where this gateway's limit holds one: with smaller limits some engine is always reserved, and
// the short commands of all gateways would congest the machines that no command is restricted to.
void drop_reserved(State& state, const Request& request) {
  std::vector<size_t>& candidates = state.selection.candidates;
  const auto is_reserved_for_others = [&](size_t index) {
    const Engine& engine = state.engines[index];
    return request.is_unrestricted && engine.is_reserved &&
           (!request.is_short || engine.concurrency.limit >= request.profile.threads);
  };
  if (!std::all_of(candidates.begin(), candidates.end(), is_reserved_for_others))
    std::erase_if(candidates, is_reserved_for_others);
}

// The time that the engine is expected to need for all work in flight and this command.
Duration expected_completion_time(const Command& command, const Engine& engine) {
  const auto& tables = engine.recent_table_groups;
  const bool is_cached = command.request.table_group &&
                         std::find(tables.begin(), tables.end(), command.request.table_group) != tables.end();
  return (engine.in_flight.work + command.predicted_work * (is_cached ? kCachedTablesWorkFactor : 1)) *
         std::max(1.0, engine.concurrency.usual_slowdown) / engine.cores;
}

size_t draw_less_loaded_of_two(State& state, const Command& command) {
  const std::vector<size_t>& candidates = state.selection.candidates;
  const size_t count = candidates.size();
  const size_t first = state.random.next() % count;
  const size_t second = count > 1 ? (first + 1 + state.random.next() % (count - 1)) % count : first;
  const auto load = [&](size_t drawn) {
    return expected_completion_time(command, state.engines[candidates[drawn]]);
  };
  return load(first) <= load(second) ? candidates[first] : candidates[second];
}

}  // namespace

std::optional<size_t> choose_engine(State& state, const Command& command, TimePoint now) {
  const Profile& profile = profile_of(state, command);
  const Request request{command, profile, now, is_short(state, command), profile.machine_types.empty()};
  PartitionScan partition;
  for (const bool is_pool : {command.is_heavy, !command.is_heavy}) {
    if (is_pool != command.is_heavy && !may_overflow(state, request, partition)) break;
    partition = scan_partition(state, request, is_pool);
    if (partition.chosen) return partition.chosen;
    if (exceeds_joint_limit(state, request, partition, is_pool)) {
      for (const size_t index : state.selection.candidates)
        state.engines[index].concurrency.is_limit_reached = true;
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
  for (const size_t slot : state.active_slots) {
    const Command& other = state.slots[slot];
    if (&other != &command && has_attempt(other) && &state.engines[*other.attempt.engine_index] == &engine &&
        other.request.table_group == table_group && profile_of(state, other).is_load)
      return true;
  }
  const std::vector<TableLock>& locks = state.selection.table_locks;
  return std::any_of(locks.begin(), locks.end(), [&](const TableLock& lock) {
    return lock.engine == engine.id && lock.table_group == table_group;
  });
}

void record_table_lock(State& state, const Command& command, EngineId engine, TimePoint now) {
  state.selection.table_locks.push_back({engine, command.request.table_group, now + kTableLockLifetime});
}

void erase_expired_table_locks(State& state, TimePoint now) {
  std::erase_if(state.selection.table_locks, [&](const TableLock& lock) { return now >= lock.until; });
}

void record_cached_tables(Engine& engine, const Command& command) {
  auto& tables = engine.recent_table_groups;
  const auto index = static_cast<size_t>(command.attempts + to_ms(command.admitted_at)) % tables.size();
  tables[index] = command.request.table_group;
}

}  // namespace firvalve
