#include "policy/state.h"

#include <algorithm>
#include <utility>

namespace firvalve {
namespace {

// Calls visit(place) for each place in State::engines that the command refers to.
template <class AnyCommand, class Visit>
void visit_engine_places(AnyCommand& command, Visit&& visit) {
  if (command.attempt.engine) visit(*command.attempt.engine);
  if (command.desired_engine) visit(*command.desired_engine);
  if (command.possible_run) visit(command.possible_run->engine);
}

bool refers_to(const Command& command, size_t place) {
  bool refers = false;
  visit_engine_places(command, [&](size_t engine) { refers |= engine == place; });
  return refers;
}

}  // namespace

bool is_short(const State& state, const Command& command) {
  return profile_of(state, command).threads == 1 && !command.is_heavy;
}

size_t index_of(std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  const auto index = static_cast<size_t>(at - names.begin());
  if (at == names.end()) names.push_back(name);
  return index;
}

Engine& find_or_add_engine(State& state, EngineId id) {
  const auto at = std::lower_bound(state.engines.begin(), state.engines.end(), id,
                                   [](const Engine& engine, EngineId wanted) { return engine.id < wanted; });
  if (at != state.engines.end() && at->id == id) return *at;
  const auto place = static_cast<size_t>(at - state.engines.begin());
  for (const size_t slot : state.in_hand)
    visit_engine_places(state.slots[slot], [&](size_t& engine) {
      if (engine >= place) ++engine;
    });
  Engine& added = *state.engines.insert(at, Engine{});
  added.id = id;
  return added;
}

void forget_removed_engines(State& state) {
  const auto is_removed = [](const Engine& engine) { return engine.state == EngineState::kRemoved; };
  const auto removed =
      static_cast<size_t>(std::count_if(state.engines.begin(), state.engines.end(), is_removed));
  if (2 * removed <= state.engines.size()) return;
  for (size_t place = state.engines.size(); place-- > 0;) {
    const auto is_referred_to = [&](size_t slot) { return refers_to(state.slots[slot], place); };
    if (!is_removed(state.engines[place]) ||
        std::any_of(state.in_hand.begin(), state.in_hand.end(), is_referred_to))
      continue;
    state.engines.erase(state.engines.begin() + static_cast<std::ptrdiff_t>(place));
    for (const size_t slot : state.in_hand)
      visit_engine_places(state.slots[slot], [&](size_t& engine) {
        if (engine > place) --engine;
      });
  }
}

const Command* find_command(const State& state, const CommandId& id) {
  for (const size_t slot : state.in_hand)
    if (state.slots[slot].request.id == id) return &state.slots[slot];
  return nullptr;
}

Command* find_command(State& state, const CommandId& id) {
  return const_cast<Command*>(find_command(std::as_const(state), id));
}

Command& add_command_in_hand(State& state) {
  size_t slot = state.slots.size();
  if (state.free_slots.empty()) {
    state.slots.emplace_back();
  } else {
    slot = state.free_slots.back();
    state.free_slots.pop_back();
  }
  state.in_hand.push_back(slot);
  return state.slots[slot] = Command{};
}

}  // namespace firvalve
