#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

#include "simulation/event_queue.h"
#include "simulation/histogram.h"
#include "simulation/history_checker.h"
#include "simulation/search.h"

namespace firvalve::simulation {
namespace {

RC_GTEST_PROP(HistogramProperty, TellsWhatSortingTellsWithinItsError, (const std::vector<uint32_t>& micros)) {
  RC_PRE(!micros.empty());
  Histogram histogram;
  std::vector<double> sorted;
  for (const uint32_t us : micros) {
    const double ms = static_cast<double>(us % 100'000'000) / 1000;
    histogram.add(ms);
    sorted.push_back(ms);
  }
  std::sort(sorted.begin(), sorted.end());
  for (const double q : {0.0, 0.5, 0.9, 0.99, 1.0}) {
    const auto rank = static_cast<size_t>(std::max(1.0, std::ceil(q * static_cast<double>(sorted.size()))));
    const double exact = sorted[rank - 1];
    RC_ASSERT(std::abs(histogram.quantile(q) - exact) <= exact * Histogram::kError + 0.001);
  }
}

TEST(Histogram, OddValuesAreTaken) {
  Histogram h;
  for (const double v : {-1.0, 0.0, std::nan(""), 1e300}) h.add(v);
  EXPECT_EQ(h.count(), 4u);
  EXPECT_LE(h.quantile(0.5), 0.001);
  Histogram other;
  other.add(5, 10);
  h.add(other);
  EXPECT_EQ(h.count(), 14u);
}

RC_GTEST_PROP(EventQueueProperty, GivesWhatAStableSortGives,
              (const std::vector<std::pair<uint8_t, bool>>& steps)) {
  EventQueue<int> queue;
  std::vector<std::pair<double, int>> plain;  // in the order put in
  int number = 0;
  const auto take_first = [&] {
    auto first = plain.begin();
    for (auto at = plain.begin(); at != plain.end(); ++at)
      if (at->first < first->first) first = at;
    RC_ASSERT(queue.next_at() == first->first);
    RC_ASSERT(queue.take() == first->second);
    plain.erase(first);
  };
  for (const auto& [at, take] : steps) {
    if (take && !plain.empty()) {
      take_first();
    } else {
      queue.put(at % 16, ++number);
      plain.emplace_back(at % 16, number);
    }
    RC_ASSERT(queue.size() == plain.size());
  }
  while (!plain.empty()) take_first();
  RC_ASSERT(queue.empty());
}

// ---- Where service breaks -----------------------------------------------------------------------

StepOutcome step(double rate, double limit) {
  StepOutcome o;
  o.rate = rate;
  o.answered = rate <= limit ? 1 : limit / rate;
  return o;
}

TEST(Search, FindsWhereServiceBreaks) {
  for (const double limit : {150.0, 1234.0, 5000.0}) {
    Search search({});
    while (!search.done()) search.handle(step(search.rate(), limit));
    EXPECT_LE(search.held(), limit);
    EXPECT_GT(search.broke(), limit);
    EXPECT_LE(search.broke(), search.held() * 1.3);
  }
}

TEST(Search, GoesDownWhereTheFirstStepBreaks) {
  Search search({});
  while (!search.done()) search.handle(step(search.rate(), 30));
  EXPECT_LE(search.held(), 30);
  EXPECT_GT(search.held(), 15);
}

TEST(Search, ATooSlowToolIsNotTakenForTheService) {
  Search search({});
  StepOutcome o = step(100, 1e9);
  o.lag_p99 = 50;
  o.answered = 0.2;
  EXPECT_NE(search.handle(o).find("the tool"), std::string::npos);
  EXPECT_TRUE(search.done() && search.tool_was_limit());
  EXPECT_EQ(search.broke(), 0);
}

// ---- The rules, and a is_injected violation of each ----------------------------------------------------

using Kind = HistoryEvent::Kind;
using State = HistoryEvent::State;
using How = HistoryEvent::How;

struct Rules : testing::Test {
  RunRules rules = [] {
    RunRules r;
    r.profiles.resize(3);
    r.profiles[1].effect = RunRules::Effect::kNonReplayable;
    r.profiles[2].effect = RunRules::Effect::kUniqued;
    r.profiles[2].window = 1000;
    r.profiles[2].group = RunRules::Group::kZone;
    r.engines = {{"east", "std", 0}, {"west", "big", 0}, {"east", "std", 1}};
    return r;
  }();
  History history;
  uint64_t last_send = 0;

  Rules() {
    for (uint32_t e = 0; e < 3; ++e) add(0, Kind::kTold).engine = e;
  }
  HistoryEvent& add(Ms at, Kind kind, uint64_t command = 0) {
    HistoryEvent h;
    h.at = at;
    h.kind = kind;
    h.command = command;
    history.push_back(h);
    return history.back();
  }
  void take(Ms at, uint64_t command, int profile = 0, uint64_t key = 0) {
    HistoryEvent& h = add(at, Kind::kTaken, command);
    h.profile = static_cast<int16_t>(profile);
    h.until = at + 4000;
    h.key = key;
  }
  uint64_t send(Ms at, uint64_t command, uint32_t engine = 0) {
    HistoryEvent& h = add(at, Kind::kSent, command);
    h.engine = engine;
    h.send = ++last_send;
    return last_send;
  }
  void over(Ms at, uint64_t send, How how) {
    HistoryEvent& h = add(at, Kind::kSendOver);
    h.send = send;
    h.how = how;
  }
  uint64_t broken(Rule rule, Ms end = 10000) {
    return check_history(rules, history, end).counts[static_cast<size_t>(rule)];
  }
  void expect_only(Rule rule, Ms end = 10000) {
    const Verdict v = check_history(rules, history, end);
    for (size_t i = 0; i < kRules; ++i)
      EXPECT_EQ(v.counts[i] > 0, i == static_cast<size_t>(rule)) << name_of(static_cast<Rule>(i)) << "\n"
                                                                 << v.text();
  }
};

TEST_F(Rules, AGoodRunBreaksNone) {
  take(0, 1);
  const uint64_t s = send(10, 1);
  over(20, s, How::kMayHaveRun);
  over(40, send(30, 1, 1), How::kDone);
  add(40, Kind::kAnswered, 1);
  take(50, 2);
  add(60, Kind::kRefused, 2);
  take(70, 3);
  add(80, Kind::kGone, 3);
  const Verdict v = check_history(rules, history, 10000);
  EXPECT_TRUE(v.good()) << v.text();
  EXPECT_EQ(v.commands, 3u);
}

TEST_F(Rules, NoAnswerASecondOneOrALateOne) {
  take(0, 1);
  expect_only(Rule::kOneAnswer);
  EXPECT_EQ(broken(Rule::kOneAnswer, 4000), 0u);  // its time was not over
  add(100, Kind::kAnswered, 1);
  EXPECT_EQ(broken(Rule::kOneAnswer), 0u);
  add(110, Kind::kFailed, 1);
  EXPECT_EQ(broken(Rule::kOneAnswer), 1u);
  take(200, 2);
  add(4300, Kind::kAnswered, 2);
  EXPECT_EQ(broken(Rule::kOneAnswer), 2u);
}

TEST_F(Rules, AGatewayThatDiedOwesNothing) {
  take(0, 1);
  add(10, Kind::kGatewayDied);
  EXPECT_EQ(broken(Rule::kOneAnswer), 0u);
}

TEST_F(Rules, ANonReplayableCommandTwice) {
  take(0, 1, 1);
  over(20, send(10, 1), How::kNeverRan);
  over(40, send(30, 1), How::kMayHaveRun);
  EXPECT_EQ(broken(Rule::kNotTwice), 0u);
  over(60, send(50, 1), How::kDone);
  add(60, Kind::kAnswered, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(Rules, ANonReplayableCommandBesideItself) {
  take(0, 1, 1);
  send(10, 1), send(11, 1, 1);
  add(60, Kind::kAnswered, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(Rules, RefusedAsHarmlessAndItMayRun) {
  take(0, 1, 1);
  over(20, send(10, 1), How::kMayHaveRun);
  add(60, Kind::kRefused, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(Rules, AUniquedCommandPastItsWindowOrOutsideItsGroup) {
  take(0, 1, 2);
  over(20, send(10, 1), How::kMayHaveRun);
  over(40, send(900, 1, 2), How::kMayHaveRun);
  EXPECT_EQ(broken(Rule::kWindow), 0u);
  send(950, 1, 1);  // another zone
  EXPECT_EQ(broken(Rule::kWindow), 1u);
  send(1100, 1, 2);  // too late
  EXPECT_EQ(broken(Rule::kWindow), 2u);
}

TEST_F(Rules, SentToWhatDrainsPastTheGrace) {
  take(0, 1);
  HistoryEvent& told = add(100, Kind::kTold);
  told.engine = 0;
  told.state = State::kDraining;
  over(599, send(590, 1), How::kNeverRan);
  EXPECT_EQ(broken(Rule::kDrain), 0u);
  over(620, send(610, 1), How::kDone);
  add(620, Kind::kAnswered, 1);
  expect_only(Rule::kDrain);
}

TEST_F(Rules, AColdEnginePushedOver) {
  add(10, Kind::kFell).engine = 2;
  expect_only(Rule::kCold);
}

TEST_F(Rules, OrderByKey) {
  rules.profiles[0].in_order = true;
  rules.key_rest = 100;
  take(0, 1, 0, 7), take(1, 2, 0, 7), take(2, 3, 0, 8);
  const uint64_t first = send(10, 1);
  over(20, send(11, 3, 1), How::kDone);  // another key
  EXPECT_EQ(broken(Rule::kOrder), 0u);
  over(30, send(12, 2), How::kDone);  // beside the one before, and ahead of it
  EXPECT_EQ(broken(Rule::kOrder), 2u);
  over(40, first, How::kMayHaveRun);
  send(100, 1);  // its key rests
  EXPECT_EQ(broken(Rule::kOrder), 3u);
}

TEST_F(Rules, OutsideItsPlace) {
  rules.profiles[0].machines = {"big"};
  take(0, 1);
  over(20, send(10, 1, 1), How::kMayHaveRun);
  EXPECT_EQ(broken(Rule::kPlacement), 0u);
  over(40, send(30, 1, 0), How::kDone);
  add(40, Kind::kAnswered, 1);
  expect_only(Rule::kPlacement);
}

TEST_F(Rules, MoreFurtherSendsThanTheBudget) {
  rules.budget_window = 1000;
  rules.budget_free = 1;
  rules.budget_share = 0.5;
  take(0, 1), take(1, 2);
  for (const Ms at : {10.0, 20.0, 30.0}) over(at + 1, send(at, 1), How::kMayHaveRun);
  EXPECT_EQ(broken(Rule::kBudget), 0u);  // two further: 1 + 0.5 of 2
  over(41, send(40, 1), How::kMayHaveRun);
  EXPECT_EQ(broken(Rule::kBudget), 1u);
  over(2001, send(2000, 2), How::kMayHaveRun);
  over(2003, send(2002, 2), How::kMayHaveRun);  // a window later: one is free
  EXPECT_EQ(broken(Rule::kBudget), 1u);
}

TEST_F(Rules, ARecordThatMakesNoSense) {
  send(10, 99);
  over(20, 77, How::kDone);
  add(30, Kind::kAnswered, 98);
  EXPECT_EQ(broken(Rule::kHistory), 3u);
}

}  // namespace
}  // namespace firvalve::simulation
