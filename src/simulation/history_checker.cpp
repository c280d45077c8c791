#include "simulation/history_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace firvalve::simulation {
namespace {

using Kind = HistoryEvent::Kind;
using State = HistoryEvent::State;
using AttemptEnd = HistoryEvent::AttemptEnd;

constexpr size_t kMaxDetailed = 5;  // violations of a rule that are listed one by one

struct Attempt {
  uint64_t command = 0;
  uint32_t engine = 0;
};

struct Command {
  int profile = -1;
  uint32_t gateway = 0;
  uint64_t key = 0;
  Ms until = 0;
  int attempts = 0, running = 0;
  bool answered = false, gone = false;
  bool may_have_run = false;  // an attempt may have run
  Ms first_attempt_at = 0;    // start of the first attempt that may have run
  uint32_t first_engine = 0;  // the engine of that attempt
};

class HistoryChecker {
 public:
  HistoryChecker(const RunRules& rules, Ms end) : rules_(rules), end_(end) {}

  void handle(const HistoryEvent& h) {
    switch (h.kind) {
      case Kind::kListed:
        last_listed_[{h.gateway, h.engine}] = {h.state, h.at};
        break;
      case Kind::kStarted:
        break;
      case Kind::kFell:
        report_violation(Rule::kCold, h, "the engine failed under load while it was cold");
        break;
      case Kind::kTaken:
        admit_command(h);
        break;
      case Kind::kSent:
        start_attempt(h);
        break;
      case Kind::kSendOver:
        end_attempt(h);
        break;
      case Kind::kAnswered:
      case Kind::kRefused:
      case Kind::kFailed:
        answer_command(h);
        break;
      case Kind::kGone:
        if (const auto at = commands_.find(h.command); at != commands_.end()) at->second.gone = true;
        break;
      case Kind::kGatewayDied:
        for (auto& [id, c] : commands_) c.gone |= c.gateway == h.gateway;
        // Attempts of the dead gateway may still run. A retry through another gateway counts as a new
        // command.
        break;
    }
  }

  Verdict end() {
    for (const auto& [id, c] : commands_) {
      if (c.answered || c.gone || end_ <= c.until + rules_.answer_grace) continue;
      HistoryEvent h;
      h.at = c.until;
      h.command = id;
      h.gateway = c.gateway;
      report_violation(Rule::kOneAnswer, h, "no final answer before the deadline");
    }
    return verdict_;
  }

 private:
  struct LastListed {  // the engine state that a gateway received last
    State state = State::kServing;
    Ms at = 0;
  };
  struct Budget {
    std::deque<Ms> admitted, retried;  // times within the window
  };
  struct Key {
    std::deque<uint64_t> unanswered;  // commands in the order of their admission
    int running = 0;                  // attempts
    Ms blocked_until = 0;
  };

  void report_violation(Rule rule, const HistoryEvent& h, std::string what) {
    if (++verdict_.counts[static_cast<size_t>(rule)] <= kMaxDetailed)
      verdict_.first.push_back({rule, h.at, h.command, h.gateway, h.engine, std::move(what)});
  }

  Command* find(const HistoryEvent& h) {
    const auto at = commands_.find(h.command);
    if (at != commands_.end()) return &at->second;
    report_violation(Rule::kHistory, h, "event of a command that no gateway has admitted");
    return nullptr;
  }

  const RunRules::Profile& profile_of(const Command& c) const {
    return rules_.profiles[static_cast<size_t>(c.profile)];
  }
  bool is_ordered(const Command& c) const { return c.key != 0 && profile_of(c).in_order; }

  void admit_command(const HistoryEvent& h) {
    if (h.profile < 0 || static_cast<size_t>(h.profile) >= rules_.profiles.size())
      return report_violation(Rule::kHistory, h, "unknown profile");
    const auto [at, added] = commands_.try_emplace(h.command);
    if (!added) return report_violation(Rule::kHistory, h, "the command was admitted twice");
    Command& c = at->second;
    c.profile = h.profile;
    c.gateway = h.gateway;
    c.key = h.key;
    c.until = h.until;
    ++verdict_.commands;
    budgets_[h.gateway].admitted.push_back(h.at);
    if (is_ordered(c)) keys_[{h.gateway, h.key}].unanswered.push_back(h.command);
  }

  void start_attempt(const HistoryEvent& h) {
    Command* const c = find(h);
    if (!c) return;
    ++verdict_.sends;
    if (h.engine >= rules_.engines.size())
      return report_violation(Rule::kHistory, h, "attempt at an unknown engine");
    if (!attempts_.emplace(h.send, Attempt{h.command, h.engine}).second)
      return report_violation(Rule::kHistory, h, "duplicate attempt number");
    const RunRules::Profile& p = profile_of(*c);
    if (c->answered) report_violation(Rule::kOneAnswer, h, "attempt started after the final answer");
    check_retry(h, *c, p);
    check_placement(h, p);
    check_drain(h);
    if (is_ordered(*c)) check_order(h);
    if (c->attempts > 0) check_budget(h);
    c->attempts += 1;
    c->running += 1;
    if (!c->may_have_run) {  // no attempt that has ended may have run
      c->first_attempt_at = h.at;
      c->first_engine = h.engine;
    }
  }

  void check_retry(const HistoryEvent& h, const Command& c, const RunRules::Profile& p) {
    const bool is_possible_rerun = c.may_have_run || c.running > 0;
    if (!is_possible_rerun) return;
    if (p.effect == RunRules::Effect::kNonReplayable)
      report_violation(Rule::kNotTwice, h, "the command may run twice");
    if (p.effect != RunRules::Effect::kUniqued) return;
    if (h.at > c.first_attempt_at + p.window)
      report_violation(
          Rule::kWindow, h,
          fmt::format("retry {:.0f} ms after the first attempt, outside the deduplication window",
                      h.at - c.first_attempt_at));
    const RunRules::Engine &was = rules_.engines[c.first_engine], &is = rules_.engines[h.engine];
    const bool same = p.group == RunRules::Group::kAll || was.zone == is.zone;
    if (!same || (p.group == RunRules::Group::kCell && was.cell != is.cell))
      report_violation(Rule::kWindow, h, "retry outside the deduplication group");
  }

  void check_placement(const HistoryEvent& h, const RunRules::Profile& p) {
    const RunRules::Engine& e = rules_.engines[h.engine];
    const auto in = [](const std::vector<std::string>& all, const std::string& one) {
      return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
    };
    if (!in(p.zones, e.zone))
      report_violation(Rule::kPlacement, h,
                       fmt::format("attempt in zone {}, which the profile excludes", e.zone));
    if (!in(p.machines, e.machine))
      report_violation(Rule::kPlacement, h,
                       fmt::format("attempt on machine type {}, which the profile excludes", e.machine));
  }

  void check_drain(const HistoryEvent& h) {
    const auto listed = last_listed_.find({h.gateway, h.engine});
    if (listed == last_listed_.end())
      return report_violation(Rule::kDrain, h, "attempt at an engine that the gateway was never notified of");
    if (listed->second.state != State::kServing && h.at > listed->second.at + rules_.drain_grace)
      report_violation(
          Rule::kDrain, h,
          fmt::format("attempt {:.0f} ms after the gateway was notified that the engine drains or is removed",
                      h.at - listed->second.at));
  }

  void check_order(const HistoryEvent& h) {
    Key& key = keys_[{h.gateway, commands_.at(h.command).key}];
    if (key.running > 0)
      report_violation(Rule::kOrder, h, "attempt concurrent with another one of its ordering key");
    if (!key.unanswered.empty() && key.unanswered.front() != h.command)
      report_violation(Rule::kOrder, h, "attempt ahead of an earlier command of its ordering key");
    if (h.at < key.blocked_until)
      report_violation(Rule::kOrder, h, "attempt while its ordering key is blocked");
    key.running += 1;
  }

  void check_budget(const HistoryEvent& h) {
    if (rules_.budget_window <= 0) return;
    Budget& b = budgets_[h.gateway];
    b.retried.push_back(h.at);
    const Ms from = h.at - rules_.budget_window;
    for (auto* const all : {&b.admitted, &b.retried})
      while (!all->empty() && all->front() < from) all->pop_front();
    const double max_retries =
        rules_.budget_free + rules_.budget_share * static_cast<double>(b.admitted.size());
    if (static_cast<double>(b.retried.size()) > max_retries)
      report_violation(Rule::kBudget, h,
                       fmt::format("{} retries, {:.1f} allowed", b.retried.size(), max_retries));
  }

  void end_attempt(const HistoryEvent& h) {
    const auto attempt = attempts_.find(h.send);
    if (attempt == attempts_.end()) return report_violation(Rule::kHistory, h, "end of an unknown attempt");
    const auto at = commands_.find(attempt->second.command);
    const uint32_t engine = attempt->second.engine;
    attempts_.erase(attempt);
    if (at == commands_.end()) return;
    Command& c = at->second;
    c.running -= 1;
    if (h.how != AttemptEnd::kNeverRan && !c.may_have_run) {
      c.may_have_run = true;
      c.first_engine = engine;
    }
    if (!is_ordered(c)) return;
    Key& key = keys_[{c.gateway, c.key}];
    key.running -= 1;
    if (h.how == AttemptEnd::kMayHaveRun)
      key.blocked_until = std::max(key.blocked_until, h.at + rules_.key_rest);
  }

  void answer_command(const HistoryEvent& h) {
    Command* const c = find(h);
    if (!c) return;
    if (c->answered) return report_violation(Rule::kOneAnswer, h, "second final answer");
    if (h.at > c->until + rules_.answer_grace && !c->gone)
      report_violation(Rule::kOneAnswer, h, fmt::format("final answer {:.0f} ms late", h.at - c->until));
    c->answered = true;
    // A retry is safe only if no attempt has run or may still run.
    if (h.kind == Kind::kRefused && (c->may_have_run || c->running > 0) &&
        profile_of(*c).effect == RunRules::Effect::kNonReplayable)
      report_violation(Rule::kNotTwice, h, "rejected as safe to retry, but it may have run");
    if (is_ordered(*c)) std::erase(keys_[{c->gateway, c->key}].unanswered, h.command);
  }

  const RunRules& rules_;
  const Ms end_;
  Verdict verdict_;
  std::unordered_map<uint64_t, Command> commands_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::map<std::pair<uint32_t, uint32_t>, LastListed> last_listed_;  // by gateway and engine
  std::map<std::pair<uint32_t, uint64_t>, Key> keys_;                // by gateway and key
  std::map<uint32_t, Budget> budgets_;
};

}  // namespace

std::string_view name_of(Rule rule) {
  static constexpr std::string_view kNames[kRules] = {"one answer", "not twice", "window", "drain",  "cold",
                                                      "order",      "placement", "budget", "history"};
  return kNames[static_cast<size_t>(rule)];
}

bool Verdict::good() const {
  return std::all_of(counts.begin(), counts.end(), [](uint64_t n) { return n == 0; });
}

std::string Verdict::text() const {
  if (good()) return fmt::format("no violation by {} commands and {} attempts\n", commands, sends);
  std::string all;
  for (size_t i = 0; i < kRules; ++i) {
    if (counts[i] == 0) continue;
    all += fmt::format("rule \"{}\" violated {} times\n", name_of(static_cast<Rule>(i)), counts[i]);
    for (const Violation& b : first)
      if (b.rule == static_cast<Rule>(i))
        all += fmt::format("  at {:.1f} ms, gateway {}, engine {}, command {:016x}: {}\n", b.at, b.gateway,
                           b.engine, b.command, b.what);
  }
  return all;
}

Verdict check_history(const RunRules& rules, const History& history, Ms end) {
  HistoryChecker checker(rules, end);
  for (const HistoryEvent& h : history) checker.handle(h);
  return checker.end();
}

}  // namespace firvalve::simulation
