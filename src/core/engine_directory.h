// Maps the listed names of engines to the numbers by which the policy and the transport identify them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "policy/events.h"

namespace firvalve {

class EngineDirectory {
 public:
  // Returns the engine's number, assigning one to a new name. Gateways must agree on the order of engines, so
  // the number is derived from the name alone: its last eight hex digits, or else a hash of the name. If
  // another engine has that number, the next free one is used.
  EngineId number_of(const std::string& name);
  void add(const std::map<EngineId, std::string>& engines) { names_.insert(engines.begin(), engines.end()); }
  // Removes the engine and frees its number. The name may later get another number.
  void remove(EngineId engine, const std::string& name);
  // Replaces all listed engines by `present`. Calls on_removed(engine) for each listed engine that `present`
  // does not contain.
  template <class OnRemoved>
  void replace_all(std::map<EngineId, std::string> present, OnRemoved&& on_removed) {
    for (const auto& [engine, name] : names_) {
      if (present.count(engine)) continue;
      on_removed(engine);
      release_number(name);
    }
    names_ = std::move(present);
  }
  std::string_view name_of(EngineId engine) const;  // empty: not listed

 private:
  void release_number(const std::string& name);

  std::map<std::string, EngineId> numbers_;
  std::set<EngineId> numbers_in_use_;      // the values of numbers_
  std::map<EngineId, std::string> names_;  // of the listed engines
};

}  // namespace firvalve
