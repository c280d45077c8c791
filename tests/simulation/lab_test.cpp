// Tests of the histogram, the event queue, the rate search and the history checker.
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

RC_GTEST_PROP(HistogramProperty, QuantilesMatchSortedValuesWithinTheRelativeError,
              (const std::vector<uint32_t>& micros)) {
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
    RC_ASSERT(std::abs(histogram.quantile(q) - exact) <= exact * Histogram::kMaxRelativeError + 0.001);
  }
}

TEST(Histogram, AcceptsNegativeZeroNanAndHugeValues) {
  Histogram h;
  for (const double v : {-1.0, 0.0, std::nan(""), 1e300}) h.add(v);
  EXPECT_EQ(h.count(), 4u);
  EXPECT_LE(h.quantile(0.5), 0.001);
  Histogram other;
  other.add(5, 10);
  h.add(other);
  EXPECT_EQ(h.count(), 14u);
}

RC_GTEST_PROP(EventQueueProperty, PopsInStableSortOrder,
              (const std::vector<std::pair<uint8_t, bool>>& steps)) {
  EventQueue<int> queue;
  std::vector<std::pair<double, int>> reference;  // in the order of insertion
  int number = 0;
  const auto take_first = [&] {
    auto first = reference.begin();
    for (auto at = reference.begin(); at != reference.end(); ++at)
      if (at->first < first->first) first = at;
    RC_ASSERT(queue.next_at() == first->first);
    RC_ASSERT(queue.pop() == first->second);
    reference.erase(first);
  };
  for (const auto& [at, take] : steps) {
    if (take && !reference.empty()) {
      take_first();
    } else {
      queue.push(at % 16, ++number);
      reference.emplace_back(at % 16, number);
    }
    RC_ASSERT(queue.size() == reference.size());
  }
  while (!reference.empty()) take_first();
  RC_ASSERT(queue.empty());
}

// ---- Search for the highest sustained rate --------------------------------------------------------

StepOutcome step(double rate, double limit) {
  StepOutcome o;
  o.rate = rate;
  o.answered = rate <= limit ? 1 : limit / rate;
  return o;
}

TEST(Search, FindsTheHighestSustainedRate) {
  for (const double limit : {150.0, 1234.0, 5000.0}) {
    Search search({});
    while (!search.done()) search.handle(step(search.rate(), limit));
    EXPECT_LE(search.max_passed(), limit);
    EXPECT_GT(search.min_failed(), limit);
    EXPECT_LE(search.min_failed(), search.max_passed() * 1.3);
  }
}

TEST(Search, LowersTheRateWhenTheFirstStepFails) {
  Search search({});
  while (!search.done()) search.handle(step(search.rate(), 30));
  EXPECT_LE(search.max_passed(), 30);
  EXPECT_GT(search.max_passed(), 15);
}

TEST(Search, StopsWhenTheLoadGeneratorIsTheLimit) {
  Search search({});
  StepOutcome o = step(100, 1e9);
  o.lag_p99 = 50;
  o.answered = 0.2;
  EXPECT_NE(search.handle(o).find("the load generator was the limit"), std::string::npos);
  EXPECT_TRUE(search.done() && search.generator_was_limit());
  EXPECT_EQ(search.min_failed(), 0);
}

// ---- History checker: each rule with an injected violation -----------------------------------------

using Kind = HistoryEvent::Kind;
using State = HistoryEvent::State;
using AttemptEnd = HistoryEvent::AttemptEnd;

struct HistoryCheckerTest : testing::Test {
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
  uint64_t last_attempt = 0;

  HistoryCheckerTest() {
    for (uint32_t e = 0; e < 3; ++e) add(0, Kind::kListed).engine = e;
  }
  HistoryEvent& add(Ms at, Kind kind, uint64_t command = 0) {
    HistoryEvent h;
    h.at = at;
    h.kind = kind;
    h.command = command;
    history.push_back(h);
    return history.back();
  }
  void admit(Ms at, uint64_t command, int profile = 0, uint64_t key = 0) {
    HistoryEvent& h = add(at, Kind::kTaken, command);
    h.profile = static_cast<int16_t>(profile);
    h.until = at + 4000;
    h.key = key;
  }
  uint64_t send(Ms at, uint64_t command, uint32_t engine = 0) {
    HistoryEvent& h = add(at, Kind::kSent, command);
    h.engine = engine;
    h.send = ++last_attempt;
    return last_attempt;
  }
  void end(Ms at, uint64_t send, AttemptEnd how) {
    HistoryEvent& h = add(at, Kind::kSendOver);
    h.send = send;
    h.how = how;
  }
  uint64_t violations_of(Rule rule, Ms end = 10000) {
    return check_history(rules, history, end).counts[static_cast<size_t>(rule)];
  }
  void expect_only(Rule rule, Ms end = 10000) {
    const Verdict v = check_history(rules, history, end);
    for (size_t i = 0; i < kRules; ++i)
      EXPECT_EQ(v.counts[i] > 0, i == static_cast<size_t>(rule)) << name_of(static_cast<Rule>(i)) << "\n"
                                                                 << v.text();
  }
};

TEST_F(HistoryCheckerTest, AcceptsACorrectRun) {
  admit(0, 1);
  const uint64_t s = send(10, 1);
  end(20, s, AttemptEnd::kMayHaveRun);
  end(40, send(30, 1, 1), AttemptEnd::kDone);
  add(40, Kind::kAnswered, 1);
  admit(50, 2);
  add(60, Kind::kRefused, 2);
  admit(70, 3);
  add(80, Kind::kGone, 3);
  const Verdict v = check_history(rules, history, 10000);
  EXPECT_TRUE(v.good()) << v.text();
  EXPECT_EQ(v.commands, 3u);
}

TEST_F(HistoryCheckerTest, FindsMissingDuplicateAndLateAnswers) {
  admit(0, 1);
  expect_only(Rule::kOneAnswer);
  EXPECT_EQ(violations_of(Rule::kOneAnswer, 4000), 0u);  // before the command's deadline
  add(100, Kind::kAnswered, 1);
  EXPECT_EQ(violations_of(Rule::kOneAnswer), 0u);
  add(110, Kind::kFailed, 1);
  EXPECT_EQ(violations_of(Rule::kOneAnswer), 1u);
  admit(200, 2);
  add(4300, Kind::kAnswered, 2);
  EXPECT_EQ(violations_of(Rule::kOneAnswer), 2u);
}

TEST_F(HistoryCheckerTest, RequiresNoAnswerFromADeadGateway) {
  admit(0, 1);
  add(10, Kind::kGatewayDied);
  EXPECT_EQ(violations_of(Rule::kOneAnswer), 0u);
}

TEST_F(HistoryCheckerTest, FindsARetryOfANonReplayableCommand) {
  admit(0, 1, 1);
  end(20, send(10, 1), AttemptEnd::kNeverRan);
  end(40, send(30, 1), AttemptEnd::kMayHaveRun);
  EXPECT_EQ(violations_of(Rule::kNotTwice), 0u);
  end(60, send(50, 1), AttemptEnd::kDone);
  add(60, Kind::kAnswered, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(HistoryCheckerTest, FindsConcurrentAttemptsOfANonReplayableCommand) {
  admit(0, 1, 1);
  send(10, 1), send(11, 1, 1);
  add(60, Kind::kAnswered, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(HistoryCheckerTest, FindsARetryableRejectionOfACommandThatMayHaveRun) {
  admit(0, 1, 1);
  end(20, send(10, 1), AttemptEnd::kMayHaveRun);
  add(60, Kind::kRefused, 1);
  expect_only(Rule::kNotTwice);
}

TEST_F(HistoryCheckerTest, FindsARetryOutsideTheDeduplicationWindowOrGroup) {
  admit(0, 1, 2);
  end(20, send(10, 1), AttemptEnd::kMayHaveRun);
  end(40, send(900, 1, 2), AttemptEnd::kMayHaveRun);
  EXPECT_EQ(violations_of(Rule::kWindow), 0u);
  send(950, 1, 1);  // another zone
  EXPECT_EQ(violations_of(Rule::kWindow), 1u);
  send(1100, 1, 2);  // too late
  EXPECT_EQ(violations_of(Rule::kWindow), 2u);
}

TEST_F(HistoryCheckerTest, FindsAnAttemptAtADrainingEngineAfterTheGracePeriod) {
  admit(0, 1);
  HistoryEvent& drain = add(100, Kind::kListed);
  drain.engine = 0;
  drain.state = State::kDraining;
  end(599, send(590, 1), AttemptEnd::kNeverRan);
  EXPECT_EQ(violations_of(Rule::kDrain), 0u);
  end(620, send(610, 1), AttemptEnd::kDone);
  add(620, Kind::kAnswered, 1);
  expect_only(Rule::kDrain);
}

TEST_F(HistoryCheckerTest, FindsAColdEngineThatFailsUnderLoad) {
  add(10, Kind::kFell).engine = 2;
  expect_only(Rule::kCold);
}

TEST_F(HistoryCheckerTest, FindsAttemptsOutOfTheOrderOfTheirKey) {
  rules.profiles[0].in_order = true;
  rules.key_rest = 100;
  admit(0, 1, 0, 7), admit(1, 2, 0, 7), admit(2, 3, 0, 8);
  const uint64_t first = send(10, 1);
  end(20, send(11, 3, 1), AttemptEnd::kDone);  // another key
  EXPECT_EQ(violations_of(Rule::kOrder), 0u);
  end(30, send(12, 2), AttemptEnd::kDone);  // concurrent with the earlier command and ahead of it
  EXPECT_EQ(violations_of(Rule::kOrder), 2u);
  end(40, first, AttemptEnd::kMayHaveRun);
  send(100, 1);  // its key is still blocked
  EXPECT_EQ(violations_of(Rule::kOrder), 3u);
}

TEST_F(HistoryCheckerTest, FindsAnAttemptOnAMachineThatTheProfileExcludes) {
  rules.profiles[0].machines = {"big"};
  admit(0, 1);
  end(20, send(10, 1, 1), AttemptEnd::kMayHaveRun);
  EXPECT_EQ(violations_of(Rule::kPlacement), 0u);
  end(40, send(30, 1, 0), AttemptEnd::kDone);
  add(40, Kind::kAnswered, 1);
  expect_only(Rule::kPlacement);
}

TEST_F(HistoryCheckerTest, FindsRetriesAboveTheBudget) {
  rules.budget_window = 1000;
  rules.budget_free = 1;
  rules.budget_share = 0.5;
  admit(0, 1), admit(1, 2);
  for (const Ms at : {10.0, 20.0, 30.0}) end(at + 1, send(at, 1), AttemptEnd::kMayHaveRun);
  EXPECT_EQ(violations_of(Rule::kBudget), 0u);  // two retries are allowed: 1 + 0.5 of 2 commands
  end(41, send(40, 1), AttemptEnd::kMayHaveRun);
  EXPECT_EQ(violations_of(Rule::kBudget), 1u);
  end(2001, send(2000, 2), AttemptEnd::kMayHaveRun);
  end(2003, send(2002, 2), AttemptEnd::kMayHaveRun);  // a window later, one retry is allowed
  EXPECT_EQ(violations_of(Rule::kBudget), 1u);
}

TEST_F(HistoryCheckerTest, FindsAnInconsistentHistory) {
  send(10, 99);
  end(20, 77, AttemptEnd::kDone);
  add(30, Kind::kAnswered, 98);
  EXPECT_EQ(violations_of(Rule::kHistory), 3u);
}

}  // namespace
}  // namespace firvalve::simulation
