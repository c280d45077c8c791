#include <cmath>

#include "policy/helpers.h"
#include "policy/policy.h"

namespace firvalve {
namespace {

using Kind = Action::Kind;

// Rule 1: one final answer.
TEST(Answer, TimedOutAtTheEndFailsInTheSameReply) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 10000, settled(c, Outcome::kTimedOut));
  Actions out;
  emit(s, 10000, out);
  EXPECT_EQ(count_of(out, Kind::kFailCommand), 1);
  EXPECT_TRUE(s.live.empty());
}

TEST(Answer, HeldCommandEndsBeforeTheClientGivesUp) {
  State s = state_with(0, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  review_line(s, 9900);
  EXPECT_EQ(c.want, Want::kShed);
}

TEST(Answer, WhatCannotEndInTimeAtTheUsualStretchIsShedAtOnce) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.usual_stretch = 3;
  Command& c = add_command(s);
  c.alone = 200;
  c.asked.gives_up_at = 1000;
  review_line(s, 500);
  EXPECT_EQ(c.want, Want::kShed);
}

TEST(Answer, NothingIsSaidAfterTheClientLeft) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  add_command(s).ended = true;
  Actions out;
  emit(s, 10, out);
  EXPECT_TRUE(out.empty());
  EXPECT_TRUE(s.live.empty());
}

TEST(Answer, WorkOfAClientThatLeftIsCalledOff) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  c.ended = true;
  Actions out;
  emit(s, 10, out);
  emit(s, 11, out);
  EXPECT_EQ(count_of(out, Kind::kCancelAttempt), 1);
  EXPECT_EQ(s.live.size(), 1u);  // its key and place are kept until it has settled
}

// Rule 2: no effect twice.
struct AfterOutcome : testing::TestWithParam<std::tuple<Outcome, bool>> {};

TEST_P(AfterOutcome, NonReplayableGoesOutAgainOnlyIfItNeverRan) {
  const auto [outcome, again] = GetParam();
  State s = state_with(1, {profile(Effect::kNonReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 100, settled(c, outcome));
  EXPECT_EQ(may_send(s, c, s.engines[0], 100), again);
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
  c.sends = 1;
  c.may_have_run = true;
  review_line(s, 100);
  EXPECT_EQ(c.want, Want::kFail);
}

TEST(Effects, UniquedStaysInItsGroupAndWindow) {
  Profile p = profile(Effect::kUniqued);
  p.group = Group::kZone;
  p.repeat_window = 5000;
  State s = state_with(2, {p});
  put_in_zone(s, 0, "a");
  put_in_zone(s, 1, "b");
  Command& c = add_command(s);
  c.sends = 1;
  c.may_have_run = true;
  c.risked_on = 0;
  c.risked_at = 100;
  EXPECT_TRUE(may_send(s, c, s.engines[0], 4000));
  EXPECT_FALSE(may_send(s, c, s.engines[1], 4000));
  EXPECT_FALSE(may_send(s, c, s.engines[0], 5050));
}

// A refusal says that trying again is harmless: so it is while the engines will still know the mark then.
TEST(Effects, UniquedThatMayHaveRunIsShedEarlyInItsWindowAndFailsLater) {
  Profile p = profile(Effect::kUniqued);
  p.repeat_window = 4000;
  for (const auto& [now, want] : {std::pair<Ms, Want>{1000, Want::kShed}, {2500, Want::kFail}}) {
    State s = state_with(1, {p});
    Command& c = add_command(s);
    c.sends = s.most_sends;
    c.may_have_run = true;
    c.risked_on = 0;
    c.risked_at = 100;
    review_line(s, now);
    EXPECT_EQ(c.want, want) << now;
  }
}

TEST(Effects, UniquedPastItsWindowEndsAtOnce) {
  Profile p = profile(Effect::kUniqued);
  p.repeat_window = 1000;
  State s = state_with(1, {p});
  Command& c = add_command(s);
  c.sends = 1;
  c.may_have_run = true;
  c.risked_on = 0;
  c.risked_at = 100;
  review_line(s, 1000);
  EXPECT_EQ(c.want, Want::kFail);
  c.want = Want::kOut;
  c.out = true;
  c.engine = c.want_engine = 0;
  EXPECT_TRUE(may_start_attempt(s, c.asked.id, time_point_of(800)));
  EXPECT_FALSE(may_start_attempt(s, c.asked.id, time_point_of(1000)));  // its connection came up too late
}

TEST(Effects, NeverTwoSendsAtOnceNorPastTheLimit) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  EXPECT_FALSE(may_send(s, c, s.engines[0], 10));
  c.out = false;
  EXPECT_TRUE(may_send(s, c, s.engines[0], 10));
  c.sends = s.most_sends;
  EXPECT_FALSE(may_send(s, c, s.engines[0], 10));
}

// Rule 3: drains.
TEST(Drains, NothingNewToAnEngineThatDrainsOrLeft) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  EngineInfo draining;
  draining.engine = EngineId{10};
  draining.state = EngineState::kDraining;
  handle_at(s, 50, EngineListUpdate{true, {draining}});  // a full list: 20 is gone
  EXPECT_FALSE(may_send(s, c, s.engines[0], 50));
  EXPECT_FALSE(may_send(s, c, s.engines[1], 50));
}

TEST(Drains, ANewEngineKeepsThePlacesOfTheOthers) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 1, 0);
  EngineInfo early;
  early.engine = EngineId{5};
  handle_at(s, 50, EngineListUpdate{false, {early}});
  EXPECT_EQ(s.engines[static_cast<size_t>(c.engine)].id, EngineId{20});
}

// Rule 4: cold engines.
State with_a_cold_engine(double gateways) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.warm_up = 10000;
  s.fall_window = 2000;
  s.fall_multiple = 3;
  s.cold_share = 0.3;
  s.gateways = gateways;
  s.engines[0].cold_since = 0;
  return s;
}

TEST(ColdEngine, BudgetHoldsOverTheWindowAndGrowsWithWarmth) {
  State s = with_a_cold_engine(2);
  Engine& e = s.engines[0];
  const Ms most = 3 * 0.3 * 8 * 2000 / 2;  // this gateway's share right after the start
  EXPECT_EQ(cold_room(s, e, most / 4, 0), ColdRoom::kOpen);
  EXPECT_NE(cold_room(s, e, most, 0), ColdRoom::kOpen);
  e.spent.push_back({0, most / 4});
  EXPECT_NE(cold_room(s, e, most / 4, 1), ColdRoom::kOpen);
  e.spent.clear();
  EXPECT_EQ(cold_room(s, e, most, 9000), ColdRoom::kOpen);
  EXPECT_EQ(cold_room(s, e, 100 * most, 10001), ColdRoom::kOpen);
}

TEST(ColdEngine, LargeCommandsOfManyGatewaysComeByTurns) {
  State s = with_a_cold_engine(100);
  int sent = 0;
  for (int gateway = 0; gateway < 100; ++gateway) {
    s.gateway_number = gateway;
    s.engines[0].spent.clear();
    for (Ms now = 0; now < 2000; now += 5) {
      if (cold_room(s, s.engines[0], 2000, now) == ColdRoom::kShut) continue;
      s.engines[0].spent.push_back({now, 2000});
      ++sent;
    }
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent * 2000, 3 * 0.3 * 8 * 2000);  // all gateways, one window
}

TEST(ColdEngine, SmallCommandsOfManyGatewaysComeSeldom) {
  State s = with_a_cold_engine(1000);
  EXPECT_EQ(cold_room(s, s.engines[0], 50, 100), ColdRoom::kOpen);
  s.engines[0].spent.push_back({100, 50});
  EXPECT_EQ(cold_room(s, s.engines[0], 50, 3000), ColdRoom::kShut);
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
      Pcg chance{seed};
      const auto opened = [&](int number, Ms now) {
        State s;
        s.chance.state = (static_cast<uint64_t>(chance.next()) << 32) | chance.next();
        s.settings = {{"cores.", 12.0}};
        for (const Ms work : works) s.profiles.emplace_back().mean_cost = work;
        s.gateways = gateways;
        s.gateway_number = number;
        s.warm_up = kWarm;
        s.fall_window = kWindow;
        s.fall_multiple = 3;
        s.cold_share = 0.4;
        EngineInfo cold;
        cold.engine = EngineId{10};
        cold.started_at = time_point_of(1000);
        handle_at(s, now, EngineListUpdate{true, {cold}});
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
            if (cold_room(s, s.engines[0], works[k], now) == ColdRoom::kShut) continue;
            s.engines[0].spent.push_back({now, works[k]});
            sent.push_back({now, works[k]});
          }
        }
        Ms sum = 0;
        for (const auto& [at, work] : sent)
          if (at > now - kWindow) sum += work;
        const double allowed = 3 * warmth(all[0], all[0].engines[0], now) * 0.85 * 12 * kWindow / mean;
        EXPECT_LE(sum / mean, allowed + 2 * std::sqrt(allowed) + 2)
            << gateways << " gateways, seed " << seed << ", " << now - 1000 << " ms after the start";
        if (HasFailure()) return;
      }
    }
  }
}

TEST(ColdEngine, ANewLifeClearsWhatTheLastOneDid) {
  State s = with_a_cold_engine(1);
  s.engines[0].fails = s.engines[0].tries = 9;
  EngineInfo again;
  again.engine = EngineId{10};
  again.started_at = time_point_of(5000);
  handle_at(s, 6000, EngineListUpdate{false, {again}});
  judge_engines(s, 6000);
  EXPECT_FALSE(s.engines[0].doubted);
}

// Wall clocks are stepped: what a list says of a start is believed where it can be true.
TEST(ColdEngine, AStartThatCannotBeTrueCountsAsOneNow) {
  constexpr Ms kNow = 1e9, kHour = 3.6e6;
  EXPECT_EQ(start_of(kNow - 3000, 0, kNow), kNow - 3000);
  EXPECT_EQ(start_of(kNow - 3000, kNow - 900, kNow), kNow - 3000);  // the list comes late
  EXPECT_EQ(start_of(kNow + kHour, kNow - 900, kNow), kNow);
  EXPECT_EQ(start_of(kNow - kHour, kNow - 900, kNow), kNow);
  EXPECT_EQ(start_of(kNow - kHour, 0, kNow), kNow - kHour);             // a list of the start: it may be old
  EXPECT_EQ(start_of(kNow - 50000, kNow - 60000, kNow), kNow - 50000);  // no news of the list for a minute
}

TEST(ColdEngine, ANewStartIsColdWhateverTheClocksSayAndIsTakenOnce) {
  for (const Ms off : {-3.6e6, 0.0, 3.6e6}) {
    constexpr Ms kNow = 1e9;
    State s = with_a_cold_engine(1);
    s.engines[0].cold_since = -1;
    EngineInfo again;
    again.engine = EngineId{10};
    again.started_at = time_point_of(kNow - 500 + off);
    handle_at(s, kNow, EngineListUpdate{false, {again}, time_point_of(kNow - 900)});
    EXPECT_LT(warmth(s, s.engines[0], kNow), 0.35) << off;
    EXPECT_GE(warmth(s, s.engines[0], kNow), 0.3) << off;
    handle_at(
        s, kNow + 5000,
        EngineListUpdate{false, {again}, time_point_of(kNow + 4500)});  // told again: it did not start anew
    EXPECT_GT(warmth(s, s.engines[0], kNow + 5000), 0.6) << off;
    EXPECT_EQ(warmth(s, s.engines[0], kNow + 11000), 1) << off;
  }
}

TEST(ColdEngine, AnswerAfterLongSilenceCountsAsAStart) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  s.engines[0].silent = true;
  handle_at(s, 9000, settled(c, Outcome::kOk));
  EXPECT_EQ(s.engines[0].cold_since, 9000);
}

// Rule 5: order.
TEST(AttemptRequest, OneAtATimePerKeyInTheOrderTaken) {
  Profile p = profile(Effect::kUniqued);
  p.in_order = true;
  State s = state_with(1, {p});
  Command& first = add_command(s);
  Command& second = add_command(s);
  Command& other = add_command(s);
  first.asked.has_key = second.asked.has_key = other.asked.has_key = true;
  other.asked.key = 7;
  first.ended = first.out = true;  // ended, but its send has not settled
  EXPECT_FALSE(has_turn(s, second, 10));
  EXPECT_TRUE(has_turn(s, other, 10));
  s.live.erase(s.live.begin());
  EXPECT_TRUE(has_turn(s, second, 10));
}

TEST(AttemptRequest, KeyRestsAfterASendThatMayStillRun) {
  Profile p = profile(Effect::kUniqued);
  p.in_order = true;
  State s = state_with(1, {p});
  s.key_rest = 300;
  Command& first = add_command(s);
  first.asked.has_key = true;
  put_out(s, first, 0, 0);
  handle_at(s, 100, settled(first, Outcome::kReset));
  Command next = first;
  next.sends = 0;
  s.live.clear();
  EXPECT_FALSE(has_turn(s, next, 399));
  EXPECT_TRUE(has_turn(s, next, 400));
}

// Rule 6: placement.
TEST(Placement, HeldWhenNoAllowedEngineIsThere) {
  Profile p = profile(Effect::kReplayable);
  p.machines = {"big"};
  State s = state_with(2, {p});
  Command& c = add_command(s);
  s.engines[0].machine = "small";
  s.engines[1].machine = "big";
  EXPECT_EQ(choose(s, c, 10), 1);
  s.engines[1].life = EngineState::kRemoved;
  EXPECT_EQ(choose(s, c, 10), -1);
}

// Rule 7: the budget of further sends.
TEST(Budget, SlidesWithTheWindow) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.budgeted = true;
  s.budget_free = 1;
  s.budget_share = 0.1;
  s.budget_window = 5000;
  for (int i = 0; i < 10; ++i) s.taken.add(100);
  EXPECT_TRUE(budget_left(s, 100));
  s.further.add(100);
  s.further.add(200);
  EXPECT_FALSE(budget_left(s, 5000));  // 2 of 1 + 1
  EXPECT_TRUE(budget_left(s, 5250));   // all have slid out
}

TEST(Budget, OneMomentsSendsCountForEachOther) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  s.budgeted = true;
  s.budget_free = 1;
  s.budget_window = 5000;
  for (int i = 0; i < 3; ++i) add_command(s).sends = 1;
  review_line(s, 10);
  Actions out;
  emit(s, 10, out);
  EXPECT_EQ(count_of(out, Kind::kStartAttempt), 1);
}

// The design.
TEST(Design, HeavyGoesToThePoolAndOverflows) {
  State s = state_with(3, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  c.heavy = true;
  s.engines[2].in_pool = true;
  EXPECT_EQ(choose(s, c, 10), 2);
  s.engines[2].threads_out = 16;
  EXPECT_NE(choose(s, c, 10), 2);
}

TEST(Design, ReadersOfHeldTablesStayOffThePoolWhileALightEngineWorks) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.profiles[0].waits = true;
  Command& c = add_command(s);
  s.engines[1].in_pool = true;
  s.engines[0].threads_out = 30;
  EXPECT_EQ(choose(s, c, 10), -1);
  s.engines[0].doubted = true;
  s.engines[0].trial_at = 20;
  EXPECT_EQ(choose(s, c, 10), 1);
}

TEST(Design, LoadsThatReadersWaitBehindOverflowOnceHeldForLong) {
  State s = state_with(2, {profile(Effect::kReplayable), profile(Effect::kNonReplayable)});
  s.profiles[0].waits = s.profiles[1].is_load = true;
  Command& load = add_command(s, 1);
  load.heavy = s.engines[1].in_pool = true;
  s.engines[1].threads_out = 8;
  s.engines[1].limit = 4;
  EXPECT_EQ(choose(s, load, 500), -1);
  EXPECT_EQ(choose(s, load, 1500), 0);
}

TEST(Design, PoolIsAZoneOfTwoOrElseTheLastById) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  draw_pool(s);
  EXPECT_FALSE(s.engines[1].in_pool);
  EXPECT_TRUE(s.engines[2].in_pool && s.engines[3].in_pool);
  put_in_zone(s, 0, "b");
  put_in_zone(s, 3, "b");
  draw_pool(s);
  EXPECT_TRUE(s.engines[0].in_pool && s.engines[3].in_pool);
  EXPECT_FALSE(s.engines[2].in_pool);
}

// One zone is the dearest case: no zone will do, so each engine's is asked for.
TEST(Design, DrawingThePoolLooksAtEachEngineOnce) {
  for (const int engines : {8, 64, 512, 2200}) {
    State s = state_with(engines, {profile(Effect::kReplayable)});
    draw_pool(s);
    EXPECT_EQ(s.zones_looked_at, static_cast<uint64_t>(engines));
  }
}

TEST(Design, LessPredictedWorkOfTwoDrawn) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  s.engines[0].work_out = 500;
  EXPECT_EQ(choose(s, c, 10), 1);
}

TEST(Design, OverloadedPoolHoldsHeavyThenSheds) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.pool_sends = 20;
  s.pool_bad = 5;
  Command& heavy = add_command(s);
  Command& light = add_command(s);
  heavy.heavy = true;
  review_line(s, 500);
  EXPECT_EQ(heavy.want, Want::kHold);
  EXPECT_EQ(light.want, Want::kOut);
  review_line(s, 1000);
  EXPECT_EQ(heavy.want, Want::kShed);
}

TEST(Design, FailingEngineIsSkipped) {
  State s = state_with(2, {profile(Effect::kReplayable, 2)});
  Command& c = add_command(s);
  s.engines[0].tries = 10;
  s.engines[0].fails = 4;
  judge_engines(s, 0);
  EXPECT_EQ(choose(s, c, 10), 1);
}

// Beside the design.
TEST(Health, SilentEngineIsDoubtedAndItsReplayableWorkWithdrawn) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  judge_engines(s, 5000);
  EXPECT_TRUE(s.engines[0].doubted);
  review_out(s, 5000);
  EXPECT_EQ(c.want, Want::kWithdraw);
}

TEST(Health, AFewGoodTrialsInARowBringAFailingEngineBack) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].fails = s.engines[0].tries = 9;
  judge_engines(s, 0);
  for (int i = 0; i < 4; ++i) {
    Command& c = add_command(s);
    put_out(s, c, 0, 0);
    handle_at(s, 100, settled(c, Outcome::kOk));
  }
  judge_engines(s, 100);
  EXPECT_FALSE(s.engines[0].doubted);
}

TEST(Health, AShortCommandThatTakesLongIsNoSilence) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].mean_cost = 200;
  Command& c = add_command(s);
  c.cost = c.alone = 10;  // an estimate far too low
  put_out(s, c, 0, 0);
  judge_engines(s, 700);
  EXPECT_FALSE(s.engines[0].doubted);
}

TEST(Health, WhatWaitsOwesNoWordNorIsAStallOfTheGatewayASilence) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 5, AttemptStatus{c.asked.id, 0, AttemptStatusKind::kWaiting, 1});
  judge_engines(s, 5000);
  EXPECT_FALSE(s.engines[0].doubted);
  c.waiting = false;
  s.want_bell = 20;
  handle_at(s, 5000, TimerFired{});
  judge_engines(s, 5000);
  EXPECT_FALSE(s.engines[0].doubted);
  judge_engines(s, 6000);
  EXPECT_TRUE(s.engines[0].doubted);
}

TEST(BadPlan, WithdrawnWhenItsPaceIsFarOffThePrediction) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  c.share_done = 0.1;
  c.noted_at = 400;  // 4 s in all against 100 ms
  review_out(s, 400);
  EXPECT_EQ(c.want, Want::kWithdraw);
}

TEST(Tables, ReadersAvoidAnEngineWhereALoadHoldsThem) {
  Profile reader = profile(Effect::kReplayable), load = profile(Effect::kNonReplayable);
  reader.waits = load.is_load = true;
  State s = state_with(2, {reader, load});
  put_out(s, add_command(s, 1), 0, 0);
  Command& c = add_command(s);
  s.slab[0].asked.tables = c.asked.tables = 3;
  EXPECT_EQ(choose(s, c, 10), 1);
  put_out(s, c, 1, 10);
  handle_at(s, 500,
            AttemptStatus{c.asked.id, 0, AttemptStatusKind::kWaiting, 2});  // a load of some other gateway
  review_out(s, 500);
  EXPECT_EQ(c.want, Want::kWithdraw);
  EXPECT_TRUE(stands_still(s, c, s.engines[1]));
}

TEST(Level, CutWhenCrowdedAndRaisedWhenItBinds) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].stretch = 2.5;
  s.engines[0].seen = s.engines[1].seen = 1e6;
  s.engines[1].limit_met = true;
  judge_engines(s, 60000);
  EXPECT_LT(s.engines[0].limit, 16);
  EXPECT_GT(s.engines[1].limit, 16);
}

TEST(BadPlan, SendWithoutAWordIsWithdrawnThoughItsEngineServesOthers) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].mean_cost = 100;
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  s.engines[0].sign_at = 990;
  review_out(s, 1000);
  EXPECT_EQ(c.want, Want::kWithdraw);
  EXPECT_FALSE(s.engines[0].silent);
}

TEST(Level, NotesOfASlowPaceTellACrowdBeforeAnyOutcome) {
  State s = state_with(1, {profile(Effect::kNonReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  for (int i = 1; i < 50; ++i)
    handle_at(s, i * 300.0, AttemptStatus{c.asked.id, 0, AttemptStatusKind::kProgress, i * 0.02});
  judge_engines(s, 15000);
  EXPECT_LT(s.engines[0].limit, 16);
}

TEST(Level, FullEngineIsLeftAloneForAMoment) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 100, settled(c, Outcome::kQueueFull));
  EXPECT_EQ(choose(s, c, 101), -1);
  EXPECT_EQ(choose(s, c, 1000), 0);
}

TEST(Level, ClosedDoorsRestLongerWithEachInARow) {
  for (const Outcome closed : {Outcome::kQueueFull, Outcome::kConnectFailed}) {
    State s = state_with(1, {profile(Effect::kReplayable)});
    Command& c = add_command(s);
    Ms now = 0, rest = 0;
    for (int i = 0; i < 3; ++i) {
      put_out(s, c, 0, now);
      handle_at(s, now, settled(c, closed));
      EXPECT_EQ(choose(s, c, now + 1.5 * rest), -1) << i;
      rest = s.engines[0].closed_until - now;
      now = s.engines[0].closed_until;
      EXPECT_EQ(choose(s, c, now), 0) << i;
    }
    put_out(s, c, 0, now);
    handle_at(s, now, settled(c, Outcome::kFailed));  // it has begun there: the door is open
    EXPECT_EQ(s.engines[0].closed_doors, 0);
  }
}

TEST(Level, WhatWaitsForMemoryGoesElsewhereAndSmallerOnesMayFit) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  c.asked.memory_mb = 100;
  put_out(s, c, 0, 0);
  handle_at(s, 5, AttemptStatus{c.asked.id, 0, AttemptStatusKind::kWaiting, 1});
  review_out(s, 5);
  EXPECT_EQ(c.want, Want::kWithdraw);
  Command& large = add_command(s);
  Command& small = add_command(s);
  large.asked.memory_mb = 200;
  EXPECT_EQ(choose(s, large, 10), -1);
  EXPECT_EQ(choose(s, small, 10), 0);
}

TEST(Level, UniquedThatWaitsForMemoryMovesInsideItsWindowAndRestsBetweenMoves) {
  Profile p = profile(Effect::kUniqued);
  p.repeat_window = 5000;
  State s = state_with(1, {p});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 5, AttemptStatus{c.asked.id, 0, AttemptStatusKind::kWaiting, 1});
  review_out(s, 4900);
  EXPECT_EQ(c.want, Want::kOut);
  c.moves = 2;
  review_out(s, 10);
  EXPECT_EQ(c.want, Want::kWithdraw);
  EXPECT_GT(c.rest_until, 10);
}

TEST(Level, CrowdingShowsWhereAnswersTellNoCost) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].base = 1;
  s.profiles[0].correction = 3;  // learned from crowded latencies
  Admitted t;
  t.id = id_of(1);
  t.profile = 0;
  t.estimated_work = duration_of(50);
  t.deadline = time_point_of(10000);
  handle_at(s, 0, t);
  put_out(s, s.slab[0], 0, 0);
  handle_at(s, 100, settled(s.slab[0], Outcome::kOk));
  EXPECT_GT(s.engines[0].stretch, 1);
}

TEST(Level, TimesTakenAcrossAStallOfTheGatewayTellNothing) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  s.want_bell = 20;
  AttemptFinished r = std::get<AttemptFinished>(settled(c, Outcome::kOk));
  r.elapsed = duration_of(2000);
  handle_at(s, 2000, r);
  EXPECT_EQ(s.engines[0].stretch, 1);
  EXPECT_EQ(s.profiles[0].correction, 0);
}

TEST(Level, YardstickIsGuessedUntilThereIsAReading) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  for (int i = 0; i < 5; ++i) {
    Command& c = add_command(s);
    c.asked.estimate = 100;
    put_out(s, c, 0, 0);
    AttemptFinished r = std::get<AttemptFinished>(settled(c, Outcome::kOk));
    r.elapsed = duration_of(400);
    handle_at(s, 400, r);
  }
  EXPECT_GT(s.profiles[0].base, 1.5);  // towards 4, from 1
  EXPECT_LT(s.profiles[0].base, 4);
}

TEST(Level, CrowdedEnginesTakeNothingThatHasRoomOnOthers) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  for (int i : {0, 1, 2}) s.engines[static_cast<size_t>(i)].crowding = 3;
  for (int i = 0; i < 8; ++i) EXPECT_EQ(choose(s, add_command(s), 10), 3);
  s.engines[3].closed_until = 100;
  EXPECT_GE(choose(s, add_command(s), 10), 0);
}

TEST(Level, StepsUpAreAlikeSoThatSharesEvenOut) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.gateways = 100;
  s.engines[0].limit = 0.1;
  s.engines[1].limit = 4;
  for (Engine& e : s.engines) e.limit_met = true;
  judge_engines(s, 60000);
  EXPECT_NEAR(s.engines[0].limit - 0.1, s.engines[1].limit - 4, 1e-9);
  EXPECT_GT(s.engines[1].limit, 4);
}

TEST(Level, OneBadStayIsRememberedWhereLittleElseIsKnown) {
  State s = state_with(2, {profile(Effect::kReplayable, 4)});
  Command& c = add_command(s);
  put_out(s, c, 0, 0);
  handle_at(s, 3200,
            AttemptStatus{c.asked.id, 0, AttemptStatusKind::kProgress, 0.8});  // far off its time alone
  judge_engines(s, 3200);
  EXPECT_GT(s.engines[0].crowding, s.engines[1].crowding + 0.3);
}

TEST(Level, SmallSharesOfManyEnginesHoldTogether) {
  State s = state_with(4, {profile(Effect::kReplayable)});
  for (Engine& e : s.engines) e.limit = 0.2;
  put_out(s, add_command(s), 0, 0);
  EXPECT_EQ(choose(s, add_command(s), 10), -1);
  s.engines[3].limit = 2;
  EXPECT_GE(choose(s, add_command(s), 10), 0);
}

// Of the threads of 300 gateways that each run one command whenever they may, no more than the levels hold as
// a mean: of what each runs past its share it waits out the rest.
TEST(Level, WhatRanPastAShareIsWaitedFor) {
  State s = state_with(2, {profile(Effect::kReplayable, 4), profile(Effect::kReplayable)});
  for (Engine& e : s.engines) e.limit = 0.5;  // one thread in all, four are run at once
  Command& first = add_command(s);
  Ms ran = 0, all = 0;
  count_debts(s, 0);
  for (Ms now = 0; now < 40000; now += 20) {
    const bool out = s.engines[0].sends_out + s.engines[1].sends_out > 0;
    ran += out ? 4 * 20 : 0;
    all += 20;
    if (out && now - first.sent_at >= 200) handle_at(s, now, settled(first, Outcome::kFailed));
    count_debts(s, now);
    const int engine = first.out ? -1 : choose(s, first, now);
    if (engine >= 0) put_out(s, first, engine, now), first.sends = 1;
    if (s.debts[0] > 0) {
      EXPECT_GE(choose(s, add_command(s, 1), now), 0);
    }  // short ones do not wait
    s.slab.resize(1);
    s.live.resize(1);
  }
  EXPECT_NEAR(ran / all, 1, 0.15);
}

TEST(Level, ShortCommandsDoNotSitOutALongOne) {
  State s = state_with(4, {profile(Effect::kReplayable), profile(Effect::kReplayable, 4)});
  for (Engine& e : s.engines) e.limit = 0.2;
  put_out(s, add_command(s, 1), 0, 0);
  EXPECT_EQ(choose(s, add_command(s, 1), 10), -1);
  EXPECT_GE(choose(s, add_command(s), 10), 0);
}

TEST(Level, EngineWithFewOutcomesIsJudgedByItsKin) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.kin[0].stretch = 3;
  s.engines[1].seen = 1e6;
  judge_engines(s, 60000);
  EXPECT_LT(s.engines[0].limit, 16);
  EXPECT_EQ(s.engines[1].limit, 16);
}

TEST(Terms, GrantCoversMostOfWhatIsNeeded) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.profiles[0].grant = 1;
  for (int i = 0; i < 400; ++i) {
    Command& c = add_command(s);
    c.asked.memory_mb = 100;
    put_out(s, c, 0, 0);
    AttemptFinished r = std::get<AttemptFinished>(settled(c, Outcome::kOk));
    r.memory_mb = i % 10 == 0 ? 190 : 110;  // one in ten needs far more
    handle_at(s, 100, r);
    s.live.clear();
    s.slab.clear();
  }
  EXPECT_GT(s.profiles[0].grant, 1.6);
}

TEST(Slab, PlacesAreUsedAgain) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Admitted t;
  t.profile = 0;
  t.deadline = time_point_of(10000);
  for (int i = 0; i < 5; ++i) {
    t.id = id_of(i);
    handle_at(s, i, t);
    Actions out;
    decide(s, time_point_of(i), out);
    handle_at(s, i, settled(s.slab[0], Outcome::kOk));
    decide(s, time_point_of(i), out);
  }
  EXPECT_EQ(s.slab.size(), 1u);
}

TEST(ShutdownStarted, NoCommandOutlastsItsGateway) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  s.engines[0].life = EngineState::kRemoved;
  add_command(s);
  handle_at(s, 0, ShutdownStarted{time_point_of(500)});
  Actions actions;
  decide(s, time_point_of(495), actions);
  EXPECT_EQ(count_of(actions, Action::Kind::kShedCommand), 1);
}

TEST(Engines, TheGoneAreForgottenOnceNoCommandRefersToThem) {
  State s = state_with(1, {profile(Effect::kReplayable)});
  Command& c = add_command(s);
  for (uint32_t id = 1; id <= 6; ++id) engine_of(s, EngineId{id}).life = EngineState::kRemoved;
  put_out(s, c, 6, 0);  // on the one that is ready, behind those
  c.risked_on = 2;
  forget_gone(s);
  ASSERT_EQ(s.engines.size(), 2u);
  EXPECT_EQ(s.engines[static_cast<size_t>(c.engine)].id, EngineId{10});
  EXPECT_EQ(s.engines[static_cast<size_t>(c.risked_on)].id, EngineId{3});
}

TEST(Line, WhatMayRunAnywhereLeavesRoomToWhatIsBound) {
  State s = state_with(2, {profile(Effect::kReplayable, 4), profile(Effect::kReplayable, 2)});
  s.profiles[0].machines = {"big"};
  s.machines = {"", "big"};
  s.kin.resize(4);
  s.engines[1].machine = "big";
  s.engines[1].kind = 1;
  for (Engine& e : s.engines) {
    e.limit = 4;
    e.threads_out = e.sends_out = 2;
  }
  s.engines[0].threads_out = 4;  // full
  Command& bound = add_command(s);
  add_command(s, 1).cost = 1000;  // worth less for its work
  review_line(s, 0);
  EXPECT_EQ(s.slab[1].want, Want::kHold);
  s.engines[1].threads_out = 0;
  review_line(s, 0);
  EXPECT_EQ(bound.want_engine, 1);
}

// Where a gateway's share is less than one command something is always awaited: all short commands of all
// gateways would crowd the few machines that nothing is bound to.
TEST(Line, ShortCommandsLeaveAwaitedMachinesOnlyWhereTheShareHoldsOne) {
  State s = state_with(2, {profile(Effect::kReplayable)});
  s.engines[0].awaited = true;
  s.engines[1].work_out = 1e6;
  Command& c = add_command(s);
  EXPECT_EQ(choose(s, c, 0), 1);
  for (Engine& e : s.engines) e.limit = 0.5;
  EXPECT_EQ(choose(s, c, 0), 0);
}

}  // namespace
}  // namespace firvalve
