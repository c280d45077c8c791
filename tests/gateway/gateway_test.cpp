// Tests of the real program over loopback sockets, with fake engines and a fake event bus.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>

#include "gateway/gateway_fixture.h"
#include "gateway/request_text.h"
#include "proto/base64.h"
#include "soon.h"

namespace firvalve {
namespace {

TEST_F(Gateway, AnswersWithAllRowsOfAllPages) {
  std::string rows;
  proto::append_base64(rows, "0\t0\trow 0 of page 0\n1\t0\trow 0 of page 1\n");
  EXPECT_TRUE(contains(exchange(command_request(1, "select * from a_1.b /*! pages=2 */")),
                       R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(
      contains(exchange(command_request(2, "select * from a_1.b /*! pages=2 delay=50 note=share:0.5 */")),
               R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(contains(exchange(R"({"jsonrpc":"2.0","id":3,"method":"heartbeat","params":{}})"),
                       R"("healthy":true)"));
}

TEST_F(Gateway, GarbledEngineResponseFailsCommand) {
  const std::string answer = exchange(command_request(1, "insert 1 /*! spoil=junk */", 1000, "load"));
  EXPECT_TRUE(contains(answer, R"("code":-32000)")) << answer;
}

TEST_F(Gateway, ConnectionResetOrNoiseAfterResponseDoesNotRestartQuery) {
  const std::string answer =
      exchange(command_request(1, "insert 1 /*! reset=0 times=1 reset-next=1 spoil=noise */", 1000, "load"));
  EXPECT_TRUE(contains(answer, R"("code":-32000)")) << answer;  // its engine appends noise to every response
  EXPECT_EQ(engine_.calls("POST"), 1);
  EXPECT_GT(engine_.calls("GET"), 1);
}

TEST_F(Gateway, SilentEngineStillYieldsErrorAnswer) {
  const std::string answer = exchange(command_request(1, "select 1 /*! silent */", 400));
  EXPECT_TRUE(contains(answer, R"("error")")) << answer;
}

TEST_F(Gateway, InvalidRequestGetsErrorAndBrokenFramingClosesOnlyItsConnection) {
  StreamSocket other = connect();
  EXPECT_TRUE(contains(exchange("{}"), R"("code":-32600)"));
  EXPECT_TRUE(contains(exchange(command_request(1, "select 1", 4000, "odd")), R"("code":-32601)"));
  StreamSocket broken = connect();
  broken.sendBytes("Length: 1\r\n\r\n", 13);
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(broken, read_buffer), R"("id":null,"error":{"code":-32700)"));
  EXPECT_EQ(read_message(broken, read_buffer), "");
  send(other, command_request(2, "select 1"));
  EXPECT_TRUE(contains(read_message(other, read_buffer), R"("result")"));
}

TEST_F(Gateway, RevokedCommandIsCancelledAtEngine) {
  StreamSocket client = connect();
  send(client, command_request(1, "select 1 /*! silent */"));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") > 0; }));
  send(client, R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1,"req":"0000000000000001"}})");
  EXPECT_TRUE(soon([&] { return engine_.calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(Gateway, TimedOutCommandIsCancelledAtEngine) {
  EXPECT_TRUE(contains(exchange(command_request(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  EXPECT_TRUE(soon([&] { return engine_.calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(Gateway, NothingIsCancelledWhenSettingsForbidIt) {
  std::string config = deployment_.config(address_);
  const std::string allowed = R"("cancel":true)";
  start(config.replace(config.find(allowed), allowed.size(), R"("cancel":false)"));
  EXPECT_TRUE(contains(exchange(command_request(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  // A DELETE for the first command would have been sent by the time of this answer.
  EXPECT_TRUE(contains(exchange(command_request(2, "select 1")), R"("result")"));
  EXPECT_EQ(engine_.calls("DELETE"), 0);
}

class OneSlot : public Gateway {
 protected:
  void SetUp() override { start(engines_.config(address_)); }
  fakes::FakeDeployment engines_{1, {1, 1e18}};
};

// A query that is not cancelled would occupy the engine's only slot for 2 s, longer than the second client's
// timeout.
TEST_F(OneSlot, TimedOutCommandFreesEngineSlot) {
  EXPECT_TRUE(contains(exchange(command_request(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  EXPECT_TRUE(contains(exchange(command_request(2, "select 1", 1500)), R"("result")"));
}

TEST_F(Gateway, HalfClosedClientGetsItsAnswer) {
  StreamSocket client = connect();
  send(client, command_request(1, "select 1 /*! delay=50 */"));
  client.shutdownSend();
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(client, read_buffer), R"("result")"));
}

TEST_F(Gateway, MalformedBusLineReconnectsFromLastValidEvent) {
  deployment_.bus().say_first("junk\n");
  start(config_);
  ASSERT_TRUE(soon([&] { return deployment_.bus().asked_from().size() >= 2; }));
  deployment_.bus().announce(fakes::listing("s-0000000b", "127.0.0.1:1", "DELETED"));
  EXPECT_TRUE(contains(exchange(command_request(1, "select 1")), R"("result")"));
}

TEST_F(Gateway, AcceptedCommandsAreAnsweredBeforeExit) {
  StreamSocket client = connect();
  send(client, command_request(1, "select 1 /*! silent */", 8000));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") > 0; }));
  process_->signal(SIGTERM);
  EXPECT_TRUE(contains(exchange(command_request(2, "select 1")), R"("id":2)"));
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(client, read_buffer), R"("id":1,"error")"));
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(Gateway, ReloadReconnectsOnlyIfBusAddressChanged) {
  exchange(command_request(1, "select 1"));  // waits until the program serves
  ASSERT_TRUE(soon([&] { return deployment_.bus().asked_from().size() == 1; }));
  fakes::FakeEventBus moved(deployment_.host());
  process_->rewrite("{");
  process_->signal(SIGHUP);  // invalid: the previous configuration stays in force
  EXPECT_TRUE(contains(exchange(command_request(2, "select 1")), R"("result")"));
  process_->rewrite(config_);
  process_->signal(SIGHUP);
  EXPECT_TRUE(contains(exchange(command_request(4, "select 1")), R"("result")"));
  std::string config = config_;
  config.replace(config.find(deployment_.bus().address()), deployment_.bus().address().size(),
                 moved.address());
  process_->rewrite(config);
  process_->signal(SIGHUP);
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  EXPECT_EQ(deployment_.bus().asked_from().size(), 1u);  // no new connection while its address is unchanged
  EXPECT_TRUE(contains(exchange(command_request(3, "select 1")), R"("result")"));
}

TEST_F(Gateway, RepeatedReloadsDoNotDelayBusMigration) {
  exchange(command_request(1, "select 1"));  // waits until the program serves
  ASSERT_TRUE(soon([&] { return deployment_.bus().asked_from().size() == 1; }));
  std::vector<std::unique_ptr<fakes::FakeEventBus>> moved;
  const auto asked = [&] {
    return std::any_of(moved.begin(), moved.end(),
                       [](const auto& bus) { return !bus->asked_from().empty(); });
  };
  constexpr int kConfigurations = 60;  // over 1.2 s; a migration is due within 1 s
  for (int i = 0; i < kConfigurations && !asked(); ++i) {
    moved.push_back(std::make_unique<fakes::FakeEventBus>(deployment_.host()));
    std::string config = config_;
    const std::string from = deployment_.bus().address();
    process_->rewrite(config.replace(config.find(from), from.size(), moved.back()->address()));
    process_->signal(SIGHUP);
    ::usleep(20000);
  }
  EXPECT_TRUE(asked());
}

// Which responses prove that an attempt never ran, and which do not: docs/design.md, "Never ran".
class NeverRan : public Gateway {
 protected:
  void SetUp() override {
    engines_ = std::make_unique<fakes::FakeDeployment>(2);
    std::string config = engines_->config(address_);
    const std::string single_attempt = R"("try_limit":1,)";
    start(config.replace(config.find(single_attempt), single_attempt.size(), R"("try_limit":3,)"));
  }
  fakes::FakeEngine& engine(int i) { return engines_->engine(i); }
  int calls(const std::string& call) { return engine(0).calls(call) + engine(1).calls(call); }
  // Expects the second engine's first call no earlier than 2 s after the first engine's last call: by then
  // the first engine has dropped a query that is no longer polled.
  void expect_second_engine_after_query_expiry() {
    const int first = engine(0).first_call_at() < engine(1).first_call_at() ? 0 : 1;
    EXPECT_GE(engine(1 - first).first_call_at() - engine(first).last_call_at(), 2000);
  }
  std::unique_ptr<fakes::FakeDeployment> engines_;
};

TEST_F(NeverRan, DrainingEngineGetsCancelOnExistingConnection) {
  StreamSocket client = connect();
  send(client, command_request(1, "select 1 /*! delay=1500 refuse */"));
  ASSERT_TRUE(soon([&] { return calls("POST") > 0; }));
  send(client, R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1,"req":"0000000000000001"}})");
  EXPECT_TRUE(soon([&] { return calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(NeverRan, RefusedPollIsNoProofThatQueryEnded) {
  const std::string lookup = "select 1 /*! delay=50 refuse reset=0 times=1 */";
  EXPECT_TRUE(contains(exchange(command_request(1, lookup, 8000)),
                       R"("error")"));  // each engine drains after the start and loses it
  EXPECT_EQ(engines_->runs(lookup), 2);
  expect_second_engine_after_query_expiry();
}

TEST_F(NeverRan, NonReplayableCommandRunsOnceWhenPollIsRefused) {
  const std::string load = "insert 1 /*! delay=50 refuse reset=0 times=1 */";
  const std::string answer = exchange(command_request(1, load, 8000, "load"));
  EXPECT_TRUE(contains(answer, R"("code":-32000)")) << answer;
  EXPECT_EQ(engines_->runs(load), 1);
}

TEST_F(NeverRan, NotBegunCountsOnlyInResponseToStart) {
  for (const int status : {503, 504}) {
    const std::string load = "insert 1 /*! delay=400 ask-status=" + std::to_string(status) + " */";
    const std::string answer = exchange(command_request(status, load, 8000, "load"));
    EXPECT_TRUE(contains(answer, R"("code":-32000)")) << answer;
    EXPECT_EQ(engines_->runs(load), 1);
  }
}

TEST_F(NeverRan, NotBegunAtStartIsRetriedAndThenShed) {
  const std::string full = "insert 1 /*! status=503 */";
  const std::string answer = exchange(command_request(1, full, 1000, "load"));
  EXPECT_TRUE(contains(answer, R"("code":-32001)")) << answer;
  EXPECT_GT(calls("POST"), 1);
}

TEST_F(Gateway, InvalidConfigurationEndsProgram) {
  start("{");
  EXPECT_EQ(process_->wait(), 1);
}

TEST_F(Gateway, MarkedRetryOfRunningCommandSharesItsAnswerAndRunsOnce) {
  const std::string file = process_->config_path() + ".operator";
  std::ofstream(file) << "{clients: 1}";
  start(config_, {"--operator", file});
  EXPECT_EQ(process_->wait(), 1);  // an invalid operator's file is rejected
  std::ofstream(file) << R"({"clients": {"marks": true}, /* on */ })";
  start(config_, {"--operator", file});
  EXPECT_TRUE(
      contains(exchange(R"({"jsonrpc":"2.0","id":3,"method":"heartbeat","params":{}})"), R"("marks":true)"));
  const std::string statement = "insert 1 /*! delay=300 */";
  StreamSocket first = connect(), retry = connect();
  send(first, command_request(1, statement, 4000, "load"));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") == 1; }));
  send(retry, command_request(2, statement, 4000, "load", R"("first":"0000000000000001",)"));
  std::string read_buffer, retry_buffer;
  EXPECT_TRUE(contains(read_message(retry, retry_buffer), R"("id":2,"result")"));
  EXPECT_TRUE(contains(read_message(first, read_buffer), R"("id":1,"result")"));
  EXPECT_EQ(engine_.runs(statement), 1);
  EXPECT_TRUE(contains(exchange(command_request(4, statement, 4000, "load", R"("first":"short",)")),
                       R"("code":-32602)"));
  std::remove(file.c_str());
}

}  // namespace
}  // namespace firvalve
