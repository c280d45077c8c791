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
using How = HistoryEvent::How;

constexpr size_t kFirst = 5;  // violations of a rule that are told one by one

struct Sending {
  uint64_t command = 0;
  uint32_t engine = 0;
};

struct Command {
  int profile = -1;
  uint32_t gateway = 0;
  uint64_t key = 0;
  Ms until = 0;
  int sends = 0, out = 0;
  bool answered = false, gone = false;
  bool risked = false;  // a send of it may have run
  Ms risked_at = 0;     // when that went out first
  uint32_t risked_on = 0;
};

class HistoryChecker {
 public:
  HistoryChecker(const RunRules& rules, Ms end) : rules_(rules), end_(end) {}

  void handle(const HistoryEvent& h) {
    switch (h.kind) {
      case Kind::kTold:
        last_listed_[{h.gateway, h.engine}] = {h.state, h.at};
        break;
      case Kind::kStarted:
        break;
      case Kind::kFell:
        report_violation(Rule::kCold, h, "fell over while cold");
        break;
      case Kind::kTaken:
        take(h);
        break;
      case Kind::kSent:
        send(h);
        break;
      case Kind::kSendOver:
        over(h);
        break;
      case Kind::kAnswered:
      case Kind::kRefused:
      case Kind::kFailed:
        answer(h);
        break;
      case Kind::kGone:
        if (const auto at = commands_.find(h.command); at != commands_.end()) at->second.gone = true;
        break;
      case Kind::kGatewayDied:
        for (auto& [id, c] : commands_) c.gone |= c.gateway == h.gateway;
        // What it had out may run on: whoever takes the command anew is another command to the rules.
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
      report_violation(Rule::kOneAnswer, h, "had no final answer");
    }
    return verdict_;
  }

 private:
  struct LastListed {
    State state = State::kServing;
    Ms at = 0;
  };
  struct Budget {
    std::deque<Ms> taken, further;
  };
  struct Key {
    std::deque<uint64_t> waiting;  // in the order taken, not ended
    int out = 0;
    Ms rests_until = 0;
  };

  void report_violation(Rule rule, const HistoryEvent& h, std::string what) {
    if (++verdict_.counts[static_cast<size_t>(rule)] <= kFirst)
      verdict_.first.push_back({rule, h.at, h.command, h.gateway, h.engine, std::move(what)});
  }

  Command* find(const HistoryEvent& h) {
    const auto at = commands_.find(h.command);
    if (at != commands_.end()) return &at->second;
    report_violation(Rule::kHistory, h, "of a command that nobody has taken");
    return nullptr;
  }

  const RunRules::Profile& profile_of(const Command& c) const {
    return rules_.profiles[static_cast<size_t>(c.profile)];
  }
  bool ordered(const Command& c) const { return c.key != 0 && profile_of(c).in_order; }

  void take(const HistoryEvent& h) {
    if (h.profile < 0 || static_cast<size_t>(h.profile) >= rules_.profiles.size())
      return report_violation(Rule::kHistory, h, "of no profile");
    const auto [at, added] = commands_.try_emplace(h.command);
    if (!added) return report_violation(Rule::kHistory, h, "taken twice");
    Command& c = at->second;
    c.profile = h.profile;
    c.gateway = h.gateway;
    c.key = h.key;
    c.until = h.until;
    ++verdict_.commands;
    budgets_[h.gateway].taken.push_back(h.at);
    if (ordered(c)) keys_[{h.gateway, h.key}].waiting.push_back(h.command);
  }

  void send(const HistoryEvent& h) {
    Command* const c = find(h);
    if (!c) return;
    ++verdict_.sends;
    if (h.engine >= rules_.engines.size()) return report_violation(Rule::kHistory, h, "to no engine");
    if (!sendings_.emplace(h.send, Sending{h.command, h.engine}).second)
      return report_violation(Rule::kHistory, h, "the same send twice");
    const RunRules::Profile& p = profile_of(*c);
    if (c->answered) report_violation(Rule::kOneAnswer, h, "sent after its final answer");
    check_again(h, *c, p);
    check_place(h, p);
    check_drain(h);
    if (ordered(*c)) check_order(h);
    if (c->sends > 0) check_budget(h);
    c->sends += 1;
    c->out += 1;
    if (!c->risked) {  // until it is proved that it did not
      c->risked_at = h.at;
      c->risked_on = h.engine;
    }
  }

  void check_again(const HistoryEvent& h, const Command& c, const RunRules::Profile& p) {
    const bool may_run = c.risked || c.out > 0;
    if (!may_run) return;
    if (p.effect == RunRules::Effect::kNonReplayable)
      report_violation(Rule::kNotTwice, h, "may run a second time");
    if (p.effect != RunRules::Effect::kUniqued) return;
    if (h.at > c.risked_at + p.window)
      report_violation(Rule::kWindow, h,
                       fmt::format("again {:.0f} ms after the first, past its window", h.at - c.risked_at));
    const RunRules::Engine &was = rules_.engines[c.risked_on], &is = rules_.engines[h.engine];
    const bool same = p.group == RunRules::Group::kAll || was.zone == is.zone;
    if (!same || (p.group == RunRules::Group::kCell && was.cell != is.cell))
      report_violation(Rule::kWindow, h, "again outside its group");
  }

  void check_place(const HistoryEvent& h, const RunRules::Profile& p) {
    const RunRules::Engine& e = rules_.engines[h.engine];
    const auto in = [](const std::vector<std::string>& all, const std::string& one) {
      return all.empty() || std::find(all.begin(), all.end(), one) != all.end();
    };
    if (!in(p.zones, e.zone)) report_violation(Rule::kPlacement, h, fmt::format("in zone {}", e.zone));
    if (!in(p.machines, e.machine))
      report_violation(Rule::kPlacement, h, fmt::format("on machine {}", e.machine));
  }

  void check_drain(const HistoryEvent& h) {
    const auto listed = last_listed_.find({h.gateway, h.engine});
    if (listed == last_listed_.end())
      return report_violation(Rule::kDrain, h, "to an engine that it was never told of");
    if (listed->second.state != State::kServing && h.at > listed->second.at + rules_.drain_grace)
      report_violation(Rule::kDrain, h, fmt::format("{:.0f} ms after it was told", h.at - listed->second.at));
  }

  void check_order(const HistoryEvent& h) {
    Key& key = keys_[{h.gateway, commands_.at(h.command).key}];
    if (key.out > 0) report_violation(Rule::kOrder, h, "beside another of its key");
    if (!key.waiting.empty() && key.waiting.front() != h.command)
      report_violation(Rule::kOrder, h, "ahead of one of its key that came before");
    if (h.at < key.rests_until) report_violation(Rule::kOrder, h, "while its key rests");
    key.out += 1;
  }

  void check_budget(const HistoryEvent& h) {
    if (rules_.budget_window <= 0) return;
    Budget& b = budgets_[h.gateway];
    b.further.push_back(h.at);
    const Ms from = h.at - rules_.budget_window;
    for (auto* const all : {&b.taken, &b.further})
      while (!all->empty() && all->front() < from) all->pop_front();
    const double most = rules_.budget_free + rules_.budget_share * static_cast<double>(b.taken.size());
    if (static_cast<double>(b.further.size()) > most)
      report_violation(Rule::kBudget, h,
                       fmt::format("{} further sends, {:.1f} allowed", b.further.size(), most));
  }

  void over(const HistoryEvent& h) {
    const auto sending = sendings_.find(h.send);
    if (sending == sendings_.end()) return report_violation(Rule::kHistory, h, "the end of no send");
    const auto at = commands_.find(sending->second.command);
    const uint32_t engine = sending->second.engine;
    sendings_.erase(sending);
    if (at == commands_.end()) return;
    Command& c = at->second;
    c.out -= 1;
    if (h.how != How::kNeverRan && !c.risked) {
      c.risked = true;
      c.risked_on = engine;
    }
    if (!ordered(c)) return;
    Key& key = keys_[{c.gateway, c.key}];
    key.out -= 1;
    if (h.how == How::kMayHaveRun) key.rests_until = std::max(key.rests_until, h.at + rules_.key_rest);
  }

  void answer(const HistoryEvent& h) {
    Command* const c = find(h);
    if (!c) return;
    if (c->answered) return report_violation(Rule::kOneAnswer, h, "a second final answer");
    if (h.at > c->until + rules_.answer_grace && !c->gone)
      report_violation(Rule::kOneAnswer, h, fmt::format("{:.0f} ms late", h.at - c->until));
    c->answered = true;
    // Trying again is harmless only if nothing of it may run.
    if (h.kind == Kind::kRefused && (c->risked || c->out > 0) &&
        profile_of(*c).effect == RunRules::Effect::kNonReplayable)
      report_violation(Rule::kNotTwice, h, "refused as harmless, and it may have run");
    if (ordered(*c)) std::erase(keys_[{c->gateway, c->key}].waiting, h.command);
  }

  const RunRules& rules_;
  const Ms end_;
  Verdict verdict_;
  std::unordered_map<uint64_t, Command> commands_;
  std::unordered_map<uint64_t, Sending> sendings_;
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
  if (good()) return fmt::format("no rule broken by {} commands and {} sends\n", commands, sends);
  std::string all;
  for (size_t i = 0; i < kRules; ++i) {
    if (counts[i] == 0) continue;
    all += fmt::format("rule \"{}\" broken {} times\n", name_of(static_cast<Rule>(i)), counts[i]);
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
