// Tests the client library over loopback sockets against a scripted gateway that causes the failures a client
// must handle.
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
    Options options;
    options.gateways = {gateway.address()};
    options.seed = 11;
    options.retry_share = 1;
    options.spread_ms = options.max_spread_ms = 0;  // no wait after an outage
    return options;
  }
  static Command lookup(const std::string& statement, double timeout = 10000) {
    Command command;
    command.profile = "lookup";
    command.statement = statement;
    command.timeout_ms = timeout;
    command.effect = Effect::kReplayable;
    return command;
  }
  static Command load(const std::string& statement, double timeout = 10000) {
    Command command = lookup(statement, timeout);
    command.profile = "load";
    command.effect = Effect::kNonReplayable;
    return command;
  }
};

TEST_F(ClientTest, ReturnsAllRowsAndSendsTheTimeLeftAsTimeout) {
  Client client(options());
  const Result result = client.call(lookup("select 1 /*! rows=2 pages=2 */"));
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(std::count(result.rows.begin(), result.rows.end(), '\n'), 4);
  ASSERT_EQ(gateway.heard().size(), 1u);
  EXPECT_LE(gateway.heard()[0].timeout, 10000);
  EXPECT_GT(gateway.heard()[0].timeout, 5000);
}

TEST_F(ClientTest, LoadIsNotRetriedIfItsReplyIsLost) {
  Client client(options());
  const std::string statement = "insert 1 /*! reset=10 */";
  const Result result = client.call(load(statement));
  EXPECT_EQ(result.outcome, Outcome::kUnknown);
  EXPECT_TRUE(result.may_have_run);
  EXPECT_EQ(gateway.heard(statement), 1);
}

TEST_F(ClientTest, LoadThatNoGatewayReceivedHasNotRun) {
  Client client(options());
  gateway.kill();
  const Result result = client.call(load("insert 1", 300));
  EXPECT_FALSE(result.may_have_run);
  EXPECT_EQ(result.attempts, 0);
  gateway.restart();
  EXPECT_EQ(client.call(load("insert 1")).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard("insert 1"), 1);
}

// The peer reads nothing, so the last of the messages stay in the client's buffer; then it resets the
// connection. Loads not completely written cannot have run; the outcome of the others is unknown.
TEST_F(ClientTest, LoadsNotCompletelyWrittenBeforeAResetHaveNotRun) {
  Poco::Net::ServerSocket listener;
  listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  listener.setReceiveBufferSize(4096);
  listener.listen(8);
  Options client_options = options();
  client_options.gateways = {listener.address().toString()};
  client_options.max_connections = 1;
  client_options.max_attempts = 1;
  client_options.send_retry_markers = false;
  Client client(client_options);
  std::atomic<int> not_run = 0, unknown = 0;
  for (int i = 0; i < 32; ++i)
    client.send(load(std::string(kMaxStatementBytes, 'x')), [&](const Result& result) {
      ++(result.outcome == Outcome::kRefused && !result.may_have_run ? not_run : unknown);
    });
  Poco::Net::StreamSocket peer = listener.acceptConnection();
  listener.close();
  ASSERT_TRUE(soon([&] { return client.stats().attempts == 32; }));
  peer.setLinger(true, 0);
  peer.close();
  EXPECT_TRUE(soon([&] { return not_run + unknown == 32; }));
  EXPECT_GT(not_run, 0);
  EXPECT_GT(unknown, 0);
}

TEST_F(ClientTest, RetryAfterIsKeptAcrossAGatewayRestart) {
  Client client(options());
  const std::string statement = "insert 1 /*! answer=shed holdoff=300 times=1 */";
  const Handle handle = client.send(load(statement));
  ASSERT_TRUE(soon([&] { return gateway.heard(statement) == 1; }));
  gateway.kill();
  gateway.restart();
  const Result result = handle.wait();
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.attempts, 2);
  const auto heard = gateway.heard();
  ASSERT_EQ(heard.size(), 2u);
  EXPECT_GE(heard[1].at - heard[0].at, 300);
}

TEST_F(ClientTest, GatewayThatNeverAnswersIsEjected) {
  fakes::FakeGateway other(host);
  gateway.set_mute(true);
  Options client_options = options();
  client_options.gateways = {gateway.address(), other.address()};
  client_options.silence_timeout_ms = 100;
  client_options.spread_ms = client_options.max_spread_ms = 60000;
  Client client(client_options);
  int calls = 0;
  EXPECT_TRUE(soon([&] {
    EXPECT_EQ(client.call(lookup("select " + std::to_string(++calls), 5000)).outcome, Outcome::kAnswered);
    return client.stats().outages == 1;
  }));
  const size_t before = gateway.heard().size();
  for (int i = 0; i < 50; ++i) EXPECT_EQ(client.call(lookup("select 0", 5000)).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard().size(), before);
}

TEST_F(ClientTest, LateAnswerToACancelledCallIsDropped) {
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

TEST_F(ClientTest, DuplicateAnswerIsDropped) {
  Client client(options());
  EXPECT_EQ(client.call(lookup("select 1 /*! spoil=twice */")).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(lookup("select 2")).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.stats().late_answers, 1u);
  EXPECT_EQ(client.stats().connects, 1u);
}

TEST_F(ClientTest, InvalidRetryAfterIsIgnored) {
  Options client_options = options();
  client_options.max_attempts = 1;
  Client client(client_options);
  for (const char* holdoff : {"0", "-5", "\"x\"", "null", "true", "[1]"}) {
    const Result result =
        client.call(load(std::string("insert 1 /*! answer=shed holdoff=") + holdoff + " */"));
    EXPECT_EQ(result.outcome, Outcome::kRefused) << holdoff;
    EXPECT_EQ(result.retry_after_ms, 0) << holdoff;
  }
  const Result result = client.call(load("insert 1 /*! answer=shed holdoff=1e300 */"));
  EXPECT_EQ(result.outcome, Outcome::kRefused);
  EXPECT_NEAR(result.retry_after_ms, 30000, 100);
}

TEST_F(ClientTest, TruncatedAnswerIsNoAnswer) {
  Options client_options = options();
  client_options.send_retry_markers = false;
  Client client(client_options);
  int answer_bytes = 0;
  for (int at = 0; at < 400 && answer_bytes == 0; ++at) {
    const std::string statement = "insert " + std::to_string(at) + " /*! cut=" + std::to_string(at) + " */";
    const Result result = client.call(load(statement));
    if (result.outcome == Outcome::kAnswered)
      answer_bytes = at;
    else
      EXPECT_EQ(result.outcome, Outcome::kUnknown) << at;
    EXPECT_EQ(gateway.heard(statement), 1) << at;
  }
  EXPECT_GT(answer_bytes, 80);  // the length of the complete answer; no shorter prefix was accepted
}

TEST_F(ClientTest, OversizedOrMalformedAnswerClosesOnlyItsConnection) {
  Client client(options());
  EXPECT_EQ(client.call(load("insert 1 /*! spoil=huge */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 2 /*! spoil=junk */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 3 /*! spoil=other */")).outcome, Outcome::kUnknown);
  EXPECT_EQ(client.call(load("insert 4")).outcome, Outcome::kAnswered);
}

TEST_F(ClientTest, SlowCallbackDelaysNoAnswerOrDeadline) {
  Client client(options());
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<int> called = 0;
  client.send(lookup("select 1"), [&](const Result&) { released.wait(), ++called; });
  const Result result = client.call(lookup("select 2"));
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(lookup("select 3 /*! answer=none */", 50)).outcome, Outcome::kExpired);
  EXPECT_EQ(called, 0);
  EXPECT_EQ(client.stats().open, 1u);
  release.set_value();
  EXPECT_TRUE(soon([&] { return called == 1; }));
}

TEST_F(ClientTest, BlockingCallWorksWithinACallback) {
  Client client(options());
  std::promise<Outcome> inner;
  client.send(lookup("select 1"),
              [&](const Result&) { inner.set_value(client.call(lookup("select 2")).outcome); });
  EXPECT_EQ(inner.get_future().get(), Outcome::kAnswered);
}

TEST_F(ClientTest, DestructorEndsEachOpenCallOnce) {
  std::atomic<int> lookups = 0, loads = 0;
  {
    Client client(options());
    for (int i = 0; i < 50; ++i) {
      client.send(lookup("select 1 /*! answer=none */"), [&](const Result& result) {
        lookups += result.outcome == Outcome::kExpired && result.cancelled;
      });
      client.send(load("insert 1 /*! answer=none */"), [&](const Result& result) {
        loads += result.cancelled &&
                 result.outcome == (result.attempts > 0 ? Outcome::kUnknown : Outcome::kExpired);
      });
    }
    ASSERT_TRUE(soon([&] { return gateway.heard().size() >= 32; }));
  }
  EXPECT_EQ(lookups, 50);
  EXPECT_EQ(loads, 50);
}

TEST_F(ClientTest, DestructionWithinACallbackEndsTheOtherCalls) {
  auto client = std::make_unique<Client>(options());
  std::atomic<int> ended = 0;
  std::promise<void> all;
  const auto done = [&](const Result&) {
    if (++ended == 3) all.set_value();
  };
  client->send(lookup("select 1 /*! answer=none */"), done);
  client->send(lookup("select 2 /*! answer=none */"), done);
  client->send(lookup("select 3"), [&](const Result& result) {
    client.reset();
    done(result);
  });
  all.get_future().get();
  EXPECT_EQ(ended, 3);
}

TEST_F(ClientTest, CloseWaitsThenCancelsAndRefusesNewCalls) {
  Client client(options());
  const Handle quick = client.send(lookup("select 1 /*! late=50 */"));
  const Handle never = client.send(lookup("select 2 /*! answer=none */"));
  EXPECT_EQ(client.close(300), 1u);
  EXPECT_EQ(quick.wait().outcome, Outcome::kAnswered);
  EXPECT_TRUE(never.wait().cancelled);
  EXPECT_EQ(client.call(lookup("select 3")).outcome, Outcome::kRefused);
  EXPECT_EQ(gateway.heard("select 3"), 0);
}

TEST_F(ClientTest, ReconnectsAfterARestartAreSpreadOverClients) {
  gateway.set_mute(true);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<Handle> handles;
  for (int i = 0; i < 100; ++i) {
    Options client_options = options();
    client_options.seed = static_cast<uint64_t>(i) + 1;
    client_options.spread_ms = client_options.max_spread_ms = 1500;
    client_options.silence_timeout_ms = 20000;
    clients.push_back(std::make_unique<Client>(client_options));
    handles.push_back(clients.back()->send(lookup("select " + std::to_string(i), 30000)));
  }
  ASSERT_TRUE(soon([&] { return gateway.heard().size() == 100; }));
  const size_t before = gateway.accepted_at().size();
  gateway.kill();
  gateway.set_mute(false);
  gateway.restart();
  for (const Handle& handle : handles) EXPECT_EQ(handle.wait().outcome, Outcome::kAnswered);
  auto at = gateway.accepted_at();
  at.erase(at.begin(), at.begin() + static_cast<long>(before));
  ASSERT_GE(at.size(), 100u);
  std::sort(at.begin(), at.end());
  EXPECT_GT(at[94] - at[5], 1000);  // between the 5th and 95th percentile, in ms
  std::map<int64_t, int> bins;
  for (const Ms accepted_ms : at) ++bins[static_cast<int64_t>(std::floor(accepted_ms / 100))];
  for (const auto& [bin, count] : bins) EXPECT_LE(count, 25) << bin;  // 6.7 on average
}

TEST_F(ClientTest, InvalidInputIsRejectedBeforeAnythingIsSent) {
  const auto expect_invalid_options = [&](auto&& change) {
    Options client_options = options();
    change(client_options);
    EXPECT_THROW(Client client(client_options), std::invalid_argument);
  };
  expect_invalid_options([](Options& client_options) { client_options.gateways.clear(); });
  expect_invalid_options([](Options& client_options) { client_options.gateways = {"127.0.0.1"}; });
  expect_invalid_options([](Options& client_options) { client_options.gateways = {"127.0.0.1:x"}; });
  expect_invalid_options([](Options& client_options) { client_options.gateways = {":1"}; });
  expect_invalid_options([](Options& client_options) { client_options.retry_share = 1.5; });
  expect_invalid_options([](Options& client_options) { client_options.retry_share = std::nan(""); });
  expect_invalid_options([](Options& client_options) { client_options.max_connections = 0; });
  Client client(options());
  const auto expect_invalid_command = [&](auto&& change) {
    Command command = lookup("select 1");
    change(command);
    EXPECT_THROW(client.call(command), std::invalid_argument);
  };
  expect_invalid_command([](Command& command) { command.profile.clear(); });
  expect_invalid_command([](Command& command) { command.profile = "heartbeat"; });
  expect_invalid_command([](Command& command) { command.statement.clear(); });
  expect_invalid_command([](Command& command) { command.statement.assign(kMaxStatementBytes + 1, 'x'); });
  expect_invalid_command([](Command& command) { command.timeout_ms = 0; });
  expect_invalid_command([](Command& command) { command.timeout_ms = -1; });
  expect_invalid_command([](Command& command) { command.timeout_ms = std::nan(""); });
  expect_invalid_command([](Command& command) { command.estimate_ms = -1; });
  EXPECT_THROW(Handle().wait(), std::logic_error);
  EXPECT_EQ(client.stats().calls, 0u);
  EXPECT_TRUE(gateway.heard().empty());
}

TEST_F(ClientTest, ProfileNameIsEscapedAsJson) {
  Client client(options());
  Command command = lookup("select 1");
  command.profile = "a\"b\\c\n";
  EXPECT_EQ(client.call(command).outcome, Outcome::kAnswered);
  EXPECT_EQ(gateway.heard()[0].profile, command.profile);
}

TEST_F(ClientTest, PingReportsTheGatewayState) {
  EXPECT_TRUE(ping(gateway.address(), 5000).healthy);
  gateway.set_healthy(false);
  gateway.set_marks(true);
  const Ping answer = ping(gateway.address(), 5000);
  EXPECT_TRUE(answer.answered && !answer.healthy && answer.reads_retry_markers);
  gateway.set_mute(true);
  EXPECT_FALSE(ping(gateway.address(), 50).answered);
  gateway.kill();
  EXPECT_EQ(ping(gateway.address(), 5000).why, "connection refused");
  EXPECT_THROW(ping("nowhere", 50), std::invalid_argument);
}

}  // namespace
}  // namespace firvalve::client
