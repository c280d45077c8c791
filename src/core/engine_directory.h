// The numbers that engines have in the policy and on the way to their connections, by their listed names.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "policy/events.h"

namespace firvalve {

class EngineDirectory {
 public:
  // The number of the engine of that name; a new name gets one. Gateways must agree on the order of engines,
  // so it comes from the name alone: its last eight hex digits, or else a hash of it.
  EngineId number_of(const std::string& name);
  void add(const std::map<EngineId, std::string>& engines) { names_.insert(engines.begin(), engines.end()); }
  // The engine has gone: its name may come again with another number.
  void remove(EngineId engine, const std::string& name);
  // All engines listed are forgotten but those of `present`. Each forgotten one is passed to `on_gone`.
  template <class OnGone>
  void replace_all(std::map<EngineId, std::string> present, OnGone&& on_gone) {
    for (const auto& [engine, name] : names_) {
      if (present.count(engine)) continue;
      on_gone(engine);
      forget_number(name);
    }
    names_ = std::move(present);
  }
  std::string_view name_of(EngineId engine) const;  // empty: it is not listed

 private:
  void forget_number(const std::string& name);

  std::map<std::string, EngineId> numbers_;
  std::set<EngineId> numbers_in_use_;      // of numbers_
  std::map<EngineId, std::string> names_;  // of engines listed
};

}  // namespace firvalve
