// Containers of the policy's state. Inserting or erasing an engine adjusts the indices that active commands
// hold.
#include "policy/state.h"

#include <algorithm>
#include <utility>

namespace firvalve {
namespace {

// Calls visit(index) for each index into State::engines that the command holds.
template <class AnyCommand, class Visit>
void visit_engine_indices(AnyCommand& command, Visit&& visit) {
  if (command.attempt.engine_index) visit(*command.attempt.engine_index);
  if (command.desired_engine_index) visit(*command.desired_engine_index);
  if (command.possible_run) visit(command.possible_run->engine_index);
}

bool refers_to(const Command& command, size_t index) {
  bool refers = false;
  visit_engine_indices(command, [&](size_t engine_index) { refers |= engine_index == index; });
  return refers;
}

}  // namespace

bool is_short(const State& state, const Command& command) {
  return profile_of(state, command).threads == 1 && !command.is_heavy;
}

size_t find_or_add_index(std::vector<std::string>& names, const std::string& name) {
  const auto at = std::find(names.begin(), names.end(), name);
  const auto index = static_cast<size_t>(at - names.begin());
  if (at == names.end()) names.push_back(name);
  return index;
}

Engine& find_or_add_engine(State& state, EngineId id) {
  const auto at = std::lower_bound(state.engines.begin(), state.engines.end(), id,
                                   [](const Engine& engine, EngineId wanted) { return engine.id < wanted; });
  if (at != state.engines.end() && at->id == id) return *at;
  const auto index = static_cast<size_t>(at - state.engines.begin());
  for (const size_t slot : state.active_slots)
    visit_engine_indices(state.slots[slot], [&](size_t& engine_index) {
      if (engine_index >= index) ++engine_index;
    });
  Engine& added = *state.engines.insert(at, Engine{});
  added.id = id;
  return added;
}

void erase_removed_engines(State& state) {
  const auto is_removed = [](const Engine& engine) { return engine.state == EngineState::kRemoved; };
  const auto removed =
      static_cast<size_t>(std::count_if(state.engines.begin(), state.engines.end(), is_removed));
  if (2 * removed <= state.engines.size()) return;
  for (size_t index = state.engines.size(); index-- > 0;) {
    const auto is_referenced = [&](size_t slot) { return refers_to(state.slots[slot], index); };
    if (!is_removed(state.engines[index]) ||
        std::any_of(state.active_slots.begin(), state.active_slots.end(), is_referenced))
      continue;
    state.engines.erase(state.engines.begin() + static_cast<std::ptrdiff_t>(index));
    for (const size_t slot : state.active_slots)
      visit_engine_indices(state.slots[slot], [&](size_t& engine_index) {
        if (engine_index > index) --engine_index;
      });
  }
}

const Command* find_command(const State& state, const CommandId& id) {
  for (const size_t slot : state.active_slots)
    if (state.slots[slot].request.id == id) return &state.slots[slot];
  return nullptr;
}

Command* find_command(State& state, const CommandId& id) {
  return const_cast<Command*>(find_command(std::as_const(state), id));
}

Command& add_active_command(State& state) {
  size_t slot = state.slots.size();
  if (state.free_slots.empty()) {
    state.slots.emplace_back();
  } else {
    slot = state.free_slots.back();
    state.free_slots.pop_back();
  }
  state.active_slots.push_back(slot);
  return state.slots[slot] = Command{};
}

}  // namespace firvalve
