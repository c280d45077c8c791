// Maps the listed names of engines to the numbers by which the policy and the transport identify them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
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
  // Removes the engine. Its number stays its own while it is among the last kMaxRemoved that were removed:
  // attempts and what was learned may still refer to it, and must not be taken for another engine's.
  static constexpr size_t kMaxRemoved = 1024;
  void remove(EngineId engine, const std::string& name);
  // Replaces all listed engines by `present`. Calls on_removed(engine) for each listed engine that `present`
  // does not contain.
  template <class OnRemoved>
  void replace_all(std::map<EngineId, std::string> present, OnRemoved&& on_removed) {
    for (const auto& [engine, name] : names_) {
      if (present.count(engine)) continue;
      on_removed(engine);
      retire_number(name);
    }
    names_ = std::move(present);
  }
  std::string_view name_of(EngineId engine) const;  // empty: not listed

 private:
  struct Removal {
    std::string name;
    uint64_t number = 0;  // removals are numbered from 1
  };
  void retire_number(const std::string& name);
  void release_number(const std::string& name);

  std::map<std::string, EngineId> numbers_;       // of listed and recently removed engines
  std::set<EngineId> numbers_in_use_;             // the values of numbers_
  std::map<EngineId, std::string> names_;         // of the listed engines
  std::deque<Removal> removals_;                  // the oldest first
  std::map<std::string, uint64_t> last_removal_;  // of each removed name that was not listed again
  uint64_t removal_count_ = 0;
};

}  // namespace firvalve
