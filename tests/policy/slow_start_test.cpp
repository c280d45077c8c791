// Checks the work budget of engines that warm up, per gateway and over all gateways, and when a warm-up
// starts.
#include "policy/slow_start.h"

#include <array>
#include <cmath>

#include "policy/helpers.h"

namespace firvalve {
namespace {

State state_with_cold_engine(double gateways) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  state.options.slow_start.warm_up = span(10000);
  state.options.slow_start.overload_window = span(2000);
  state.options.slow_start.overload_multiple = 3;
  state.options.slow_start.initial_share = 0.3;
  state.options.gateway_count = gateways;
  state.engines[0].slow_start.started_at = at(0);
  return state;
}

TEST(SlowStart, BudgetLimitsWorkPerWindowAndGrowsDuringWarmUp) {
  State state = state_with_cold_engine(2);
  Engine& engine = state.engines[0];
  const Ms max_work = 3 * 0.3 * 8 * 2000 / 2;  // this gateway's share right after the engine's start
  EXPECT_EQ(slow_start_admission(state, engine, span(max_work / 4), at(0)), SlowStartAdmission::kAllowed);
  EXPECT_NE(slow_start_admission(state, engine, span(max_work), at(0)), SlowStartAdmission::kAllowed);
  engine.slow_start.sent.push_back({at(0), span(max_work / 4)});
  EXPECT_NE(slow_start_admission(state, engine, span(max_work / 4), at(1)), SlowStartAdmission::kAllowed);
  engine.slow_start.sent.clear();
  EXPECT_EQ(slow_start_admission(state, engine, span(max_work), at(9000)), SlowStartAdmission::kAllowed);
  EXPECT_EQ(slow_start_admission(state, engine, span(100 * max_work), at(10001)),
            SlowStartAdmission::kAllowed);
}

TEST(SlowStart, ManyGatewaysSendLargeCommandsInTurns) {
  State state = state_with_cold_engine(100);
  int sent = 0;
  for (int gateway = 0; gateway < 100; ++gateway) {
    state.options.gateway_number = gateway;
    state.engines[0].slow_start.sent.clear();
    for (Ms now = 0; now < 2000; now += 5) {
      if (slow_start_admission(state, state.engines[0], span(2000), at(now)) == SlowStartAdmission::kDenied)
        continue;
      state.engines[0].slow_start.sent.push_back({at(now), span(2000)});
      ++sent;
    }
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent * 2000, 3 * 0.3 * 8 * 2000);  // of all gateways in one window
}

TEST(SlowStart, ManyGatewaysSpaceOutSmallCommands) {
  State state = state_with_cold_engine(1000);
  EXPECT_EQ(slow_start_admission(state, state.engines[0], span(50), at(100)), SlowStartAdmission::kAllowed);
  state.engines[0].slow_start.sent.push_back({at(100), span(50)});
  EXPECT_EQ(slow_start_admission(state, state.engines[0], span(50), at(3000)), SlowStartAdmission::kDenied);
}

// Over all gateways of a cluster: N gateways send commands to an engine that started, at uneven rates, and
// some gateways restart meanwhile. The work that they may send within any window must stay below what the
// settings allow, apart from random variation.
TEST(SlowStart, AllGatewaysTogetherStayWithinTheBudget) {
  constexpr Ms kStep = 20, kWindow = 2000, kWarmUp = 10000;
  const std::array<Ms, 3> works{180, 2800, 5400};
  const std::array<double, 3> shares{0.78, 0.16, 0.06};
  double mean_work = 0;
  for (size_t i = 0; i < works.size(); ++i) mean_work += works[i] * shares[i];
  for (const int gateways : {1, 6, 20, 30, 300, 1024}) {
    for (const uint64_t seed : {1, 2, 3}) {
      Pcg32 random{seed};
      const auto open_gateway = [&](int number, Ms now) {
        State state;
        state.random.state = (static_cast<uint64_t>(random.next()) << 32) | random.next();
        state.settings = {{"cores.", 12.0}};
        for (const Ms work : works) state.profiles.emplace_back().costs.mean_predicted_work = span(work);
        state.options.gateway_count = gateways;
        state.options.gateway_number = number;
        state.options.slow_start.warm_up = span(kWarmUp);
        state.options.slow_start.overload_window = span(kWindow);
        state.options.slow_start.overload_multiple = 3;
        state.options.slow_start.initial_share = 0.4;
        EngineInfo cold;
        cold.engine = EngineId{10};
        cold.started_at = at(1000);
        handle(state, at(now), EngineListUpdate{true, {cold}});
        return state;
      };
      std::vector<State> states;
      for (int i = 0; i < gateways; ++i) states.push_back(open_gateway(i, 1100));
      std::vector<std::pair<Ms, Ms>> sent;
      for (Ms now = 1100; now < 1000 + kWarmUp; now += kStep) {
        for (int i = 0; i < gateways; ++i) {
          if (random.next() % 1000 == 0) states[static_cast<size_t>(i)] = open_gateway(i, now);  // restarted
          for (size_t k = 0; k < works.size(); ++k) {
            // Uneven rates: the busiest gateways always have a command waiting, the quietest hardly ever.
            if (random.next() % static_cast<uint32_t>(1 + i % 7 * 3) > 0) continue;
            State& state = states[static_cast<size_t>(i)];
            if (slow_start_admission(state, state.engines[0], span(works[k]), at(now)) ==
                SlowStartAdmission::kDenied)
              continue;
            state.engines[0].slow_start.sent.push_back({at(now), span(works[k])});
            sent.push_back({now, works[k]});
          }
        }
        Ms window_work = 0;
        for (const auto& [at, work] : sent)
          if (at > now - kWindow) window_work += work;
        const double allowed =
            3 * warm_share(states[0], states[0].engines[0], at(now)) * 0.85 * 12 * kWindow / mean_work;
        EXPECT_LE(window_work / mean_work, allowed + 2 * std::sqrt(allowed) + 2)
            << gateways << " gateways, seed " << seed << ", " << now - 1000 << " ms after the start";
        if (HasFailure()) return;
      }
    }
  }
}

TEST(SlowStart, RestartClearsEarlierFailures) {
  State state = state_with_cold_engine(1);
  state.engines[0].outlier.failures = state.engines[0].outlier.attempts = 9;
  EngineInfo restarted;
  restarted.engine = EngineId{10};
  restarted.started_at = at(5000);
  handle(state, at(6000), EngineListUpdate{false, {restarted}});
  review_engines(state, at(6000));
  EXPECT_FALSE(state.engines[0].outlier.is_ejected);
}

// Wall clocks may be stepped, so a listed start time is used only where it can be true.
TEST(SlowStart, ImpossibleStartTimeIsReplacedByNow) {
  constexpr Ms kNow = 1e9, kHour = 3.6e6;
  EXPECT_EQ(start_time_of(at(kNow - 3000), std::nullopt, at(kNow)), at(kNow - 3000));
  EXPECT_EQ(start_time_of(at(kNow - 3000), at(kNow - 900), at(kNow)),
            at(kNow - 3000));  // the list is delayed
  EXPECT_EQ(start_time_of(at(kNow + kHour), at(kNow - 900), at(kNow)), at(kNow));
  EXPECT_EQ(start_time_of(at(kNow - kHour), at(kNow - 900), at(kNow)), at(kNow));
  EXPECT_EQ(start_time_of(at(kNow - kHour), std::nullopt, at(kNow)),
            at(kNow - kHour));  // no earlier list is known: the engine may be old
  EXPECT_EQ(start_time_of(at(kNow - 50000), at(kNow - 60000), at(kNow)),
            at(kNow - 50000));  // the list was last known to be current a minute ago
}

TEST(SlowStart, RestartStartsWarmUpOnceDespiteClockSkew) {
  for (const Ms clock_skew : {-3.6e6, 0.0, 3.6e6}) {
    constexpr Ms kNow = 1e9;
    State state = state_with_cold_engine(1);
    state.engines[0].slow_start.started_at.reset();
    EngineInfo restarted;
    restarted.engine = EngineId{10};
    restarted.started_at = at(kNow - 500 + clock_skew);
    handle(state, at(kNow), EngineListUpdate{false, {restarted}, at(kNow - 900)});
    EXPECT_LT(warm_share(state, state.engines[0], at(kNow)), 0.35) << clock_skew;
    EXPECT_GE(warm_share(state, state.engines[0], at(kNow)), 0.3) << clock_skew;
    // Listed again with the same start time: no restart.
    handle(state, at(kNow + 5000), EngineListUpdate{false, {restarted}, at(kNow + 4500)});
    EXPECT_GT(warm_share(state, state.engines[0], at(kNow + 5000)), 0.6) << clock_skew;
    EXPECT_EQ(warm_share(state, state.engines[0], at(kNow + 11000)), 1) << clock_skew;
  }
}

TEST(SlowStart, AnswerAfterLongSilenceStartsWarmUp) {
  State state = state_with(1, {make_profile(Effect::kReplayable)});
  Command& command = add_command(state);
  start_attempt(state, command, 0, at(0));
  state.engines[0].outlier.is_unresponsive = true;
  handle(state, at(9000), attempt_finished(command, Outcome::kOk));
  EXPECT_EQ(state.engines[0].slow_start.started_at, at(9000));
}

}  // namespace
}  // namespace firvalve
