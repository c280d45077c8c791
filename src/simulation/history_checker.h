// Checks the history of a run against its rules. It shares no code with the core or the policy module, so
// that it cannot share their faults. It makes one pass over the history.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "simulation/history.h"

namespace firvalve::simulation {

enum class Rule {
  kOneAnswer,  // exactly one final answer for each command, before its deadline
  kNotTwice,   // a non-replayable command never runs twice
  kWindow,     // a deduplicated command is retried only within its window and group
  kDrain,      // no attempt at a draining or removed engine after the grace period
  kCold,       // no cold engine is overloaded until it fails
  kOrder,      // commands of an ordering key run in order, one at a time
  kPlacement,  // a command runs only in the zones and on the machines of its profile
  kBudget,     // retries stay within the retry budget
  kHistory,    // the history is inconsistent: an attempt without a command, an end without an attempt
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
  std::string text() const;  // one line for each violated rule, or one line that says that there is none
};

// `end` is when the history ends. A command whose deadline is later may still be unanswered.
Verdict check_history(const RunRules& rules, const History& history, Ms end);

}  // namespace firvalve::simulation
