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
  Actions all;  // since the start, or since they were cleared

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
  void start_at(uint64_t number, GatewayIndex only, Ms timeout) {
    scheduler->start_call(at(now), call_id(number), {"page", true, at(now + timeout), only});
  }
  void connected(Ms time, ConnectionId connection) { scheduler->handle_connected(at(time), connection); }
  void lose(Ms time, ConnectionId connection, LossCause cause, const std::set<RequestId>& unsent = {}) {
    scheduler->handle_connection_lost(at(time), connection, cause, unsent);
  }
  // A gateway with a connection that is up, and a call in flight on it.
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

TEST_F(RequestSchedulerTest, ACallConnectsIsSentOnceUpAndAnsweredOnce) {
  open();
  start(1);
  const Actions a = step(1000);
  ASSERT_TRUE(find<Connect>(a));
  EXPECT_FALSE(find<SendAttempt>(a));
  connected(1300, find<Connect>(a)->connection);
  const Actions b = step(1300);
  ASSERT_TRUE(find<SendAttempt>(b));
  EXPECT_EQ(find<SendAttempt>(b)->timeout, Duration(1700));  // what is left
  now = 1400;
  EXPECT_EQ(reply(*find<SendAttempt>(b), Reply::Kind::kAnswered), call_id(1));
  EXPECT_EQ(reply(*find<SendAttempt>(b), Reply::Kind::kAnswered), std::nullopt);  // a second answer
  step(1400);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kAnswered);
  EXPECT_EQ(scheduler->stats().late_answers, 1u);
}

TEST_F(RequestSchedulerTest, AtItsDeadlineACallIsRevokedOnceAndItsLateAnswerIsDropped) {
  open();
  const SendAttempt sent = send(1);
  const Actions a = step(3000);
  EXPECT_EQ(count<SendRevoke>(a), 1);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kExpired);
  EXPECT_TRUE(end_of(1)->may_have_run);
  EXPECT_EQ(reply(sent, Reply::Kind::kAnswered), std::nullopt);
  step(3100);
  EXPECT_EQ(count<SendRevoke>(all), 1);
}

TEST_F(RequestSchedulerTest, ACancelledLoadInFlightMayHaveRunOneThatIsQueuedDidNot) {
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

TEST_F(RequestSchedulerTest, ALoadWhoseReplyIsLostIsNeverRetried) {
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

TEST_F(RequestSchedulerTest, ALoadThatWasHalfWrittenIsRetried) {
  open();
  const SendAttempt sent = send(1, false);
  lose(1010, sent.connection, LossCause::kReset, {sent.request});
  const Actions a = step(1010);
  ASSERT_TRUE(find<Connect>(a));
  connected(1020, find<Connect>(a)->connection);
  EXPECT_TRUE(find<SendAttempt>(step(1020)));
}

TEST_F(RequestSchedulerTest, ARefusedLoadIsRetriedAfterItsRetryAfterEvenAfterARestart) {
  open();
  const SendAttempt sent = send(1, false, 5000);
  reply(sent, Reply::Kind::kRefused, 1000);
  EXPECT_FALSE(find<SendAttempt>(step(1001)));
  lose(1100, sent.connection, LossCause::kReset);
  EXPECT_FALSE(find<SendAttempt>(step(1100)));
  EXPECT_FALSE(find<SendAttempt>(step(1999)));
  // Behind it, at a moment of its own.
  Actions a;
  for (Ms time = 2000; time <= 2600 && !find<Connect>(a); time += 10) a = step(time);
  ASSERT_TRUE(find<Connect>(a));
  connected(now, find<Connect>(a)->connection);
  ASSERT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, ACallThatCannotWaitForTheRetryAfterIsRefusedAtOnce) {
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
  start(3, true, 900, "report");  // another profile is not meant
  EXPECT_TRUE(find<SendAttempt>(step(1002)));
}

TEST_F(RequestSchedulerTest, AfterARefusalAtOneGatewayTheOtherIsUsed) {
  open(2);
  const SendAttempt sent = send(1, true, 900);
  reply(sent, Reply::Kind::kRefused, 60000);
  step(1001);
  Actions a = step(1200);
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

TEST_F(RequestSchedulerTest, OneResetReconnectsAtOnceAnEjectedGatewayIsProbedLater) {
  open();
  const SendAttempt sent = send(1);
  lose(1010, sent.connection, LossCause::kReset);
  EXPECT_TRUE(find<Connect>(step(1010)));

  all.clear();
  now = 1000;
  open();
  const SendAttempt again = send(1, true, 20000);
  lose(1010, again.connection, LossCause::kClosed);  // with a call open: it is ending
  EXPECT_FALSE(find<Connect>(step(1010)));
  const TimePoint due = scheduler->next_due().value();
  EXPECT_GT(due, at(1010));
  EXPECT_LE(due, at(5010));
  Actions a;
  for (Ms time = 1010; time < 5100 && !find<Connect>(a); time += 10) a = step(time);
  ASSERT_TRUE(find<Connect>(a));
  // Tried singly: it is asked for a heartbeat before a call goes there.
  connected(now, find<Connect>(a)->connection);
  const Actions b = step(now);
  ASSERT_TRUE(find<SendHeartbeat>(b));
  EXPECT_FALSE(find<SendAttempt>(b));
  answer_heartbeat(*find<SendHeartbeat>(b));
  EXPECT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, ACallThatCrossesAnIdleCloseIsRetriedOnceUnlessItIsALoad) {
  options.retry_share = 0;  // it counts against no budget
  for (const bool replayable : {true, false}) {
    all.clear();
    now = 1000;
    open();
    const SendAttempt first = send(1);
    reply(first, Reply::Kind::kAnswered);
    now = 4000;  // it rested
    const SendAttempt sent = send(2, replayable, 20000);
    EXPECT_EQ(sent.connection, first.connection);
    lose(4030, sent.connection, LossCause::kReset);
    const Actions a = step(4030);
    if (!replayable) {
      EXPECT_EQ(end_of(2)->outcome,
                Outcome::kUnknown);  // the same is seen of a gateway that read it and died
      continue;
    }
    ASSERT_TRUE(find<Connect>(a));
    connected(4031, find<Connect>(a)->connection);
    const Actions b = step(4031);
    ASSERT_TRUE(find<SendAttempt>(b));
    lose(4050, find<SendAttempt>(b)->connection, LossCause::kReset);
    step(4050);
    EXPECT_EQ(end_of(2)->outcome, Outcome::kUnknown);  // once, and the budget has nothing
  }
}

TEST_F(RequestSchedulerTest, ASilentGatewayIsAskedForAHeartbeatThenEjectedAndItsReplayableCallsMove) {
  open(2);
  const SendAttempt load = send(1, false, 10000);
  SendAttempt lookup;
  for (uint64_t no = 2; no < 20; ++no) {  // one that shares its gateway
    lookup = send(no, true, 10000);
    if (lookup.gateway == load.gateway) break;
  }
  ASSERT_EQ(lookup.gateway, load.gateway);
  const Actions a = step(2000);
  ASSERT_TRUE(find<SendHeartbeat>(a));
  step(3000);
  EXPECT_EQ(count<SendRevoke>(all), static_cast<int>(scheduler->stats().revoked));
  EXPECT_GE(scheduler->stats().revoked, 1u);
  EXPECT_EQ(scheduler->stats().outages, 2u);  // neither said a word
  EXPECT_FALSE(end_of(1));                    // an answer may still come
  now = 3100;
  EXPECT_EQ(reply(load, Reply::Kind::kAnswered), call_id(1));
}

TEST_F(RequestSchedulerTest, RequestIdsAreNeverReusedOnAConnection) {
  options.max_requests_per_connection = 3;
  open();
  std::set<std::pair<ConnectionId, RequestId>> seen;
  for (uint64_t no = 1; no <= 10; ++no) {
    const SendAttempt sent = send(no);
    EXPECT_LE(sent.request, 3);
    EXPECT_TRUE(seen.insert({sent.connection, sent.request}).second);
    reply(sent, Reply::Kind::kAnswered);
    step(now + 1);
  }
}

TEST_F(RequestSchedulerTest, AtMost32CallsAreInFlightOnAConnectionAndTheRestIsQueued) {
  options.max_connections = 1;
  open();
  for (uint64_t no = 1; no <= 40; ++no) start(no);
  const Actions a = step(1000);
  EXPECT_EQ(count<Connect>(a), 1);
  connected(1001, find<Connect>(a)->connection);
  const Actions b = step(1001);
  EXPECT_EQ(count<SendAttempt>(b), 32);
  now = 1002;
  reply(*find<SendAttempt>(b), Reply::Kind::kAnswered);
  EXPECT_EQ(count<SendAttempt>(step(1002)), 1);
}

TEST_F(RequestSchedulerTest, AnIdleConnectionIsClosedBeforeTheGatewayWould) {
  open();
  const SendAttempt sent = send(1);
  reply(sent, Reply::Kind::kAnswered);
  step(1000);
  EXPECT_EQ(scheduler->next_due(), at(4500));
  EXPECT_TRUE(find<CloseConnection>(step(4500)));
  EXPECT_EQ(scheduler->next_due(), std::nullopt);
}

TEST_F(RequestSchedulerTest, RetryMarkersAreSentOnlyToAGatewayThatReadsThem) {
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
    Actions a;
    for (Ms time = 1000; time < 1100 && !find<SendAttempt>(a); time += 5) a = step(time);
    ASSERT_TRUE(find<SendAttempt>(a));
    EXPECT_EQ(find<SendAttempt>(a)->first_attempt_id, reads ? sent.attempt_id : "");
    EXPECT_NE(find<SendAttempt>(a)->attempt_id, sent.attempt_id);
  }
}

TEST_F(RequestSchedulerTest, AllGatewaysAreDownThenOneIsBack) {
  open(2);
  start(1, true, 60000);
  Actions a = step(1000);
  for (int tries = 0; tries < 6; ++tries) {
    for (const Action& action : Actions(a))
      if (const Connect* const connect = std::get_if<Connect>(&action))
        lose(now, connect->connection, LossCause::kRefused);
    step(now);
    a = step_when_due();
  }
  EXPECT_FALSE(end_of(1));
  for (int turns = 0; turns < 20 && !find<Connect>(a); ++turns) a = step_when_due();
  ASSERT_TRUE(find<Connect>(a));
  connected(now, find<Connect>(a)->connection);
  a = step(now);
  answer_heartbeat(*find<SendHeartbeat>(a));
  EXPECT_TRUE(find<SendAttempt>(step(now)));
}

TEST_F(RequestSchedulerTest, AnAnswerWithAnUnknownRequestIdEndsItsConnection) {
  open();
  const SendAttempt sent = send(1, false);
  Reply reply;
  reply.request = 999;
  EXPECT_EQ(scheduler->handle_reply(at(now), sent.connection, reply), std::nullopt);
  EXPECT_TRUE(find<CloseConnection>(step(now)));
  EXPECT_EQ(end_of(1)->outcome, Outcome::kUnknown);
}

TEST_F(RequestSchedulerTest, ACallForAnEjectedGatewayKeepsNoneForAnotherWaiting) {
  open(2);
  start_at(1, 0, 20000);
  Actions a = step(now);
  ASSERT_TRUE(find<Connect>(a));
  EXPECT_EQ(find<Connect>(a)->gateway, 0);
  lose(now, find<Connect>(a)->connection, LossCause::kRefused);
  step(now);
  start_at(2, 1, 20000);
  a = step(now);
  ASSERT_TRUE(find<Connect>(a));
  EXPECT_EQ(find<Connect>(a)->gateway, 1);
  connected(now, find<Connect>(a)->connection);
  a = step(now);
  ASSERT_TRUE(find<SendAttempt>(a));
  EXPECT_EQ(find<SendAttempt>(a)->call, call_id(2));
}

TEST_F(RequestSchedulerTest, WhenMostAreRefusedCallsAreThrottled) {
  options.retry_share = 0;
  open();
  for (uint64_t no = 1; no <= 200; ++no) {
    start(no);
    Actions a = step(now);
    if (const Connect* c = find<Connect>(a)) {
      connected(now, c->connection);
      a = step(now);
    }
    if (const SendAttempt* s = find<SendAttempt>(a)) reply(*s, Reply::Kind::kRefused);
    step(now += 10);
  }
  EXPECT_GT(scheduler->stats().refused_without_attempt, 120u);
  EXPECT_LT(scheduler->stats().attempts, 80u);
  EXPECT_EQ(scheduler->stats().refused, 200u);
}

}  // namespace
}  // namespace firvalve::client
