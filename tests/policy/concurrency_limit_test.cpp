#include "policy/concurrency_limit.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(ConcurrencyLimit, CutWhenCongestedAndRaisedWhenItBinds) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.engines[0].concurrency.slowdown = 2.5;
  state.engines[0].concurrency.samples = state.engines[1].concurrency.samples = 1e6;
  state.engines[1].concurrency.is_limit_reached = true;
  review_engines(state, at(60000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
  EXPECT_GT(state.engines[1].concurrency.limit, 16);
}

TEST(ConcurrencyLimit, ReportsOfASlowPaceShowCongestionBeforeAnyOutcome) {
  State state = state_with(1, {make_profile(Effect::kNonReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  for (int i = 1; i < 50; ++i)
    handle(state, at(i * 300.0),
           AttemptStatus{command.request.id, 0, AttemptStatusKind::kProgress, i * 0.02});
  review_engines(state, at(15000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
}

TEST(ConcurrencyLimit, EngineWithAFullQueueIsLeftAloneForAMoment) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(100), attempt_finished(command, Outcome::kQueueFull));
  EXPECT_EQ(choose_engine(state, command, at(101)), std::nullopt);
  EXPECT_EQ(choose_engine(state, command, at(1000)), 0u);
}

TEST(ConcurrencyLimit, BackoffGrowsWithEachRejectionInARow) {
  for (const Outcome closed : {Outcome::kQueueFull, Outcome::kConnectFailed}) {
    State state = state_with(1, {make_profile(Effect::kReplayable)});
    Command& command = add_command(state);
    Ms now = 0, rest = 0;
    for (int i = 0; i < 3; ++i) {
      start_attempt(state, command, 0, at(now));
      handle(state, at(now), attempt_finished(command, closed));
      EXPECT_EQ(choose_engine(state, command, at(now + 1.5 * rest)), std::nullopt) << i;
      rest = to_ms(state.engines[0].backoff.until) - now;
      now = to_ms(state.engines[0].backoff.until);
      EXPECT_EQ(choose_engine(state, command, at(now)), 0u) << i;
    }
    start_attempt(state, command, 0, at(now));
    handle(state, at(now), attempt_finished(command, Outcome::kFailed));  // it has started there
    EXPECT_EQ(state.engines[0].backoff.rejections_in_a_row, 0);
  }
}

TEST(ConcurrencyLimit, CongestionShowsWhereAnswersReportNoCost) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.profiles[0].costs.baseline = 1;
  state.profiles[0].costs.correction = 3;  // learned from latencies under congestion
  Admitted admitted;
  admitted.id = id_of(1);
  admitted.profile = 0;
  admitted.estimated_work = span(50);
  admitted.deadline = at(10000);
  handle(state, at(0), admitted);
  start_attempt(state, state.slots[0], 0, at(0));
  handle(state, at(100), attempt_finished(state.slots[0], Outcome::kOk));
  EXPECT_GT(state.engines[0].concurrency.slowdown, 1);
}

TEST(ConcurrencyLimit, TimesTakenAcrossAStallOfTheGatewayTeachNothing) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  state.next_tick_at = at(20);
  AttemptFinished finished = attempt_finished(command, Outcome::kOk);
  finished.elapsed = span(2000);
  handle(state, at(2000), finished);
  EXPECT_EQ(state.engines[0].concurrency.slowdown, 1);
  EXPECT_EQ(state.profiles[0].costs.correction, 0);
}

TEST(ConcurrencyLimit, StepsUpAreAlikeSoThatSharesEvenOut) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.options.gateways = 100;
  state.engines[0].concurrency.limit = 0.1;
  state.engines[1].concurrency.limit = 4;
  for (Engine& engine : state.engines) engine.concurrency.is_limit_reached = true;
  review_engines(state, at(60000));
  EXPECT_NEAR(state.engines[0].concurrency.limit - 0.1, state.engines[1].concurrency.limit - 4, 1e-9);
  EXPECT_GT(state.engines[1].concurrency.limit, 4);
}

TEST(ConcurrencyLimit, OneSlowAttemptIsRememberedWhereLittleElseIsKnown) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 4)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(3200),
         AttemptStatus{command.request.id, 0, AttemptStatusKind::kProgress,
                       0.8});  // far off its predicted runtime
  review_engines(state, at(3200));
  EXPECT_GT(state.engines[0].concurrency.congestion, state.engines[1].concurrency.congestion + 0.3);
}

TEST(ConcurrencyLimit, SmallSharesOfManyEnginesHoldTogether) {
  State state = state_with(4, {make_profile(Effect::kReplayable)});
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.2;
  start_attempt(state, add_command(state), 0, at(0));
  EXPECT_EQ(choose_engine(state, add_command(state), at(10)), std::nullopt);
  state.engines[3].concurrency.limit = 2;
  EXPECT_TRUE(choose_engine(state, add_command(state), at(10)).has_value());
}

// Of the threads of 300 gateways that each run one command whenever they may, no more than the limits hold as
// a mean: of what each runs past its share it waits out the rest.
TEST(ConcurrencyLimit, OverrunOfAShareIsWaitedOut) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 4), make_profile(Effect::kReplayable)});
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.5;  // one thread in all, four run at once
  Command& first = add_command(state);
  Ms ran = 0, all = 0;
  update_overrun(state, at(0));
  for (Ms now = 0; now < 40000; now += 20) {
    const bool is_running = state.engines[0].in_flight.attempts + state.engines[1].in_flight.attempts > 0;
    ran += is_running ? 4 * 20 : 0;
    all += 20;
    if (is_running && now - to_ms(first.attempt.started_at) >= 200)
      handle(state, at(now), attempt_finished(first, Outcome::kFailed));
    update_overrun(state, at(now));
    const std::optional<size_t> engine =
        has_attempt(first) ? std::nullopt : choose_engine(state, first, at(now));
    if (engine) start_attempt(state, first, *engine, at(now)), first.attempts = 1;
    if (state.concurrency.overrun[0] > Duration{}) {
      EXPECT_TRUE(choose_engine(state, add_command(state, 1), at(now)).has_value());
    }  // short ones do not wait
    state.slots.resize(1);
    state.in_hand.resize(1);
  }
  EXPECT_NEAR(ran / all, 1, 0.15);
}

TEST(ConcurrencyLimit, ShortCommandsDoNotWaitOutALongOne) {
  State state = state_with(4, {make_profile(Effect::kReplayable), make_profile(Effect::kReplayable, 4)});
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.2;
  start_attempt(state, add_command(state, 1), 0, at(0));
  EXPECT_EQ(choose_engine(state, add_command(state, 1), at(10)), std::nullopt);
  EXPECT_TRUE(choose_engine(state, add_command(state), at(10)).has_value());
}

TEST(ConcurrencyLimit, EngineWithFewOutcomesIsJudgedByItsGroup) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.concurrency.groups[0].slowdown = 3;
  state.engines[1].concurrency.samples = 1e6;
  review_engines(state, at(60000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
  EXPECT_EQ(state.engines[1].concurrency.limit, 16);
}

}  // namespace
}  // namespace firvalve
