// Checks how limits follow congestion, how rejections back off, and that limits hold on average.
#include "policy/concurrency_limit.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(ConcurrencyLimit, DecreasesWhenCongestedAndIncreasesWhenReached) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.engines[0].concurrency.slowdown = 2.5;
  state.engines[0].concurrency.samples = state.engines[1].concurrency.samples = 1e6;
  state.engines[1].concurrency.is_limit_reached = true;
  review_engines(state, at(60000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
  EXPECT_GT(state.engines[1].concurrency.limit, 16);
}

TEST(ConcurrencyLimit, SlowProgressReportsLowerTheLimitBeforeAnyOutcome) {
  State state = state_with(1, {make_profile(Effect::kNonReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  for (int i = 1; i < 50; ++i)
    handle(state, at(i * 300.0),
           AttemptStatus{command.request.id, 0, AttemptStatusKind::kProgress, i * 0.02});
  review_engines(state, at(15000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
}

TEST(ConcurrencyLimit, BacksOffFromAnEngineWithAFullQueue) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  handle(state, at(100), attempt_finished(command, Outcome::kQueueFull));
  EXPECT_EQ(choose_engine(state, command, at(101)), std::nullopt);
  EXPECT_EQ(choose_engine(state, command, at(1000)), 0u);
}

TEST(ConcurrencyLimit, BackoffGrowsWithConsecutiveRejections) {
  for (const Outcome rejection : {Outcome::kQueueFull, Outcome::kConnectFailed}) {
    State state = state_with(1, {make_profile(Effect::kReplayable)});
    Command& command = add_command(state);
    Ms now = 0, backoff = 0;
    for (int i = 0; i < 3; ++i) {
      start_attempt(state, command, 0, at(now));
      handle(state, at(now), attempt_finished(command, rejection));
      EXPECT_EQ(choose_engine(state, command, at(now + 1.5 * backoff)), std::nullopt) << i;
      backoff = to_ms(state.engines[0].backoff.until) - now;
      now = to_ms(state.engines[0].backoff.until);
      EXPECT_EQ(choose_engine(state, command, at(now)), 0u) << i;
    }
    start_attempt(state, command, 0, at(now));
    // The attempt started, so the engine accepts work.
    handle(state, at(now), attempt_finished(command, Outcome::kFailed));
    EXPECT_EQ(state.engines[0].backoff.consecutive_rejections, 0);
  }
}

TEST(ConcurrencyLimit, DetectsCongestionWithoutReportedCosts) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.profiles[0].costs.baseline = 1;
  state.profiles[0].costs.correction = 3;  // learned from latencies measured under congestion
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

TEST(ConcurrencyLimit, IgnoresTimesMeasuredAcrossAGatewayStall) {
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

TEST(ConcurrencyLimit, IncreasesAreEqualForAllEngines) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.options.gateway_count = 100;
  state.engines[0].concurrency.limit = 0.1;
  state.engines[1].concurrency.limit = 4;
  for (Engine& engine : state.engines) engine.concurrency.is_limit_reached = true;
  review_engines(state, at(60000));
  EXPECT_NEAR(state.engines[0].concurrency.limit - 0.1, state.engines[1].concurrency.limit - 4, 1e-9);
  EXPECT_GT(state.engines[1].concurrency.limit, 4);
}

TEST(ConcurrencyLimit, SingleSlowAttemptCountsOnAnEngineWithFewSamples) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 4)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  // Far slower than predicted.
  handle(state, at(3200), AttemptStatus{command.request.id, 0, AttemptStatusKind::kProgress, 0.8});
  review_engines(state, at(3200));
  EXPECT_GT(state.engines[0].concurrency.congestion, state.engines[1].concurrency.congestion + 0.3);
}

TEST(ConcurrencyLimit, SmallLimitsOfManyEnginesApplyJointly) {
  State state = state_with(4, {make_profile(Effect::kReplayable)});
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.2;
  start_attempt(state, add_command(state), 0, at(0));
  EXPECT_EQ(choose_engine(state, add_command(state), at(10)), std::nullopt);
  state.engines[3].concurrency.limit = 2;
  EXPECT_TRUE(choose_engine(state, add_command(state), at(10)).has_value());
}

// A gateway with a small share of each engine runs one command whenever it may, and waits out the thread-time
// above its limits. The thread-time that it uses must match the limits on average; otherwise many such
// gateways together would congest the engines.
TEST(ConcurrencyLimit, OverrunIsWaitedOut) {
  State state = state_with(2, {make_profile(Effect::kReplayable, 4), make_profile(Effect::kReplayable)});
  // The limits add up to one thread; the command runs four.
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.5;
  Command& first = add_command(state);
  Ms used_thread_time = 0, limit_thread_time = 0;
  update_overrun(state, at(0));
  for (Ms now = 0; now < 40000; now += 20) {
    const bool is_running = state.engines[0].in_flight.attempts + state.engines[1].in_flight.attempts > 0;
    used_thread_time += is_running ? 4 * 20 : 0;
    limit_thread_time += 20;
    if (is_running && now - to_ms(first.attempt.started_at) >= 200)
      handle(state, at(now), attempt_finished(first, Outcome::kFailed));
    update_overrun(state, at(now));
    const std::optional<size_t> engine =
        has_attempt(first) ? std::nullopt : choose_engine(state, first, at(now));
    if (engine) start_attempt(state, first, *engine, at(now)), first.attempts = 1;
    // Short commands do not wait out the overrun.
    if (state.concurrency.overrun[0] > Duration{}) {
      EXPECT_TRUE(choose_engine(state, add_command(state, 1), at(now)).has_value());
    }
    state.slots.resize(1);
    state.active_slots.resize(1);
  }
  EXPECT_NEAR(used_thread_time / limit_thread_time, 1, 0.15);
}

TEST(ConcurrencyLimit, ShortCommandsDoNotWaitForALongOne) {
  State state = state_with(4, {make_profile(Effect::kReplayable), make_profile(Effect::kReplayable, 4)});
  for (Engine& engine : state.engines) engine.concurrency.limit = 0.2;
  start_attempt(state, add_command(state, 1), 0, at(0));
  EXPECT_EQ(choose_engine(state, add_command(state, 1), at(10)), std::nullopt);
  EXPECT_TRUE(choose_engine(state, add_command(state), at(10)).has_value());
}

TEST(ConcurrencyLimit, EngineWithFewSamplesIsJudgedByItsGroup) {
  State state = state_with(2, {make_profile(Effect::kReplayable)});
  state.concurrency.groups[0].slowdown = 3;
  state.engines[1].concurrency.samples = 1e6;
  review_engines(state, at(60000));
  EXPECT_LT(state.engines[0].concurrency.limit, 16);
  EXPECT_EQ(state.engines[1].concurrency.limit, 16);
}

}  // namespace
}  // namespace firvalve
