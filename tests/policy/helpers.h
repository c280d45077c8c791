// Helpers that build the state for policy tests: profiles, engines, active commands and attempts.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace firvalve {

// at() is a time point in milliseconds after the start of the test; span() is a duration in milliseconds.
constexpr TimePoint at(Ms ms) { return time_point_of(ms); }
constexpr Duration span(Ms ms) { return duration_of(ms); }

inline CommandId id_of(int number) {
  CommandId id;
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
  std::copy(text, text + 16, id.text.begin());
  return id;
}

inline Profile make_profile(Effect effect, int threads = 1) {
  Profile made;
  made.benefit = 1;
  made.latency_target = span(1000);
  made.effect = effect;
  made.threads = threads;
  return made;
}

// Builds a state with ready, warm engines with ids 10, 20, ... that all have capacity.
inline State state_with(int engines, std::vector<Profile> profiles) {
  State state;
  state.profiles = std::move(profiles);
  state.options.max_attempts = 5;
  state.options.may_cancel = true;
  state.machine_types = state.zones = {""};
  state.concurrency.groups.resize(2);
  for (int i = 0; i < engines; ++i) {
    Engine engine;
    engine.id = EngineId{static_cast<uint32_t>(10 * (i + 1))};
    engine.state = EngineState::kReady;
    engine.cores = 8;
    engine.concurrency.limit = 16;
    state.engines.push_back(engine);
  }
  return state;
}

inline void put_in_zone(State& state, size_t engine, const std::string& zone) {
  state.engines[engine].zone = zone;
  state.engines[engine].zone_index = find_or_add_index(state.zones, zone);
}

// Adds a queued command of the profile, admitted at 0, with a deadline in 10 s and 100 ms of predicted work.
inline Command& add_command(State& state, size_t profile = 0) {
  const size_t slot = state.slots.size();
  state.slots.reserve(64);  // keeps references valid
  state.active_slots.push_back(slot);
  Command& command = state.slots.emplace_back();
  command.request.id = id_of(static_cast<int>(slot));
  command.request.profile = static_cast<int>(profile);
  command.profile = profile;
  command.request.deadline = at(10000);
  command.predicted_work = command.predicted_runtime = span(100);
  return command;
}

// Puts an attempt of the command in flight on the engine.
inline void start_attempt(State& state, Command& command, size_t engine, TimePoint now) {
  command.desired = DesiredState::kInFlight;
  command.desired_engine_index = engine;
  command.attempts += 1;
  command.attempt = Attempt{};
  command.attempt.state = AttemptState::kInFlight;
  command.attempt.engine_index = engine;
  command.attempt.started_at = command.attempt.reported_at = now;
  InFlightTotals& in_flight = state.engines[engine].in_flight;
  in_flight.attempts += 1;
  in_flight.threads += state.profiles[command.profile].threads;
  in_flight.work += command.predicted_work;
  if (is_short(state, command)) in_flight.short_threads += 1;
}

inline AttemptFinished attempt_finished(const Command& command, Outcome outcome) {
  AttemptFinished event;
  event.id = command.request.id;
  event.attempt = command.attempts - 1;
  event.outcome = outcome;
  event.elapsed = span(100);
  event.is_command_finished = outcome == Outcome::kOk;
  return event;
}

inline int count_of(const Actions& actions, Action::Kind kind) {
  return static_cast<int>(std::count_if(actions.begin(), actions.end(),
                                        [&](const Action& action) { return action.kind == kind; }));
}

}  // namespace firvalve
