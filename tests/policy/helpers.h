// Builds the state that a test needs: profiles, engines, commands in hand.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>

#include "policy/policy.h"

namespace firvalve {

inline CommandId id_of(int n) {
  CommandId id;
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(n));
  std::copy(text, text + 16, id.text.begin());
  return id;
}

inline Profile profile(Effect effect, int threads = 1) {
  Profile p;
  p.benefit = 1;
  p.latency_target = 1000;
  p.effect = effect;
  p.threads = threads;
  return p;
}

// Ready, warm engines with ids 10, 20, ... and room on all of them.
inline State state_with(int engines, std::vector<Profile> profiles) {
  State s;
  s.profiles = std::move(profiles);
  s.most_sends = 5;
  s.may_cancel = true;
  s.machines = s.zones = {""};
  s.kin.resize(2);
  for (int i = 0; i < engines; ++i) {
    Engine e;
    e.id = EngineId{static_cast<uint32_t>(10 * (i + 1))};
    e.life = EngineState::kReady;
    e.cores = 8;
    e.limit = 16;
    s.engines.push_back(e);
  }
  return s;
}

inline void put_in_zone(State& s, size_t engine, const std::string& zone) {
  s.engines[engine].zone = zone;
  s.engines[engine].zone_number = number_of(s.zones, zone);
}

// A held command of the given profile, taken at 0, with 10 s to go and 100 ms of predicted work.
inline Command& add_command(State& s, int profile = 0) {
  const int place = static_cast<int>(s.slab.size());
  s.slab.reserve(64);  // so that references stay good
  s.live.push_back(place);
  Command& c = s.slab.emplace_back();
  c.asked.id = id_of(place);
  c.asked.profile = profile;
  c.asked.gives_up_at = 10000;
  c.cost = c.alone = 100;
  return c;
}

inline void put_out(State& s, Command& c, int engine, Ms at) {
  c.want = Want::kOut;
  c.out = true;
  c.sends += 1;
  c.engine = c.want_engine = engine;
  c.sent_at = c.noted_at = at;
  Engine& e = s.engines[static_cast<size_t>(engine)];
  e.sends_out += 1;
  e.threads_out += s.profiles[static_cast<size_t>(c.asked.profile)].threads;
  e.work_out += c.cost;
  if (s.profiles[static_cast<size_t>(c.asked.profile)].threads == 1 && !c.heavy) e.short_out += 1;
}

inline Event settled(const Command& c, Outcome outcome) {
  AttemptFinished r;
  r.id = c.asked.id;
  r.attempt = c.sends - 1;
  r.outcome = outcome;
  r.elapsed = duration_of(100);
  r.is_command_finished = outcome == Outcome::kOk;
  return r;
}

inline void handle_at(State& s, Ms now, const Event& event) { handle(s, time_point_of(now), event); }

inline int count_of(const Actions& actions, Action::Kind kind) {
  return static_cast<int>(
      std::count_if(actions.begin(), actions.end(), [&](const Action& a) { return a.kind == kind; }));
}

}  // namespace firvalve
