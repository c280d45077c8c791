// Checks a run against its rules, from its history alone. Written apart from the module and from the core: it
// shares no line with them. One pass, memory by commands and engines in hand.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "simulation/history.h"

namespace firvalve::simulation {

enum class Rule {
  kOneAnswer,  // exactly one final answer a command, in time
  kNotTwice,   // non-replayable commands never run twice
  kWindow,     // uniqued ones run again only inside their window and group
  kDrain,      // no send to an engine that drains or is gone, past the grace
  kCold,       // no cold engine is pushed over
  kOrder,      // commands of a key in order, one at a time
  kPlacement,  // only where a profile may run
  kBudget,     // further sends within the budget
  kHistory,    // the record itself makes no sense: a send of no command, an end of no send
};
constexpr size_t kRules = 9;
std::string_view name_of(Rule rule);

struct Violation {
  Rule rule = Rule::kHistory;
  Ms at = 0;
  uint64_t command = 0;
  uint32_t gateway = 0, engine = 0;
  std::string what;
};

struct Verdict {
  std::array<uint64_t, kRules> counts{};
  std::vector<Violation> first;  // the first few of each rule
  uint64_t commands = 0, sends = 0;
  bool good() const;
  std::string text() const;  // a line for each rule that is broken, or one that says that none is
};

// `end`: until when the run was watched; what its clients still wait for then is owed nothing.
Verdict check_history(const RunRules& rules, const History& history, Ms end);

}  // namespace firvalve::simulation
