// The program itself, spoken to over loopback sockets, with stand-ins for the engines and the event bus.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>

#include "gateway/gateway_fixture.h"
#include "gateway/speaking.h"
#include "proto/base64.h"
#include "soon.h"

namespace firvalve {
namespace {

TEST_F(Gateway, AnswersWithAllRowsOfAllPages) {
  std::string rows;
  proto::append_base64(rows, "0\t0\trow 0 of page 0\n1\t0\trow 0 of page 1\n");
  EXPECT_TRUE(has(ask(command(1, "select * from a_1.b /*! pages=2 */")), R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(has(ask(command(2, "select * from a_1.b /*! pages=2 delay=50 note=share:0.5 */")),
                  R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(has(ask(R"({"jsonrpc":"2.0","id":3,"method":"heartbeat","params":{}})"), R"("healthy":true)"));
}

TEST_F(Gateway, FailsWhatItsEngineGarbles) {
  const std::string answer = ask(command(1, "insert 1 /*! spoil=junk */", 1000, "load"));
  EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;
}

TEST_F(Gateway, AResetConnectionOrNoiseBehindAnAnswerCostsNoQuery) {
  const std::string answer =
      ask(command(1, "insert 1 /*! reset=0 times=1 reset-next=1 spoil=noise */", 1000, "load"));
  EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;  // its engine never gives it without noise
  EXPECT_EQ(engine_.calls("POST"), 1);
  EXPECT_GT(engine_.calls("GET"), 1);
}

TEST_F(Gateway, ASilentEngineCostsNoAnswer) {
  const std::string answer = ask(command(1, "select 1 /*! silent */", 400));
  EXPECT_TRUE(has(answer, R"("error")")) << answer;
}

TEST_F(Gateway, BadInputGetsOneErrorAndBrokenFramingEndsItsConnectionAlone) {
  StreamSocket other = connect();
  EXPECT_TRUE(has(ask("{}"), R"("code":-32600)"));
  EXPECT_TRUE(has(ask(command(1, "select 1", 4000, "odd")), R"("code":-32601)"));
  StreamSocket broken = connect();
  broken.sendBytes("Length: 1\r\n\r\n", 13);
  std::string held;
  EXPECT_TRUE(has(read_message(broken, held), R"("id":null,"error":{"code":-32700)"));
  EXPECT_EQ(read_message(broken, held), "");
  send(other, command(2, "select 1"));
  EXPECT_TRUE(has(read_message(other, held), R"("result")"));
}

TEST_F(Gateway, ARevokedCommandIsGivenUpAtItsEngine) {
  StreamSocket client = connect();
  send(client, command(1, "select 1 /*! silent */"));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") > 0; }));
  send(client, R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1,"req":"0000000000000001"}})");
  EXPECT_TRUE(soon([&] { return engine_.calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(Gateway, ACommandWhoseTimeIsOverIsGivenUpAtItsEngine) {
  EXPECT_TRUE(has(ask(command(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  EXPECT_TRUE(soon([&] { return engine_.calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(Gateway, NothingIsGivenUpWhereTheSettingsForbidIt) {
  std::string config = fleet_.config(address_);
  const std::string allowed = R"("cancel":true)";
  start(config.replace(config.find(allowed), allowed.size(), R"("cancel":false)"));
  EXPECT_TRUE(has(ask(command(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  EXPECT_TRUE(has(ask(command(2, "select 1")), R"("result")"));  // what was owed before it has gone out
  EXPECT_EQ(engine_.calls("DELETE"), 0);
}

class OneSlot : public Gateway {
 protected:
  void SetUp() override { start(engines_.config(address_)); }
  fakes::FakeDeployment engines_{1, {1, 1e18}};
};

// A query unasked for would hold the engine's only slot for 2 s: longer than the second client waits.
TEST_F(OneSlot, ACommandWhoseTimeIsOverLeavesItsSlotToTheNext) {
  EXPECT_TRUE(has(ask(command(1, "select 1 /*! delay=9000 */", 400)), R"("error")"));
  EXPECT_TRUE(has(ask(command(2, "select 1", 1500)), R"("result")"));
}

TEST_F(Gateway, AHalfClosedClientStillGetsItsAnswer) {
  StreamSocket client = connect();
  send(client, command(1, "select 1 /*! delay=50 */"));
  client.shutdownSend();
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("result")"));
}

TEST_F(Gateway, AnUnreadableBusLineRenewsTheConnectionFromTheLastGoodEvent) {
  fleet_.bus().say_first("junk\n");
  start(config_);
  ASSERT_TRUE(soon([&] { return fleet_.bus().asked_from().size() >= 2; }));
  fleet_.bus().announce(fakes::listing("s-0000000b", "127.0.0.1:1", "DELETED"));
  EXPECT_TRUE(has(ask(command(1, "select 1")), R"("result")"));
}

TEST_F(Gateway, AtItsEndEverythingTakenIsAnswered) {
  StreamSocket client = connect();
  send(client, command(1, "select 1 /*! silent */", 8000));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") > 0; }));
  process_->signal(SIGTERM);
  EXPECT_TRUE(has(ask(command(2, "select 1")), R"("id":2)"));
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("id":1,"error")"));
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(Gateway, ANewConfigurationMovesTheBusAndItsNumbersGoOn) {
  ask(command(1, "select 1"));  // it is ready
  ASSERT_TRUE(soon([&] { return fleet_.bus().asked_from().size() == 1; }));
  fakes::FakeEventBus moved(fleet_.host());
  process_->rewrite("{");
  process_->signal(SIGHUP);  // cannot be read: the one before stays in force
  EXPECT_TRUE(has(ask(command(2, "select 1")), R"("result")"));
  process_->rewrite(config_);
  process_->signal(SIGHUP);
  EXPECT_TRUE(has(ask(command(4, "select 1")), R"("result")"));
  std::string config = config_;
  config.replace(config.find(fleet_.bus().address()), fleet_.bus().address().size(), moved.address());
  process_->rewrite(config);
  process_->signal(SIGHUP);
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  EXPECT_EQ(fleet_.bus().asked_from().size(), 1u);  // not asked again where its address stayed
  EXPECT_TRUE(has(ask(command(3, "select 1")), R"("result")"));
}

TEST_F(Gateway, ConfigurationsInARowDoNotPutOffTheMoveOfTheBus) {
  ask(command(1, "select 1"));  // it is ready
  ASSERT_TRUE(soon([&] { return fleet_.bus().asked_from().size() == 1; }));
  std::vector<std::unique_ptr<fakes::FakeEventBus>> moved;
  const auto asked = [&] {
    return std::any_of(moved.begin(), moved.end(),
                       [](const auto& bus) { return !bus->asked_from().empty(); });
  };
  constexpr int kConfigurations = 60;  // over 1.2 s; a move is due within one
  for (int i = 0; i < kConfigurations && !asked(); ++i) {
    moved.push_back(std::make_unique<fakes::FakeEventBus>(fleet_.host()));
    std::string config = config_;
    const std::string from = fleet_.bus().address();
    process_->rewrite(config.replace(config.find(from), from.size(), moved.back()->address()));
    process_->signal(SIGHUP);
    ::usleep(20000);
  }
  EXPECT_TRUE(asked());
}

// What proves that a send never ran, and what does not: docs/design.md, "Never ran".
class NeverRan : public Gateway {
 protected:
  void SetUp() override {
    engines_ = std::make_unique<fakes::FakeDeployment>(2);
    std::string config = engines_->config(address_);
    const std::string one = R"("try_limit":1,)";
    start(config.replace(config.find(one), one.size(), R"("try_limit":3,)"));
  }
  fakes::FakeEngine& engine(int i) { return engines_->engine(i); }
  int calls(const std::string& call) { return engine(0).calls(call) + engine(1).calls(call); }
  // Each engine's first call comes only once what the other was asked last has ended by itself unasked.
  void expect_apart() {
    const int first = engine(0).first_call_at() < engine(1).first_call_at() ? 0 : 1;
    EXPECT_GE(engine(1 - first).first_call_at() - engine(first).last_call_at(), 2000);
  }
  std::unique_ptr<fakes::FakeDeployment> engines_;
};

TEST_F(NeverRan, AnEngineThatDrainsIsToldToGiveUpOverAConnectionItHas) {
  StreamSocket client = connect();
  send(client, command(1, "select 1 /*! delay=1500 refuse */"));
  ASSERT_TRUE(soon([&] { return calls("POST") > 0; }));
  send(client, R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1,"req":"0000000000000001"}})");
  EXPECT_TRUE(soon([&] { return calls("DELETE /v1/store/0000000000000001") == 1; }));
}

TEST_F(NeverRan, ARefusalToBeAskedIsNoProofThatTheQueryHasEnded) {
  const std::string lookup = "select 1 /*! delay=50 refuse reset=0 times=1 */";
  EXPECT_TRUE(has(ask(command(1, lookup, 8000)), R"("error")"));  // both lose it: each drains after its start
  EXPECT_EQ(engines_->runs(lookup), 2);
  expect_apart();
}

TEST_F(NeverRan, ANonReplayableCommandRunsOnceWhereTheAskIsRefused) {
  const std::string load = "insert 1 /*! delay=50 refuse reset=0 times=1 */";
  const std::string answer = ask(command(1, load, 8000, "load"));
  EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;
  EXPECT_EQ(engines_->runs(load), 1);
}

TEST_F(NeverRan, TheWordNotBegunCountsOnlyInTheAnswerToTheStart) {
  for (const int status : {503, 504}) {
    const std::string load = "insert 1 /*! delay=400 ask-status=" + std::to_string(status) + " */";
    const std::string answer = ask(command(status, load, 8000, "load"));
    EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;
    EXPECT_EQ(engines_->runs(load), 1);
  }
}

TEST_F(NeverRan, WhatItsStartSaysHasNotBegunMayGoElsewhereAndIsShed) {
  const std::string full = "insert 1 /*! status=503 */";
  const std::string answer = ask(command(1, full, 1000, "load"));
  EXPECT_TRUE(has(answer, R"("code":-32001)")) << answer;
  EXPECT_GT(calls("POST"), 1);
}

TEST_F(Gateway, WithoutAConfigurationItEndsAtOnce) {
  start("{");
  EXPECT_EQ(process_->wait(), 1);
}

TEST_F(Gateway, AMarkedRepeatOfACommandInHandIsAnsweredWithItAndRunsOnce) {
  const std::string file = process_->config_path() + ".operator";
  std::ofstream(file) << "{clients: 1}";
  start(config_, {"--operator", file});
  EXPECT_EQ(process_->wait(), 1);  // a file with a fault is not used
  std::ofstream(file) << R"({"clients": {"marks": true}, /* on */ })";
  start(config_, {"--operator", file});
  EXPECT_TRUE(has(ask(R"({"jsonrpc":"2.0","id":3,"method":"heartbeat","params":{}})"), R"("marks":true)"));
  const std::string statement = "insert 1 /*! delay=300 */";
  StreamSocket first = connect(), again = connect();
  send(first, command(1, statement, 4000, "load"));
  ASSERT_TRUE(soon([&] { return engine_.calls("POST") == 1; }));
  send(again, command(2, statement, 4000, "load", R"("first":"0000000000000001",)"));
  std::string held, held_again;
  EXPECT_TRUE(has(read_message(again, held_again), R"("id":2,"result")"));
  EXPECT_TRUE(has(read_message(first, held), R"("id":1,"result")"));
  EXPECT_EQ(engine_.runs(statement), 1);
  EXPECT_TRUE(has(ask(command(4, statement, 4000, "load", R"("first":"short",)")), R"("code":-32602)"));
  std::remove(file.c_str());
}

}  // namespace
}  // namespace firvalve
