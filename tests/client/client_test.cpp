// The library over loopback sockets against a scripted gateway: the failures that a client meets, each
// caused.
#include "client/client.h"

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <future>
#include <thread>

#include "fakes/fake_gateway.h"
#include "soon.h"

namespace firvalve::client {
namespace {

struct ClientTest : testing::Test {
  fakes::FakeHost host;
  fakes::FakeGateway gateway{host};

  Options options() {
    Options o;
    o.gateways = {gateway.address()};
    o.seed = 11;
    o.retry_share = 1;
    o.spread_ms = o.max_spread_ms = 0;  // an outage costs these tests no time
    return o;
  }
  static Command lookup(const std::string& statement, double timeout = 10000) {
    Command c;
    c.profile = "lookup";
    c.statement = statement;
    c.timeout_ms = timeout;
    c.effect = Effect::kReplayable;
    return c;
  }
  static Command load(const std::string& statement, double timeout = 10000) {
    Command c = lookup(statement, timeout);
    c.profile = "load";
    c.effect = Effect::kNonReplayable;
    return c;
  }
};

TEST_F(ClientTest, RowsComeWholeAndTheTimeoutToldIsWhatIsLeft) {
  Client client(options());
  const Result r = client.call(lookup("select 1 /*! rows=2 pages=2 */"));
  EXPECT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_EQ(std::count(r.rows.begin(), r.rows.end(), '\n'), 4);
  ASSERT_EQ(gateway.heard().size(), 1u);
  EXPECT_LE(gateway.heard()[0].timeout, 10000);
  EXPECT_GT(gateway.heard()[0].timeout, 5000);
}

TEST_F(ClientTest, ALoadWhoseReplyIsLostAfterItRanIsNotSentAgain) {
  Client client(options());
  const std::string statement = "insert 1 /*! reset=10 */";
  const Result r = client.call(load(statement));
  EXPECT_EQ(r.outcome, Outcome::kUnknown);
  EXPECT_TRUE(r.may_have_run);
  EXPECT_EQ(gateway.heard(statement), 1);
}

TEST_F(ClientTest, ALoadThatNoGatewayHeardDidNotRun) {
  Client client(options());
  gateway.kill();
  const Result r = client.call(load("insert 1", 300));
  EXPECT_FALSE(r.may_have_run);
  EXPECT_EQ(r.attempts, 0);
  gateway.come_back();
  EXPECT_EQ(client.call(load("insert 1")).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard("insert 1"), 1);
}

// The peer reads nothing, so that the last of many messages stay in the client; then it resets. What was not
// wholly handed over is proved not to have run; of the rest nothing is known.
TEST_F(ClientTest, OfHalfWrittenLoadsThoseNotHandedOverAreProvedNotToHaveRun) {
  Poco::Net::ServerSocket deaf;
  deaf.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  deaf.setReceiveBufferSize(4096);
  deaf.listen(8);
  Options o = options();
  o.gateways = {deaf.address().toString()};
  o.max_connections = 1;
  o.max_attempts = 1;
  o.send_retry_markers = false;
  Client client(o);
  std::atomic<int> unrun = 0, unknown = 0;
  for (int i = 0; i < 32; ++i)
    client.send(load(std::string(kMaxStatementBytes, 'x')), [&](const Result& r) {
      ++(r.outcome == Outcome::kRefused && !r.may_have_run ? unrun : unknown);
    });
  Poco::Net::StreamSocket peer = deaf.acceptConnection();
  deaf.close();
  ASSERT_TRUE(soon([&] { return client.stats().attempts == 32; }));
  peer.setLinger(true, 0);
  peer.close();
  EXPECT_TRUE(soon([&] { return unrun + unknown == 32; }));
  EXPECT_GT(unrun, 0);
  EXPECT_GT(unknown, 0);
}

TEST_F(ClientTest, AGatewayThatRestartsBetweenARefusalAndTheRetryGetsItAfterTheHoldoff) {
  Client client(options());
  const std::string statement = "insert 1 /*! answer=shed holdoff=300 times=1 */";
  const Handle handle = client.send(load(statement));
  ASSERT_TRUE(soon([&] { return gateway.heard(statement) == 1; }));
  gateway.kill();
  gateway.come_back();
  const Result r = handle.wait();
  EXPECT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_EQ(r.attempts, 2);
  const auto heard = gateway.heard();
  ASSERT_EQ(heard.size(), 2u);
  EXPECT_GE(heard[1].at - heard[0].at, 300);
}

TEST_F(ClientTest, AGatewayThatAcceptsAndNeverAnswersIsLeftForOneThatDoes) {
  fakes::FakeGateway other(host);
  gateway.set_mute(true);
  Options o = options();
  o.gateways = {gateway.address(), other.address()};
  o.silence_timeout_ms = 100;
  o.spread_ms = o.max_spread_ms = 60000;
  Client client(o);
  int calls = 0;
  EXPECT_TRUE(soon([&] {
    EXPECT_EQ(client.call(lookup("select " + std::to_string(++calls), 5000)).outcome, Outcome::kAnswered);
    return client.stats().outages == 1;
  }));
  const size_t before = gateway.heard().size();
  for (int i = 0; i < 50; ++i) EXPECT_EQ(client.call(lookup("select 0", 5000)).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard().size(), before);
}

TEST_F(ClientTest, AnAnswerForACallCancelledAMomentBeforeIsDropped) {
  Client client(options());
  const std::string statement = "select 1 /*! late=150 */";
  Handle handle = client.send(lookup(statement));
  ASSERT_TRUE(soon([&] { return gateway.heard(statement) == 1; }));
  handle.cancel();
  EXPECT_EQ(handle.wait().outcome, Outcome::kExpired);
  EXPECT_TRUE(handle.wait().cancelled);
  EXPECT_TRUE(soon([&] { return client.stats().late_answers == 1; }));
  EXPECT_EQ(gateway.revoked(), 1);
}

TEST_F(ClientTest, ASecondAnswerIsDropped) {
  Client client(options());
  EXPECT_EQ(client.call(lookup("select 1 /*! spoil=twice */")).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(lookup("select 2")).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.stats().late_answers, 1u);
  EXPECT_EQ(client.stats().connects, 1u);
}

TEST_F(ClientTest, AdviceThatIsNoTimeIsNone) {
  Options o = options();
  o.max_attempts = 1;
  Client client(o);
  for (const char* holdoff : {"0", "-5", "\"x\"", "null", "true", "[1]"}) {
    const Result r = client.call(load(std::string("insert 1 /*! answer=shed holdoff=") + holdoff + " */"));
    EXPECT_EQ(r.outcome, Outcome::kRefused) << holdoff;
    EXPECT_EQ(r.retry_after_ms, 0) << holdoff;
  }
  const Result r = client.call(load("insert 1 /*! answer=shed holdoff=1e300 */"));
  EXPECT_EQ(r.outcome, Outcome::kRefused);
  EXPECT_NEAR(r.retry_after_ms, 30000, 100);
}

TEST_F(ClientTest, AnAnswerCutAnywhereIsNoAnswer) {
  Options o = options();
  o.send_retry_markers = false;
  Client client(o);
  int whole = 0;
  for (int at = 0; at < 400 && whole == 0; ++at) {
    const std::string statement = "insert " + std::to_string(at) + " /*! cut=" + std::to_string(at) + " */";
    const Result r = client.call(load(statement));
    if (r.outcome == Outcome::kAnswered)
      whole = at;
    else
      EXPECT_EQ(r.outcome, Outcome::kUnknown) << at;
    EXPECT_EQ(gateway.heard(statement), 1) << at;
  }
  EXPECT_GT(whole, 80);  // the length of the answer: nothing short of it was taken for one
}

TEST_F(ClientTest, AnAnswerOfSixtyMegabytesOrOfJunkEndsItsConnectionAlone) {
  Client client(options());
  EXPECT_EQ(client.call(load("insert 1 /*! spoil=huge */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 2 /*! spoil=junk */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 3 /*! spoil=other */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 4")).outcome, Outcome::kAnswered);
}

TEST_F(ClientTest, ASlowCallbackDelaysNoAnswerAndNoDeadline) {
  Client client(options());
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<int> called = 0;
  client.send(lookup("select 1"), [&](const Result&) { released.wait(), ++called; });
  const Result r = client.call(lookup("select 2"));
  EXPECT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(lookup("select 3 /*! answer=none */", 50)).outcome, Outcome::kExpired);
  EXPECT_EQ(called, 0);
  EXPECT_EQ(client.stats().open, 1u);
  release.set_value();
  EXPECT_TRUE(soon([&] { return called == 1; }));
}

TEST_F(ClientTest, ABlockingCallWorksFromWithinACallback) {
  Client client(options());
  std::promise<Outcome> inner;
  client.send(lookup("select 1"),
              [&](const Result&) { inner.set_value(client.call(lookup("select 2")).outcome); });
  EXPECT_EQ(inner.get_future().get(), Outcome::kAnswered);
}

TEST_F(ClientTest, DestroyedWithCallsOpenEachEndsOnceBeforeItReturns) {
  std::atomic<int> lookups = 0, loads = 0;
  {
    Client client(options());
    for (int i = 0; i < 50; ++i) {
      client.send(lookup("select 1 /*! answer=none */"),
                  [&](const Result& r) { lookups += r.outcome == Outcome::kExpired && r.cancelled; });
      client.send(load("insert 1 /*! answer=none */"), [&](const Result& r) {
        loads += r.cancelled && r.outcome == (r.attempts > 0 ? Outcome::kUnknown : Outcome::kExpired);
      });
    }
    ASSERT_TRUE(soon([&] { return gateway.heard().size() >= 32; }));
  }
  EXPECT_EQ(lookups, 50);
  EXPECT_EQ(loads, 50);
}

TEST_F(ClientTest, DestroyedFromWithinACallbackTheOthersStillEnd) {
  auto client = std::make_unique<Client>(options());
  std::atomic<int> ended = 0;
  std::promise<void> all;
  const auto done = [&](const Result&) {
    if (++ended == 3) all.set_value();
  };
  client->send(lookup("select 1 /*! answer=none */"), done);
  client->send(lookup("select 2 /*! answer=none */"), done);
  client->send(lookup("select 3"), [&](const Result& r) {
    client.reset();
    done(r);
  });
  all.get_future().get();
  EXPECT_EQ(ended, 3);
}

TEST_F(ClientTest, CloseWaitsThenCancelsAndTakesNothingMore) {
  Client client(options());
  const Handle quick = client.send(lookup("select 1 /*! late=50 */"));
  const Handle never = client.send(lookup("select 2 /*! answer=none */"));
  EXPECT_EQ(client.close(300), 1u);
  EXPECT_EQ(quick.wait().outcome, Outcome::kAnswered);
  EXPECT_TRUE(never.wait().cancelled);
  EXPECT_EQ(client.call(lookup("select 3")).outcome, Outcome::kRefused);
  EXPECT_EQ(gateway.heard("select 3"), 0);
}

TEST_F(ClientTest, AHundredClientsComeBackToARestartedGatewayEachAtItsMoment) {
  gateway.set_mute(true);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<Handle> handles;
  for (int i = 0; i < 100; ++i) {
    Options o = options();
    o.seed = static_cast<uint64_t>(i) + 1;
    o.spread_ms = o.max_spread_ms = 1500;
    o.silence_timeout_ms = 20000;
    clients.push_back(std::make_unique<Client>(o));
    handles.push_back(clients.back()->send(lookup("select " + std::to_string(i), 30000)));
  }
  ASSERT_TRUE(soon([&] { return gateway.heard().size() == 100; }));
  const size_t before = gateway.accepted_at().size();
  gateway.kill();
  gateway.set_mute(false);
  gateway.come_back();
  for (const Handle& h : handles) EXPECT_EQ(h.wait().outcome, Outcome::kAnswered);
  auto at = gateway.accepted_at();
  at.erase(at.begin(), at.begin() + static_cast<long>(before));
  ASSERT_GE(at.size(), 100u);
  std::sort(at.begin(), at.end());
  EXPECT_GT(at[94] - at[5], 1000);  // from the 5th to the 95th of a hundred
  std::map<int64_t, int> bins;
  for (const Ms t : at) ++bins[static_cast<int64_t>(std::floor(t / 100))];
  for (const auto& [bin, count] : bins) EXPECT_LE(count, 25) << bin;  // 6.7 in the mean
}

TEST_F(ClientTest, BadInputIsToldBeforeAnythingIsSent) {
  const auto refuses = [&](auto&& change) {
    Options o = options();
    change(o);
    EXPECT_THROW(Client client(o), std::invalid_argument);
  };
  refuses([](Options& o) { o.gateways.clear(); });
  refuses([](Options& o) { o.gateways = {"127.0.0.1"}; });
  refuses([](Options& o) { o.gateways = {"127.0.0.1:x"}; });
  refuses([](Options& o) { o.gateways = {":1"}; });
  refuses([](Options& o) { o.retry_share = 1.5; });
  refuses([](Options& o) { o.retry_share = std::nan(""); });
  refuses([](Options& o) { o.max_connections = 0; });
  Client client(options());
  const auto rejects = [&](auto&& change) {
    Command c = lookup("select 1");
    change(c);
    EXPECT_THROW(client.call(c), std::invalid_argument);
  };
  rejects([](Command& c) { c.profile.clear(); });
  rejects([](Command& c) { c.profile = "heartbeat"; });
  rejects([](Command& c) { c.statement.clear(); });
  rejects([](Command& c) { c.statement.assign(kMaxStatementBytes + 1, 'x'); });
  rejects([](Command& c) { c.timeout_ms = 0; });
  rejects([](Command& c) { c.timeout_ms = -1; });
  rejects([](Command& c) { c.timeout_ms = std::nan(""); });
  rejects([](Command& c) { c.estimate_ms = -1; });
  EXPECT_THROW(Handle().wait(), std::logic_error);
  EXPECT_EQ(client.stats().calls, 0u);
  EXPECT_TRUE(gateway.heard().empty());
}

TEST_F(ClientTest, AProfileOfAnyLettersIsWrittenAsJson) {
  Client client(options());
  Command c = lookup("select 1");
  c.profile = "a\"b\\c\n";
  EXPECT_EQ(client.call(c).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard()[0].profile, c.profile);
}

TEST_F(ClientTest, PingTellsWhatItMet) {
  EXPECT_TRUE(ping(gateway.address(), 5000).healthy);
  gateway.set_healthy(false);
  gateway.set_marks(true);
  const Ping p = ping(gateway.address(), 5000);
  EXPECT_TRUE(p.answered && !p.healthy && p.reads_retry_markers);
  gateway.set_mute(true);
  EXPECT_FALSE(ping(gateway.address(), 50).answered);
  gateway.kill();
  EXPECT_EQ(ping(gateway.address(), 5000).reason, "connection refused");
  EXPECT_THROW(ping("nowhere", 50), std::invalid_argument);
}

}  // namespace
}  // namespace firvalve::client
