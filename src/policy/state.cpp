// The containers of the state and the reading of settings. Nothing is decided here.
#include "policy/state.h"

#include <algorithm>
#include <utility>

namespace firvalve {

Profile profile_from(const Settings& a, int i) {
  const std::string at = "profile." + std::to_string(i) + ".";
  Profile p;
  p.benefit = number(a, at + "benefit", 1);
  p.late_share = number(a, at + "late share");
  p.latency_target = number(a, at + "latency target");
  p.target_stretch = number(a, at + "target stretch");
  p.repeat_window = number(a, at + "repeat window");
  const std::string effect = text(a, at + "effect"), group = text(a, at + "group");
  p.effect = effect == "replayable" ? Effect::kReplayable
             : effect == "uniqued"  ? Effect::kUniqued
                                    : Effect::kNonReplayable;
  p.group = group == "all" ? Group::kAll : group == "zone" ? Group::kZone : Group::kCell;
  p.in_order = number(a, at + "in order") > 0;
  p.is_load = number(a, at + "load") > 0;
  p.waits = number(a, at + "waits") > 0;
  p.threads = std::max(1, static_cast<int>(number(a, at + "threads", 1)));
  p.zones = texts(a, at + "zone");
  p.machines = texts(a, at + "machine");
  return p;
}

int number_of(std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  const auto place = at - names.begin();
  if (at == names.end()) names.push_back(name);
  return static_cast<int>(place);
}

Engine& engine_of(State& s, EngineId id) {
  auto e = std::lower_bound(s.engines.begin(), s.engines.end(), id,
                            [](const Engine& x, EngineId i) { return x.id < i; });
  if (e != s.engines.end() && e->id == id) return *e;
  const int place = static_cast<int>(e - s.engines.begin());
  for (const int i : s.live) {
    Command& c = s.slab[i];
    for (int* held : {&c.engine, &c.want_engine, &c.risked_on})
      if (*held >= place) ++*held;
  }
  e = s.engines.insert(e, Engine{});
  e->id = id;
  return *e;
}

void forget_gone(State& s) {
  const auto gone = [](const Engine& e) { return e.life == EngineState::kRemoved; };
  const auto all_gone = static_cast<size_t>(std::count_if(s.engines.begin(), s.engines.end(), gone));
  if (2 * all_gone <= s.engines.size()) return;
  for (size_t i = s.engines.size(); i-- > 0;) {
    const int place = static_cast<int>(i);
    const auto refers = [&](int live) {
      const Command& c = s.slab[live];
      return c.engine == place || c.want_engine == place || c.risked_on == place;
    };
    if (!gone(s.engines[i]) || std::any_of(s.live.begin(), s.live.end(), refers)) continue;
    s.engines.erase(s.engines.begin() + place);
    for (const int live : s.live)
      for (int* held : {&s.slab[live].engine, &s.slab[live].want_engine, &s.slab[live].risked_on})
        if (*held > place) --*held;
  }
}

const Command* command_of(const State& s, const CommandId& id) {
  for (const int place : s.live)
    if (s.slab[place].asked.id == id) return &s.slab[place];
  return nullptr;
}

Command* command_of(State& s, const CommandId& id) {
  return const_cast<Command*>(command_of(std::as_const(s), id));
}

Command& new_place(State& s) {
  int place = static_cast<int>(s.slab.size());
  if (s.free_places.empty()) {
    s.slab.emplace_back();
  } else {
    place = s.free_places.back();
    s.free_places.pop_back();
  }
  s.live.push_back(place);
  return s.slab[place] = Command{};
}

uint32_t Pcg::next() {
  const uint64_t old = state;
  state = old * 6364136223846793005ULL + 1442695040888963407ULL;
  const uint32_t shifted = static_cast<uint32_t>(((old >> 18) ^ old) >> 27);
  const uint32_t turn = static_cast<uint32_t>(old >> 59);
  return (shifted >> turn) | (shifted << ((32 - turn) & 31));
}

void SlidingWindow::add(Ms at) {
  if (count_ == places_.size()) {
    std::rotate(places_.begin(), places_.begin() + static_cast<long>(first_), places_.end());
    first_ = 0;
    places_.resize(std::max<size_t>(64, 2 * places_.size()));
  }
  places_[(first_ + count_++) % places_.size()] = at;
}

void SlidingWindow::forget_before(Ms at) {
  while (count_ > 0 && places_[first_] < at) {
    first_ = (first_ + 1) % places_.size();
    --count_;
  }
}

}  // namespace firvalve
