// Tests the request scheduler in virtual time: the test delivers the events and inspects the actions.
#include "client/request_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace firvalve::client {
namespace {

constexpr TimePoint at(Ms ms) { return time_point_of(ms); }
constexpr CallId call_id(uint64_t number) { return CallId{number}; }

struct RequestSchedulerTest : testing::Test {
  SchedulerOptions options = [] {
    SchedulerOptions options;
    options.seed = 7;
    options.retry_share = 1;
    options.sends_retry_markers = false;
    return options;
  }();
  std::unique_ptr<RequestScheduler> scheduler;
  Ms now = 1000;
  Actions all;  // actions since the start or the last clear()

  void open(size_t gateways = 1) {
    options.gateways = gateways;
    scheduler = std::make_unique<RequestScheduler>(options);
  }
  Actions step(Ms time) {
    now = time;
    Actions actions;
    scheduler->decide(at(now), actions);
    all.insert(all.end(), actions.begin(), actions.end());
    return actions;
  }
  Actions step_when_due() { return step(to_ms(scheduler->next_due().value())); }
  template <class T>
  static const T* find(const Actions& actions) {
    for (const Action& action : actions)
      if (const T* const found = std::get_if<T>(&action)) return found;
    return nullptr;
  }
  template <class T>
  static int count(const Actions& actions) {
    return static_cast<int>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<T>(action);
    }));
  }
  void start(uint64_t number, bool replayable = true, Ms timeout = 2000, const char* profile = "lookup") {
    scheduler->start_call(at(now), call_id(number), {profile, replayable, at(now + timeout), std::nullopt});
  }
  void start_at_gateway(uint64_t number, GatewayIndex only, Ms timeout) {
    scheduler->start_call(at(now), call_id(number), {"page", true, at(now + timeout), only});
  }
  void connected(Ms time, ConnectionId connection) { scheduler->handle_connected(at(time), connection); }
  void lose(Ms time, ConnectionId connection, LossCause cause, const std::set<RequestId>& unsent = {}) {
    scheduler->handle_connection_lost(at(time), connection, cause, unsent);
  }
  // Starts a call, connects if needed, and returns the attempt in flight.
  SendAttempt send(uint64_t number, bool replayable = true, Ms timeout = 2000) {
    start(number, replayable, timeout);
    Actions actions = step(now);
    if (const Connect* connect = find<Connect>(actions)) {
      connected(now, connect->connection);
      actions = step(now);
    }
    const SendAttempt* const sent = find<SendAttempt>(actions);
    EXPECT_TRUE(sent);
    return sent ? *sent : SendAttempt{};
  }
  std::optional<CallId> reply(const SendAttempt& sent, Reply::Kind kind,
                              std::optional<Ms> retry_after = std::nullopt) {
    Reply reply;
    reply.kind = kind;
    reply.request = sent.request;
    if (retry_after) reply.retry_after = duration_of(*retry_after);
    return scheduler->handle_reply(at(now), sent.connection, reply);
  }
  void answer_heartbeat(const SendHeartbeat& asked, bool reads_retry_markers = false) {
    Reply reply;
    reply.kind = Reply::Kind::kHeartbeat;
    reply.request = asked.request;
    reply.is_healthy = true;
    reply.reads_retry_markers = reads_retry_markers;
    scheduler->handle_reply(at(now), asked.connection, reply);
  }
  const EndCall* end_of(uint64_t number) {
    const EndCall* found = nullptr;
    for (const Action& action : all) {
      const EndCall* const end = std::get_if<EndCall>(&action);
      if (!end || end->call != call_id(number)) continue;
      EXPECT_FALSE(found) << "ended twice";
      found = end;
    }
    return found;
  }
};

TEST_F(RequestSchedulerTest, CallConnectsIsSentAndAnsweredOnce) {
  open();
  start(1);
  const Actions actions = step(1000);
  ASSERT_TRUE(find<Connect>(actions));
  EXPECT_FALSE(find<SendAttempt>(actions));
  connected(1300, find<Connect>(actions)->connection);
  const Actions later_actions = step(1300);
  ASSERT_TRUE(find<SendAttempt>(later_actions));
  EXPECT_EQ(find<SendAttempt>(later_actions)->timeout, Duration(1700));  // the time left
  now = 1400;
  EXPECT_EQ(reply(*find<SendAttempt>(later_actions), Reply::Kind::kAnswered), call_id(1));
  EXPECT_EQ(reply(*find<SendAttempt>(later_actions), Reply::Kind::kAnswered),
            std::nullopt);  // a second answer
  step(1400);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kAnswered);
  EXPECT_EQ(scheduler->stats().late_answers, 1u);
}

TEST_F(RequestSchedulerTest, ExpiredCallIsRevokedOnceAndItsLateAnswerDropped) {
  open();
  const SendAttempt sent = send(1);
  const Actions actions = step(3000);
  EXPECT_EQ(count<SendRevoke>(actions), 1);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kExpired);
  EXPECT_TRUE(end_of(1)->may_have_run);
  EXPECT_EQ(reply(sent, Reply::Kind::kAnswered), std::nullopt);
  step(3100);
  EXPECT_EQ(count<SendRevoke>(all), 1);
}

TEST_F(RequestSchedulerTest, CancelledLoadMayHaveRunOnlyIfItWasInFlight) {
  open();
  send(1, false);
  scheduler->cancel_call(at(now), call_id(1));
  start(2, false);
  scheduler->cancel_call(at(now), call_id(2));
  step(1001);
  EXPECT_EQ(end_of(1)->outcome, Outcome::kUnknown);
  EXPECT_TRUE(end_of(1)->was_cancelled);
  EXPECT_EQ(end_of(2)->outcome, Outcome::kExpired);
  EXPECT_FALSE(end_of(2)->may_have_run);
  EXPECT_EQ(count<SendRevoke>(all), 1);
}

TEST_F(RequestSchedulerTest, LoadIsNotRetriedIfItsReplyIsLost) {
  for (const LossCause cause : {LossCause::kClosed, LossCause::kReset, LossCause::kUnreadable}) {
    all.clear();
    now = 1000;
    open();
    const SendAttempt sent = send(1, false);
    lose(1010, sent.connection, cause);
    step(1010);
    step(9000);
    ASSERT_TRUE(end_of(1));
    EXPECT_EQ(end_of(1)->outcome, Outcome::kUnknown);
    EXPECT_TRUE(end_of(1)->may_have_run);
    EXPECT_EQ(count<SendAttempt>(all), 1);
  }
}

TEST_F(RequestSchedulerTest, PartlyWrittenLoadIsRetried) {
  open();
  const SendAttempt sent = send(1, false);
  lose(1010, sent.connection, LossCause::kReset, {sent.request});
  const Actions actions = step(1010);
  ASSERT_TRUE(find<Connect>(actions));
  connected(1020, find<Connect>(actions)->connection);
  EXPECT_TRUE(find<SendAttempt>(step(1020)));
}

TEST_F(RequestSchedulerTest, RetryAfterIsKeptAcrossAGatewayRestart) {
  open();
  const SendAttempt sent = send(1, false, 5000);
  reply(sent, Reply::Kind::kRefused, 1000);
  EXPECT_FALSE(find<SendAttempt>(step(1001)));
  lose(1100, sent.connection, LossCause::kReset);
  EXPECT_FALSE(find<SendAttempt>(step(1100)));
  EXPECT_FALSE(find<SendAttempt>(step(1999)));
  // After a random delay behind the Retry-After time.
  Actions actions;
  for (Ms time = 2000; time <= 2600 && !find<Connect>(actions); time += 10) actions = step(time);
  ASSERT_TRUE(find<Connect>(actions));
  connected(now, find<Connect>(actions)->connection);
  ASSERT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, CallIsRefusedAtOnceIfRetryAfterExceedsItsDeadline) {
  open();
  const SendAttempt sent = send(1, true, 900);
  reply(sent, Reply::Kind::kRefused, 60000);
  step(1001);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kRefused);
  EXPECT_NEAR(to_ms(end_of(1)->retry_after.value()), 30000, 5);  // cut to max_retry_after
  start(2, true, 900);
  step(1001);
  ASSERT_TRUE(end_of(2));
  EXPECT_EQ(end_of(2)->outcome, Outcome::kRefused);
  EXPECT_EQ(end_of(2)->attempts, 0);
  start(3, true, 900, "report");  // the Retry-After does not apply to other profiles
  EXPECT_TRUE(find<SendAttempt>(step(1002)));
}

TEST_F(RequestSchedulerTest, RefusedCallIsRetriedAtAnotherGateway) {
  open(2);
  const SendAttempt sent = send(1, true, 900);
  reply(sent, Reply::Kind::kRefused, 60000);
  step(1001);
  Actions actions = step(1200);
  EXPECT_FALSE(end_of(1));
  for (const Action& action : Actions(all))
    if (const Connect* const connect = std::get_if<Connect>(&action)) connected(1200, connect->connection);
  step(1200);
  EXPECT_EQ(scheduler->stats().attempts, 2u);
  const auto latest = std::find_if(all.rbegin(), all.rend(), [](const Action& action) {
    return std::holds_alternative<SendAttempt>(action);
  });
  EXPECT_NE(std::get<SendAttempt>(*latest).gateway, sent.gateway);
}

TEST_F(RequestSchedulerTest, SingleResetReconnectsAtOnceAndAnOutageAfterAProbe) {
  open();
  const SendAttempt sent = send(1);
  lose(1010, sent.connection, LossCause::kReset);
  EXPECT_TRUE(find<Connect>(step(1010)));

  all.clear();
  now = 1000;
  open();
  const SendAttempt again = send(1, true, 20000);
  lose(1010, again.connection, LossCause::kClosed);  // with a call open: the gateway is shutting down
  EXPECT_FALSE(find<Connect>(step(1010)));
  const TimePoint due = scheduler->next_due().value();
  EXPECT_GT(due, at(1010));
  EXPECT_LE(due, at(5010));
  Actions actions;
  for (Ms time = 1010; time < 5100 && !find<Connect>(actions); time += 10) actions = step(time);
  ASSERT_TRUE(find<Connect>(actions));
  // The probe requests a heartbeat before any call is sent.
  connected(now, find<Connect>(actions)->connection);
  const Actions later_actions = step(now);
  ASSERT_TRUE(find<SendHeartbeat>(later_actions));
  EXPECT_FALSE(find<SendAttempt>(later_actions));
  answer_heartbeat(*find<SendHeartbeat>(later_actions));
  EXPECT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, IdleCloseRaceIsRetriedOnceForReplayableCallsOnly) {
  options.retry_share = 0;  // the retry does not count against the budget
  for (const bool replayable : {true, false}) {
    all.clear();
    now = 1000;
    open();
    const SendAttempt first = send(1);
    reply(first, Reply::Kind::kAnswered);
    now = 4000;  // the connection was idle
    const SendAttempt sent = send(2, replayable, 20000);
    EXPECT_EQ(sent.connection, first.connection);
    lose(4030, sent.connection, LossCause::kReset);
    const Actions actions = step(4030);
    if (!replayable) {
      EXPECT_EQ(end_of(2)->outcome,
                Outcome::kUnknown);  // the gateway may have read it before it crashed
      continue;
    }
    ASSERT_TRUE(find<Connect>(actions));
    connected(4031, find<Connect>(actions)->connection);
    const Actions later_actions = step(4031);
    ASSERT_TRUE(find<SendAttempt>(later_actions));
    lose(4050, find<SendAttempt>(later_actions)->connection, LossCause::kReset);
    step(4050);
    EXPECT_EQ(end_of(2)->outcome, Outcome::kUnknown);  // only one such retry, and the budget is 0
  }
}

TEST_F(RequestSchedulerTest, SilentGatewayIsEjectedAndItsReplayableCallsAreRetried) {
  open(2);
  const SendAttempt load = send(1, false, 10000);
  SendAttempt lookup;
  for (uint64_t number = 2; number < 20; ++number) {  // until one shares the load's gateway
    lookup = send(number, true, 10000);
    if (lookup.gateway == load.gateway) break;
  }
  ASSERT_EQ(lookup.gateway, load.gateway);
  const Actions actions = step(2000);
  ASSERT_TRUE(find<SendHeartbeat>(actions));
  step(3000);
  EXPECT_EQ(count<SendRevoke>(all), static_cast<int>(scheduler->stats().revoked));
  EXPECT_GE(scheduler->stats().revoked, 1u);
  EXPECT_EQ(scheduler->stats().outages, 2u);  // neither gateway answered
  EXPECT_FALSE(end_of(1));                    // an answer may still come
  now = 3100;
  EXPECT_EQ(reply(load, Reply::Kind::kAnswered), call_id(1));
}

TEST_F(RequestSchedulerTest, RequestIdsAreNeverReusedOnAConnection) {
  options.max_requests_per_connection = 3;
  open();
  std::set<std::pair<ConnectionId, RequestId>> seen;
  for (uint64_t number = 1; number <= 10; ++number) {
    const SendAttempt sent = send(number);
    EXPECT_LE(sent.request, 3);
    EXPECT_TRUE(seen.insert({sent.connection, sent.request}).second);
    reply(sent, Reply::Kind::kAnswered);
    step(now + 1);
  }
}

TEST_F(RequestSchedulerTest, CallsBeyond32PerConnectionAreQueued) {
  options.max_connections = 1;
  open();
  for (uint64_t number = 1; number <= 40; ++number) start(number);
  const Actions actions = step(1000);
  EXPECT_EQ(count<Connect>(actions), 1);
  connected(1001, find<Connect>(actions)->connection);
  const Actions later_actions = step(1001);
  EXPECT_EQ(count<SendAttempt>(later_actions), 32);
  now = 1002;
  reply(*find<SendAttempt>(later_actions), Reply::Kind::kAnswered);
  EXPECT_EQ(count<SendAttempt>(step(1002)), 1);
}

TEST_F(RequestSchedulerTest, IdleConnectionIsClosedBeforeTheGatewayClosesIt) {
  open();
  const SendAttempt sent = send(1);
  reply(sent, Reply::Kind::kAnswered);
  step(1000);
  EXPECT_EQ(scheduler->next_due(), at(4500));
  EXPECT_TRUE(find<CloseConnection>(step(4500)));
  EXPECT_EQ(scheduler->next_due(), std::nullopt);
}

TEST_F(RequestSchedulerTest, RetryMarkersAreSentOnlyToGatewaysThatReadThem) {
  options.sends_retry_markers = true;
  for (const bool reads : {true, false}) {
    all.clear();
    now = 1000;
    open();
    const SendAttempt sent = send(1);
    const SendHeartbeat* const heartbeat = find<SendHeartbeat>(all);
    ASSERT_TRUE(heartbeat);
    answer_heartbeat(*heartbeat, reads);
    EXPECT_TRUE(sent.first_attempt_id.empty());
    reply(sent, Reply::Kind::kRefused);
    Actions actions;
    for (Ms time = 1000; time < 1100 && !find<SendAttempt>(actions); time += 5) actions = step(time);
    ASSERT_TRUE(find<SendAttempt>(actions));
    EXPECT_EQ(find<SendAttempt>(actions)->first_attempt_id, reads ? sent.attempt_id : "");
    EXPECT_NE(find<SendAttempt>(actions)->attempt_id, sent.attempt_id);
  }
}

TEST_F(RequestSchedulerTest, CallIsSentWhenOneOfAllFailedGatewaysRecovers) {
  open(2);
  start(1, true, 60000);
  Actions actions = step(1000);
  for (int tries = 0; tries < 6; ++tries) {
    for (const Action& action : Actions(actions))
      if (const Connect* const connect = std::get_if<Connect>(&action))
        lose(now, connect->connection, LossCause::kRefused);
    step(now);
    actions = step_when_due();
  }
  EXPECT_FALSE(end_of(1));
  for (int turns = 0; turns < 20 && !find<Connect>(actions); ++turns) actions = step_when_due();
  ASSERT_TRUE(find<Connect>(actions));
  connected(now, find<Connect>(actions)->connection);
  actions = step(now);
  answer_heartbeat(*find<SendHeartbeat>(actions));
  EXPECT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, AnswerWithAnUnusedRequestIdClosesTheConnection) {
  open();
  const SendAttempt sent = send(1, false);
  Reply reply;
  reply.request = 999;
  EXPECT_EQ(scheduler->handle_reply(at(now), sent.connection, reply), std::nullopt);
  EXPECT_TRUE(find<CloseConnection>(step(now)));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kUnknown);
}

TEST_F(RequestSchedulerTest, CallForAnEjectedGatewayDoesNotBlockOthers) {
  open(2);
  start_at_gateway(1, 0, 20000);
  Actions actions = step(now);
  ASSERT_TRUE(find<Connect>(actions));
  EXPECT_EQ(find<Connect>(actions)->gateway, 0);
  lose(now, find<Connect>(actions)->connection, LossCause::kRefused);
  step(now);
  start_at_gateway(2, 1, 20000);
  actions = step(now);
  ASSERT_TRUE(find<Connect>(actions));
  EXPECT_EQ(find<Connect>(actions)->gateway, 1);
  connected(now, find<Connect>(actions)->connection);
  actions = step(now);
  ASSERT_TRUE(find<SendAttempt>(actions));
  EXPECT_EQ(find<SendAttempt>(actions)->call, call_id(2));
}

TEST_F(RequestSchedulerTest, CallsAreThrottledWhileMostAreRefused) {
  options.retry_share = 0;
  open();
  for (uint64_t number = 1; number <= 200; ++number) {
    start(number);
    Actions actions = step(now);
    if (const Connect* connect = find<Connect>(actions)) {
      connected(now, connect->connection);
      actions = step(now);
    }
    if (const SendAttempt* sent = find<SendAttempt>(actions)) reply(*sent, Reply::Kind::kRefused);
    step(now += 10);
  }
  EXPECT_GT(scheduler->stats().refused_without_attempt, 120u);
  EXPECT_LT(scheduler->stats().attempts, 80u);
  EXPECT_EQ(scheduler->stats().refused, 200u);
}

}  // namespace
}  // namespace firvalve::client
