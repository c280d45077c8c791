#include <cmath>

#include "policy/cancellation.h"
#include "policy/helpers.h"
#include "policy/policy.h"
#include "policy/reconciliation.h"

namespace firvalve {
namespace {

using Kind = Action::Kind;

// Rule 1: one final answer.
TEST(Answer, TimedOutAtTheEndFailsInTheSameReply) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(10000), attempt_finished(c, Outcome::kTimedOut));
  Actions out;
  append_actions(s, at(10000), out);
  EXPECT_EQ(count_of(out, Kind::kFailCommand), 1);
  EXPECT_TRUE(s.in_hand.empty());
}

TEST(Answer, HeldCommandEndsBeforeTheClientGivesUp) {
  State s = state_with(0, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  review_queue(s, at(9900));
  EXPECT_EQ(c.desired, DesiredState::kShed);
}

TEST(Answer, WhatCannotEndInTimeAtTheUsualStretchIsShedAtOnce) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.concurrency.usual_slowdown = 3;
  Command& c = add_command(s);
  c.predicted_runtime = span(200);
  c.request.deadline = at(1000);
  review_queue(s, at(500));
  EXPECT_EQ(c.desired, DesiredState::kShed);
}

TEST(Answer, NothingIsSaidAfterTheClientLeft) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  add_command(s).is_ended = true;
  Actions out;
  append_actions(s, at(10), out);
  EXPECT_TRUE(out.empty());
  EXPECT_TRUE(s.in_hand.empty());
}

TEST(Answer, WorkOfAClientThatLeftIsCalledOff) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  c.is_ended = true;
  Actions out;
  append_actions(s, at(10), out);
  append_actions(s, at(11), out);
  EXPECT_EQ(count_of(out, Kind::kCancelAttempt), 1);
  EXPECT_EQ(s.in_hand.size(), 1u);  // its key and place are kept until it has settled
}

// Rule 2: no effect twice.
struct AfterOutcome : testing::TestWithParam<std::tuple<Outcome, bool>> {};

TEST_P(AfterOutcome, NonReplayableGoesOutAgainOnlyIfItNeverRan) {
  const auto [outcome, again] = GetParam();
  State s = state_with(1, {profile(Effect::kNonReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(100), attempt_finished(c, outcome));
  EXPECT_EQ(may_attempt(s, c, s.engines[0], at(100)), again);
}

INSTANTIATE_TEST_SUITE_P(
    Table, AfterOutcome,
    testing::Values(std::tuple(Outcome::kFailed, false), std::tuple(Outcome::kQueueFull, true),
                    std::tuple(Outcome::kTimedOut, false), std::tuple(Outcome::kConnectFailed, true),
                    std::tuple(Outcome::kReset, false), std::tuple(Outcome::kCancelled, false),
                    std::tuple(Outcome::kCancelledBeforeStart, true)));

TEST(Effects, NonReplayableThatMayHaveRunFailsAndIsNotShed) {
  State s = state_with(1, {profile(Effect::kNonReplayable)});
  Command& c = add_command(s);
  c.attempts = 1;
  c.possible_run = PossibleRun{};
  review_queue(s, at(100));
  EXPECT_EQ(c.desired, DesiredState::kFailed);
}

TEST(Effects, UniquedStaysInItsGroupAndWindow) {
  Profile p = profile(Effect::kDeduplicated);
  p.deduplication_scope = DeduplicationScope::kZone;
  p.deduplication_window = span(5000);
  State s = state_with(2, {p});
  put_in_zone(s, 0, "a");
  put_in_zone(s, 1, "b");
  Command& c = add_command(s);
  c.attempts = 1;
  c.possible_run = PossibleRun{0, at(100)};
  EXPECT_TRUE(may_attempt(s, c, s.engines[0], at(4000)));
  EXPECT_FALSE(may_attempt(s, c, s.engines[1], at(4000)));
  EXPECT_FALSE(may_attempt(s, c, s.engines[0], at(5050)));
}

// A refusal says that trying again is harmless: so it is while the engines will still know the mark then.
TEST(Effects, UniquedThatMayHaveRunIsShedEarlyInItsWindowAndFailsLater) {
  Profile p = profile(Effect::kDeduplicated);
  p.deduplication_window = span(4000);
  for (const auto& [now, want] :
       {std::pair<Ms, DesiredState>{1000, DesiredState::kShed}, {2500, DesiredState::kFailed}}) {
    State s = state_with(1, {p});
    Command& c = add_command(s);
    c.attempts = s.options.max_attempts;
    c.possible_run = PossibleRun{0, at(100)};
    review_queue(s, at(now));
    EXPECT_EQ(c.desired, want) << now;
  }
}

TEST(Effects, UniquedPastItsWindowEndsAtOnce) {
  Profile p = profile(Effect::kDeduplicated);
  p.deduplication_window = span(1000);
  State s = state_with(1, {p});
  Command& c = add_command(s);
  c.attempts = 1;
  c.possible_run = PossibleRun{0, at(100)};
  review_queue(s, at(1000));
  EXPECT_EQ(c.desired, DesiredState::kFailed);
  c.desired = DesiredState::kInFlight;
  c.attempt.state = AttemptState::kInFlight;
  c.attempt.engine = c.desired_engine = 0;
  EXPECT_TRUE(may_start_attempt(s, c.request.id, at(800)));
  EXPECT_FALSE(may_start_attempt(s, c.request.id, at(1000)));  // its connection came up too late
}

TEST(Effects, NeverTwoSendsAtOnceNorPastTheLimit) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  EXPECT_FALSE(may_attempt(s, c, s.engines[0], at(10)));
  c.attempt.state = AttemptState::kNone;
  EXPECT_TRUE(may_attempt(s, c, s.engines[0], at(10)));
  c.attempts = s.options.max_attempts;
  EXPECT_FALSE(may_attempt(s, c, s.engines[0], at(10)));
}

// Rule 3: drains.
TEST(Drains, NothingNewToAnEngineThatDrainsOrLeft) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  EngineInfo draining;
  draining.engine = EngineId{10};
  draining.state = EngineState::kDraining;
  handle(s, at(50), EngineListUpdate{true, {draining}});  // a full list: 20 is gone
  EXPECT_FALSE(may_attempt(s, c, s.engines[0], at(50)));
  EXPECT_FALSE(may_attempt(s, c, s.engines[1], at(50)));
}

TEST(Drains, ANewEngineKeepsThePlacesOfTheOthers) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 1, at(0));
  EngineInfo early;
  early.engine = EngineId{5};
  handle(s, at(50), EngineListUpdate{false, {early}});
  EXPECT_EQ(s.engines[*c.attempt.engine].id, EngineId{20});
}

// Rule 4: cold engines.
State with_a_cold_engine(double gateways) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.options.slow_start.warm_up = span(10000);
  s.options.slow_start.overload_window = span(2000);
  s.options.slow_start.overload_multiple = 3;
  s.options.slow_start.initial_share = 0.3;
  s.options.gateways = gateways;
  s.engines[0].slow_start.started_at = at(0);
  return s;
}

TEST(ColdEngine, BudgetHoldsOverTheWindowAndGrowsWithWarmth) {
  State s = with_a_cold_engine(2);
  Engine& e = s.engines[0];
  const Ms most = 3 * 0.3 * 8 * 2000 / 2;  // this gateway's share right after the start
  EXPECT_EQ(slow_start_admission(s, e, span(most / 4), at(0)), SlowStartAdmission::kAllowed);
  EXPECT_NE(slow_start_admission(s, e, span(most), at(0)), SlowStartAdmission::kAllowed);
  e.slow_start.sent.push_back({at(0), span(most / 4)});
  EXPECT_NE(slow_start_admission(s, e, span(most / 4), at(1)), SlowStartAdmission::kAllowed);
  e.slow_start.sent.clear();
  EXPECT_EQ(slow_start_admission(s, e, span(most), at(9000)), SlowStartAdmission::kAllowed);
  EXPECT_EQ(slow_start_admission(s, e, span(100 * most), at(10001)), SlowStartAdmission::kAllowed);
}

TEST(ColdEngine, LargeCommandsOfManyGatewaysComeByTurns) {
  State s = with_a_cold_engine(100);
  int sent = 0;
  for (int gateway = 0; gateway < 100; ++gateway) {
    s.options.gateway_number = gateway;
    s.engines[0].slow_start.sent.clear();
    for (Ms now = 0; now < 2000; now += 5) {
      if (slow_start_admission(s, s.engines[0], span(2000), at(now)) == SlowStartAdmission::kDenied) continue;
      s.engines[0].slow_start.sent.push_back({at(now), span(2000)});
      ++sent;
    }
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent * 2000, 3 * 0.3 * 8 * 2000);  // all gateways, one window
}

TEST(ColdEngine, SmallCommandsOfManyGatewaysComeSeldom) {
  State s = with_a_cold_engine(1000);
  EXPECT_EQ(slow_start_admission(s, s.engines[0], span(50), at(100)), SlowStartAdmission::kAllowed);
  s.engines[0].slow_start.sent.push_back({at(100), span(50)});
  EXPECT_EQ(slow_start_admission(s, s.engines[0], span(50), at(3000)), SlowStartAdmission::kDenied);
}

// Rule 4 over the whole fleet: whatever N gateways want to send an engine that started, unevenly and some of
// them restarted meanwhile, what they are let send over any window stays under what the settings allow, but
// for chance.
TEST(ColdEngine, TheSumOfAllGatewaysHolds) {
  constexpr Ms kStep = 20, kWindow = 2000, kWarm = 10000;
  const std::array<Ms, 3> works{180, 2800, 5400};
  const std::array<double, 3> shares{0.78, 0.16, 0.06};
  double mean = 0;
  for (size_t i = 0; i < works.size(); ++i) mean += works[i] * shares[i];
  for (const int gateways : {1, 6, 20, 30, 300, 1024}) {
    for (const uint64_t seed : {1, 2, 3}) {
      Pcg32 chance{seed};
      const auto opened = [&](int number, Ms now) {
        State s;
        s.random.state = (static_cast<uint64_t>(chance.next()) << 32) | chance.next();
        s.settings = {{"cores.", 12.0}};
        for (const Ms work : works) s.profiles.emplace_back().costs.mean_predicted_work = span(work);
        s.options.gateways = gateways;
        s.options.gateway_number = number;
        s.options.slow_start.warm_up = span(kWarm);
        s.options.slow_start.overload_window = span(kWindow);
        s.options.slow_start.overload_multiple = 3;
        s.options.slow_start.initial_share = 0.4;
        EngineInfo cold;
        cold.engine = EngineId{10};
        cold.started_at = at(1000);
        handle(s, at(now), EngineListUpdate{true, {cold}});
        return s;
      };
      std::vector<State> all;
      for (int i = 0; i < gateways; ++i) all.push_back(opened(i, 1100));
      std::vector<std::pair<Ms, Ms>> sent;
      for (Ms now = 1100; now < 1000 + kWarm; now += kStep) {
        for (int i = 0; i < gateways; ++i) {
          if (chance.next() % 1000 == 0) all[static_cast<size_t>(i)] = opened(i, now);  // restarted
          for (size_t k = 0; k < works.size(); ++k) {
            // Uneven: the busiest always have one waiting, the quietest hardly ever.
            if (chance.next() % static_cast<uint32_t>(1 + i % 7 * 3) > 0) continue;
            State& s = all[static_cast<size_t>(i)];
            if (slow_start_admission(s, s.engines[0], span(works[k]), at(now)) == SlowStartAdmission::kDenied)
              continue;
            s.engines[0].slow_start.sent.push_back({at(now), span(works[k])});
            sent.push_back({now, works[k]});
          }
        }
        Ms sum = 0;
        for (const auto& [at, work] : sent)
          if (at > now - kWindow) sum += work;
        const double allowed =
            3 * warm_share(all[0], all[0].engines[0], at(now)) * 0.85 * 12 * kWindow / mean;
        EXPECT_LE(sum / mean, allowed + 2 * std::sqrt(allowed) + 2)
            << gateways << " gateways, seed " << seed << ", " << now - 1000 << " ms after the start";
        if (HasFailure()) return;
      }
    }
  }
}

TEST(ColdEngine, ANewLifeClearsWhatTheLastOneDid) {
  State s = with_a_cold_engine(1);
  s.engines[0].outlier.failures = s.engines[0].outlier.attempts = 9;
  EngineInfo again;
  again.engine = EngineId{10};
  again.started_at = at(5000);
  handle(s, at(6000), EngineListUpdate{false, {again}});
  review_engines(s, at(6000));
  EXPECT_FALSE(s.engines[0].outlier.is_ejected);
}

// Wall clocks are stepped: what a list says of a start is believed where it can be true.
TEST(ColdEngine, AStartThatCannotBeTrueCountsAsOneNow) {
  constexpr Ms kNow = 1e9, kHour = 3.6e6;
  EXPECT_EQ(start_time_of(at(kNow - 3000), std::nullopt, at(kNow)), at(kNow - 3000));
  EXPECT_EQ(start_time_of(at(kNow - 3000), at(kNow - 900), at(kNow)),
            at(kNow - 3000));  // the list comes late
  EXPECT_EQ(start_time_of(at(kNow + kHour), at(kNow - 900), at(kNow)), at(kNow));
  EXPECT_EQ(start_time_of(at(kNow - kHour), at(kNow - 900), at(kNow)), at(kNow));
  EXPECT_EQ(start_time_of(at(kNow - kHour), std::nullopt, at(kNow)),
            at(kNow - kHour));  // a list of the start: it may be old
  EXPECT_EQ(start_time_of(at(kNow - 50000), at(kNow - 60000), at(kNow)),
            at(kNow - 50000));  // no news of the list for a minute
}

TEST(ColdEngine, ANewStartIsColdWhateverTheClocksSayAndIsTakenOnce) {
  for (const Ms off : {-3.6e6, 0.0, 3.6e6}) {
    constexpr Ms kNow = 1e9;
    State s = with_a_cold_engine(1);
    s.engines[0].slow_start.started_at.reset();
    EngineInfo again;
    again.engine = EngineId{10};
    again.started_at = at(kNow - 500 + off);
    handle(s, at(kNow), EngineListUpdate{false, {again}, at(kNow - 900)});
    EXPECT_LT(warm_share(s, s.engines[0], at(kNow)), 0.35) << off;
    EXPECT_GE(warm_share(s, s.engines[0], at(kNow)), 0.3) << off;
    handle(s, at(kNow + 5000),
              EngineListUpdate{false, {again}, at(kNow + 4500)});  // told again: it did not start anew
    EXPECT_GT(warm_share(s, s.engines[0], at(kNow + 5000)), 0.6) << off;
    EXPECT_EQ(warm_share(s, s.engines[0], at(kNow + 11000)), 1) << off;
  }
}

TEST(ColdEngine, AnswerAfterLongSilenceCountsAsAStart) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  s.engines[0].outlier.is_unresponsive = true;
  handle(s, at(9000), attempt_finished(c, Outcome::kOk));
  EXPECT_EQ(s.engines[0].slow_start.started_at, at(9000));
}

// Rule 5: order.
TEST(AttemptRequest, OneAtATimePerKeyInTheOrderTaken) {
  Profile p = profile(Effect::kDeduplicated);
  p.is_ordered = true;
  State s = state_with(1, {p});
  Command& first = add_command(s);
  Command& second = add_command(s);
  Command& other = add_command(s);
  first.request.ordering_key = second.request.ordering_key = 0;
  other.request.ordering_key = 7;
  first.is_ended = true;
  first.attempt.state = AttemptState::kInFlight;  // ended, but its send has not settled
  EXPECT_FALSE(has_turn(s, second, at(10)));
  EXPECT_TRUE(has_turn(s, other, at(10)));
  s.in_hand.erase(s.in_hand.begin());
  EXPECT_TRUE(has_turn(s, second, at(10)));
}

TEST(AttemptRequest, KeyRestsAfterASendThatMayStillRun) {
  Profile p = profile(Effect::kDeduplicated);
  p.is_ordered = true;
  State s = state_with(1, {p});
  s.options.key_cooldown = span(300);
  Command& first = add_command(s);
  first.request.ordering_key = 0;
  start_attempt(s, first, 0, at(0));
  handle(s, at(100), attempt_finished(first, Outcome::kReset));
  Command next = first;
  next.attempts = 0;
  s.in_hand.clear();
  EXPECT_FALSE(has_turn(s, next, at(399)));
  EXPECT_TRUE(has_turn(s, next, at(400)));
}

// Rule 6: placement.
TEST(Placement, HeldWhenNoAllowedEngineIsThere) {
  Profile p = profile(Effect::kReplayable);
  p.machine_types = {"big"};
  State s = state_with(2, {p});
  Command& c = add_command(s);
  s.engines[0].machine_type = "small";
  s.engines[1].machine_type = "big";
  EXPECT_EQ(choose_engine(s, c, at(10)), 1u);
  s.engines[1].state = EngineState::kRemoved;
  EXPECT_EQ(choose_engine(s, c, at(10)), std::nullopt);
}

// Rule 7: the budget of further sends.
TEST(Budget, SlidesWithTheWindow) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.options.retry_budget.is_limited = true;
  s.options.retry_budget.allowance = 1;
  s.options.retry_budget.share = 0.1;
  s.options.retry_budget.window = span(5000);
  for (int i = 0; i < 10; ++i) s.retry_budget.admitted.add(at(100));
  EXPECT_TRUE(has_retry_budget(s, at(100)));
  s.retry_budget.retries.add(at(100));
  s.retry_budget.retries.add(at(200));
  EXPECT_FALSE(has_retry_budget(s, at(5000)));  // 2 of 1 + 1
  EXPECT_TRUE(has_retry_budget(s, at(5250)));   // all have slid out
}

TEST(Budget, OneMomentsSendsCountForEachOther) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  s.options.retry_budget.is_limited = true;
  s.options.retry_budget.allowance = 1;
  s.options.retry_budget.window = span(5000);
  for (int i = 0; i < 3; ++i) add_command(s).attempts = 1;
  review_queue(s, at(10));
  Actions out;
  append_actions(s, at(10), out);
  EXPECT_EQ(count_of(out, Kind::kStartAttempt), 1);
}

// The design.
TEST(Design, HeavyGoesToThePoolAndOverflows) {
  State s = state_with(3, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  c.is_heavy = true;
  s.engines[2].is_in_pool = true;
  EXPECT_EQ(choose_engine(s, c, at(10)), 2u);
  s.engines[2].in_flight.threads = 16;
  EXPECT_NE(choose_engine(s, c, at(10)), 2u);
}

TEST(Design, ReadersOfHeldTablesStayOffThePoolWhileALightEngineWorks) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.profiles[0].waits_for_loads = true;
  Command& c = add_command(s);
  s.engines[1].is_in_pool = true;
  s.engines[0].in_flight.threads = 30;
  EXPECT_EQ(choose_engine(s, c, at(10)), std::nullopt);
  s.engines[0].outlier.is_ejected = true;
  s.engines[0].outlier.next_probe_at = at(20);
  EXPECT_EQ(choose_engine(s, c, at(10)), 1u);
}

TEST(Design, LoadsThatReadersWaitBehindOverflowOnceHeldForLong) {
  State s = state_with(2, {profile(Effect::kReplayable), profile(Effect::kNonReplayable)});
  s.profiles[0].waits_for_loads = s.profiles[1].is_load = true;
  Command& load = add_command(s, 1);
  load.is_heavy = s.engines[1].is_in_pool = true;
  s.engines[1].in_flight.threads = 8;
  s.engines[1].concurrency.limit = 4;
  EXPECT_EQ(choose_engine(s, load, at(500)), std::nullopt);
  EXPECT_EQ(choose_engine(s, load, at(1500)), 0u);
}

TEST(Design, PoolIsAZoneOfTwoOrElseTheLastById) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  update_pool(s);
  EXPECT_FALSE(s.engines[1].is_in_pool);
  EXPECT_TRUE(s.engines[2].is_in_pool && s.engines[3].is_in_pool);
  put_in_zone(s, 0, "b");
  put_in_zone(s, 3, "b");
  update_pool(s);
  EXPECT_TRUE(s.engines[0].is_in_pool && s.engines[3].is_in_pool);
  EXPECT_FALSE(s.engines[2].is_in_pool);
}

// One zone is the dearest case: no zone will do, so each engine's is asked for.
TEST(Design, DrawingThePoolLooksAtEachEngineOnce) {
  for (const int engines : {8, 64, 512, 2200}) {
    State s = state_with(engines, {profile(Effect::kReplayable)});
    update_pool(s);
    EXPECT_EQ(s.pool.engines_examined, static_cast<uint64_t>(engines));
  }
}

TEST(Design, LessPredictedWorkOfTwoDrawn) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  s.engines[0].in_flight.work = span(500);
  EXPECT_EQ(choose_engine(s, c, at(10)), 1u);
}

TEST(Design, OverloadedPoolHoldsHeavyThenSheds) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.pool.heavy_attempts = 20;
  s.pool.heavy_rejections = 5;
  Command& heavy = add_command(s);
  Command& light = add_command(s);
  heavy.is_heavy = true;
  review_queue(s, at(500));
  EXPECT_EQ(heavy.desired, DesiredState::kQueued);
  EXPECT_EQ(light.desired, DesiredState::kInFlight);
  review_queue(s, at(1000));
  EXPECT_EQ(heavy.desired, DesiredState::kShed);
}

TEST(Design, FailingEngineIsSkipped) {
  State s = state_with(2, {profile(Effect::kReplayable, 2)});
  Command& c = add_command(s);
  s.engines[0].outlier.attempts = 10;
  s.engines[0].outlier.failures = 4;
  review_engines(s, at(0));
  EXPECT_EQ(choose_engine(s, c, at(10)), 1u);
}

// Beside the design.
TEST(Health, SilentEngineIsDoubtedAndItsReplayableWorkWithdrawn) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  review_engines(s, at(5000));
  EXPECT_TRUE(s.engines[0].outlier.is_ejected);
  review_attempts(s, at(5000));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
}

TEST(Health, AFewGoodTrialsInARowBringAFailingEngineBack) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].outlier.failures = s.engines[0].outlier.attempts = 9;
  review_engines(s, at(0));
  for (int i = 0; i < 4; ++i) {
    Command& c = add_command(s);
    start_attempt(s, c, 0, at(0));
    handle(s, at(100), attempt_finished(c, Outcome::kOk));
  }
  review_engines(s, at(100));
  EXPECT_FALSE(s.engines[0].outlier.is_ejected);
}

TEST(Health, AShortCommandThatTakesLongIsNoSilence) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].costs.mean_predicted_work = span(200);
  Command& c = add_command(s);
  c.predicted_work = c.predicted_runtime = span(10);  // an estimate far too low
  start_attempt(s, c, 0, at(0));
  review_engines(s, at(700));
  EXPECT_FALSE(s.engines[0].outlier.is_ejected);
}

TEST(Health, WhatWaitsOwesNoWordNorIsAStallOfTheGatewayASilence) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(5), AttemptStatus{c.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_engines(s, at(5000));
  EXPECT_FALSE(s.engines[0].outlier.is_ejected);
  c.attempt.is_waiting = false;
  s.next_tick_at = at(20);
  handle(s, at(5000), TimerFired{});
  review_engines(s, at(5000));
  EXPECT_FALSE(s.engines[0].outlier.is_ejected);
  review_engines(s, at(6000));
  EXPECT_TRUE(s.engines[0].outlier.is_ejected);
}

TEST(BadPlan, WithdrawnWhenItsPaceIsFarOffThePrediction) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  c.attempt.share_done = 0.1;
  c.attempt.reported_at = at(400);  // 4 s in all against 100 ms
  review_attempts(s, at(400));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
}

TEST(Tables, ReadersAvoidAnEngineWhereALoadHoldsThem) {
  Profile reader = profile(Effect::kReplayable), load = profile(Effect::kNonReplayable);
  reader.waits_for_loads = load.is_load = true;
  State s = state_with(2, {reader, load});
  start_attempt(s, add_command(s, 1), 0, at(0));
  Command& c = add_command(s);
  s.slots[0].request.table_group = c.request.table_group = 3;
  EXPECT_EQ(choose_engine(s, c, at(10)), 1u);
  start_attempt(s, c, 1, at(10));
  handle(s, at(500),
         AttemptStatus{c.request.id, 0, AttemptStatusKind::kWaiting, 2});  // a load of some other gateway
  review_attempts(s, at(500));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
  EXPECT_TRUE(is_blocked_by_load(s, c, s.engines[1]));
}

TEST(Level, CutWhenCrowdedAndRaisedWhenItBinds) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].concurrency.slowdown = 2.5;
  s.engines[0].concurrency.samples = s.engines[1].concurrency.samples = 1e6;
  s.engines[1].concurrency.is_limit_reached = true;
  review_engines(s, at(60000));
  EXPECT_LT(s.engines[0].concurrency.limit, 16);
  EXPECT_GT(s.engines[1].concurrency.limit, 16);
}

TEST(BadPlan, SendWithoutAWordIsWithdrawnThoughItsEngineServesOthers) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].costs.mean_predicted_work = span(100);
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  s.engines[0].outlier.last_sign_at = at(990);
  review_attempts(s, at(1000));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
  EXPECT_FALSE(s.engines[0].outlier.is_unresponsive);
}

TEST(Level, NotesOfASlowPaceTellACrowdBeforeAnyOutcome) {
  State s = state_with(1, {profile(Effect::kNonReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  for (int i = 1; i < 50; ++i)
    handle(s, at(i * 300.0), AttemptStatus{c.request.id, 0, AttemptStatusKind::kProgress, i * 0.02});
  review_engines(s, at(15000));
  EXPECT_LT(s.engines[0].concurrency.limit, 16);
}

TEST(Level, FullEngineIsLeftAloneForAMoment) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(100), attempt_finished(c, Outcome::kQueueFull));
  EXPECT_EQ(choose_engine(s, c, at(101)), std::nullopt);
  EXPECT_EQ(choose_engine(s, c, at(1000)), 0u);
}

TEST(Level, ClosedDoorsRestLongerWithEachInARow) {
  for (const Outcome closed : {Outcome::kQueueFull, Outcome::kConnectFailed}) {
    State s = state_with(1, {profile(Effect::kReplayable)});
    Command& c = add_command(s);
    Ms now = 0, rest = 0;
    for (int i = 0; i < 3; ++i) {
      start_attempt(s, c, 0, at(now));
      handle(s, at(now), attempt_finished(c, closed));
      EXPECT_EQ(choose_engine(s, c, at(now + 1.5 * rest)), std::nullopt) << i;
      rest = to_ms(s.engines[0].backoff.until) - now;
      now = to_ms(s.engines[0].backoff.until);
      EXPECT_EQ(choose_engine(s, c, at(now)), 0u) << i;
    }
    start_attempt(s, c, 0, at(now));
    handle(s, at(now), attempt_finished(c, Outcome::kFailed));  // it has begun there: the door is open
    EXPECT_EQ(s.engines[0].backoff.rejections_in_a_row, 0);
  }
}

TEST(Level, WhatWaitsForMemoryGoesElsewhereAndSmallerOnesMayFit) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  c.request.estimated_memory_mb = 100;
  start_attempt(s, c, 0, at(0));
  handle(s, at(5), AttemptStatus{c.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_attempts(s, at(5));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
  Command& large = add_command(s);
  Command& small = add_command(s);
  large.request.estimated_memory_mb = 200;
  EXPECT_EQ(choose_engine(s, large, at(10)), std::nullopt);
  EXPECT_EQ(choose_engine(s, small, at(10)), 0u);
}

TEST(Level, UniquedThatWaitsForMemoryMovesInsideItsWindowAndRestsBetweenMoves) {
  Profile p = profile(Effect::kDeduplicated);
  p.deduplication_window = span(5000);
  State s = state_with(1, {p});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(5), AttemptStatus{c.request.id, 0, AttemptStatusKind::kWaiting, 1});
  review_attempts(s, at(4900));
  EXPECT_EQ(c.desired, DesiredState::kInFlight);
  c.moves = 2;
  review_attempts(s, at(10));
  EXPECT_EQ(c.desired, DesiredState::kCancelled);
  EXPECT_GT(c.retry_not_before, at(10));
}

TEST(Level, CrowdingShowsWhereAnswersTellNoCost) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].costs.baseline = 1;
  s.profiles[0].costs.correction = 3;  // learned from crowded latencies
  Admitted t;
  t.id = id_of(1);
  t.profile = 0;
  t.estimated_work = span(50);
  t.deadline = at(10000);
  handle(s, at(0), t);
  start_attempt(s, s.slots[0], 0, at(0));
  handle(s, at(100), attempt_finished(s.slots[0], Outcome::kOk));
  EXPECT_GT(s.engines[0].concurrency.slowdown, 1);
}

TEST(Level, TimesTakenAcrossAStallOfTheGatewayTellNothing) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  s.next_tick_at = at(20);
  AttemptFinished r = attempt_finished(c, Outcome::kOk);
  r.elapsed = span(2000);
  handle(s, at(2000), r);
  EXPECT_EQ(s.engines[0].concurrency.slowdown, 1);
  EXPECT_EQ(s.profiles[0].costs.correction, 0);
}

TEST(Level, YardstickIsGuessedUntilThereIsAReading) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  for (int i = 0; i < 5; ++i) {
    Command& c = add_command(s);
    c.request.estimated_work = span(100);
    start_attempt(s, c, 0, at(0));
    AttemptFinished r = attempt_finished(c, Outcome::kOk);
    r.elapsed = span(400);
    handle(s, at(400), r);
  }
  EXPECT_GT(s.profiles[0].costs.baseline, 1.5);  // towards 4, from 1
  EXPECT_LT(s.profiles[0].costs.baseline, 4);
}

TEST(Level, CrowdedEnginesTakeNothingThatHasRoomOnOthers) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  for (int i : {0, 1, 2}) s.engines[static_cast<size_t>(i)].concurrency.congestion = 3;
  for (int i = 0; i < 8; ++i) EXPECT_EQ(choose_engine(s, add_command(s), at(10)), 3u);
  s.engines[3].backoff.until = at(100);
  EXPECT_TRUE(choose_engine(s, add_command(s), at(10)).has_value());
}

TEST(Level, StepsUpAreAlikeSoThatSharesEvenOut) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.options.gateways = 100;
  s.engines[0].concurrency.limit = 0.1;
  s.engines[1].concurrency.limit = 4;
  for (Engine& e : s.engines) e.concurrency.is_limit_reached = true;
  review_engines(s, at(60000));
  EXPECT_NEAR(s.engines[0].concurrency.limit - 0.1, s.engines[1].concurrency.limit - 4, 1e-9);
  EXPECT_GT(s.engines[1].concurrency.limit, 4);
}

TEST(Level, OneBadStayIsRememberedWhereLittleElseIsKnown) {
  State s = state_with(2, {profile(Effect::kReplayable, 4)});
  Command& c = add_command(s);
  start_attempt(s, c, 0, at(0));
  handle(s, at(3200),
         AttemptStatus{c.request.id, 0, AttemptStatusKind::kProgress, 0.8});  // far off its time alone
  review_engines(s, at(3200));
  EXPECT_GT(s.engines[0].concurrency.congestion, s.engines[1].concurrency.congestion + 0.3);
}

TEST(Level, SmallSharesOfManyEnginesHoldTogether) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  for (Engine& e : s.engines) e.concurrency.limit = 0.2;
  start_attempt(s, add_command(s), 0, at(0));
  EXPECT_EQ(choose_engine(s, add_command(s), at(10)), std::nullopt);
  s.engines[3].concurrency.limit = 2;
  EXPECT_TRUE(choose_engine(s, add_command(s), at(10)).has_value());
}

// Of the threads of 300 gateways that each run one command whenever they may, no more than the levels hold as
// a mean: of what each runs past its share it waits out the rest.
TEST(Level, WhatRanPastAShareIsWaitedFor) {
  State s = state_with(2, {profile(Effect::kReplayable, 4), profile(Effect::kReplayable)});
  for (Engine& e : s.engines) e.concurrency.limit = 0.5;  // one thread in all, four are run at once
  Command& first = add_command(s);
  Ms ran = 0, all = 0;
  update_overrun(s, at(0));
  for (Ms now = 0; now < 40000; now += 20) {
    const bool out = s.engines[0].in_flight.attempts + s.engines[1].in_flight.attempts > 0;
    ran += out ? 4 * 20 : 0;
    all += 20;
    if (out && now - to_ms(first.attempt.started_at) >= 200)
      handle(s, at(now), attempt_finished(first, Outcome::kFailed));
    update_overrun(s, at(now));
    const std::optional<size_t> engine = has_attempt(first) ? std::nullopt : choose_engine(s, first, at(now));
    if (engine) start_attempt(s, first, *engine, at(now)), first.attempts = 1;
    if (s.concurrency.overrun[0] > Duration{}) {
      EXPECT_TRUE(choose_engine(s, add_command(s, 1), at(now)).has_value());
    }  // short ones do not wait
    s.slots.resize(1);
    s.in_hand.resize(1);
  }
  EXPECT_NEAR(ran / all, 1, 0.15);
}

TEST(Level, ShortCommandsDoNotSitOutALongOne) {
  State s = state_with(4, {profile(Effect::kReplayable), profile(Effect::kReplayable, 4)});
  for (Engine& e : s.engines) e.concurrency.limit = 0.2;
  start_attempt(s, add_command(s, 1), 0, at(0));
  EXPECT_EQ(choose_engine(s, add_command(s, 1), at(10)), std::nullopt);
  EXPECT_TRUE(choose_engine(s, add_command(s), at(10)).has_value());
}

TEST(Level, EngineWithFewOutcomesIsJudgedByItsKin) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.concurrency.groups[0].slowdown = 3;
  s.engines[1].concurrency.samples = 1e6;
  review_engines(s, at(60000));
  EXPECT_LT(s.engines[0].concurrency.limit, 16);
  EXPECT_EQ(s.engines[1].concurrency.limit, 16);
}

TEST(Terms, GrantCoversMostOfWhatIsNeeded) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].memory_factor = 1;
  for (int i = 0; i < 400; ++i) {
    Command& c = add_command(s);
    c.request.estimated_memory_mb = 100;
    start_attempt(s, c, 0, at(0));
    AttemptFinished r = attempt_finished(c, Outcome::kOk);
    r.memory_mb = i % 10 == 0 ? 190 : 110;  // one in ten needs far more
    handle(s, at(100), r);
    s.in_hand.clear();
    s.slots.clear();
  }
  EXPECT_GT(s.profiles[0].memory_factor, 1.6);
}

TEST(Slab, PlacesAreUsedAgain) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Admitted t;
  t.profile = 0;
  t.deadline = at(10000);
  for (int i = 0; i < 5; ++i) {
    t.id = id_of(i);
    handle(s, at(i), t);
    Actions out;
    decide(s, at(i), out);
    handle(s, at(i), attempt_finished(s.slots[0], Outcome::kOk));
    decide(s, at(i), out);
  }
  EXPECT_EQ(s.slots.size(), 1u);
}

TEST(ShutdownStarted, NoCommandOutlastsItsGateway) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.engines[0].state = EngineState::kRemoved;
  add_command(s);
  handle(s, at(0), ShutdownStarted{at(500)});
  Actions actions;
  decide(s, at(495), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kShedCommand), 1);
}

TEST(Engines, TheGoneAreForgottenOnceNoCommandRefersToThem) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  for (uint32_t id = 1; id <= 6; ++id) find_or_add_engine(s, EngineId{id}).state = EngineState::kRemoved;
  start_attempt(s, c, 6, at(0));  // on the one that is ready, behind those
  c.possible_run = PossibleRun{2, {}};
  forget_removed_engines(s);
  ASSERT_EQ(s.engines.size(), 2u);
  EXPECT_EQ(s.engines[*c.attempt.engine].id, EngineId{10});
  EXPECT_EQ(s.engines[c.possible_run->engine].id, EngineId{3});
}

TEST(Line, WhatMayRunAnywhereLeavesRoomToWhatIsBound) {
  State s = state_with(2, {profile(Effect::kReplayable, 4), profile(Effect::kReplayable, 2)});
  s.profiles[0].machine_types = {"big"};
  s.machine_types = {"", "big"};
  s.concurrency.groups.resize(4);
  s.engines[1].machine_type = "big";
  s.engines[1].machine_type_index = 1;
  for (Engine& e : s.engines) {
    e.concurrency.limit = 4;
    e.in_flight.threads = e.in_flight.attempts = 2;
  }
  s.engines[0].in_flight.threads = 4;  // full
  Command& bound = add_command(s);
  add_command(s, 1).predicted_work = span(1000);  // worth less for its work
  review_queue(s, at(0));
  EXPECT_EQ(s.slots[1].desired, DesiredState::kQueued);
  s.engines[1].in_flight.threads = 0;
  review_queue(s, at(0));
  EXPECT_EQ(bound.desired_engine, 1u);
}

// Where a gateway's share is less than one command something is always awaited: all short commands of all
// gateways would crowd the few machines that nothing is bound to.
TEST(Line, ShortCommandsLeaveAwaitedMachinesOnlyWhereTheShareHoldsOne) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].is_reserved = true;
  s.engines[1].in_flight.work = span(1e6);
  Command& c = add_command(s);
  EXPECT_EQ(choose_engine(s, c, at(0)), 1u);
  for (Engine& e : s.engines) e.concurrency.limit = 0.5;
  EXPECT_EQ(choose_engine(s, c, at(0)), 0u);
}

}  // namespace
}  // namespace firvalve
