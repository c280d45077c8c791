// Steps of the wall clock under the real program (docs/incidents/wall-clock-steps.md): all that it measures
// are spans, and spans go by the monotonic clock.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

#include "base/monotonic_clock.h"
#include "gateway/gateway_fixture.h"
#include "gateway/stepped_clock.h"
#include "soon.h"

namespace firvalve {
namespace {

constexpr Ms kHour = 3600 * 1000.0;

class WallClock : public Gateway {
 protected:
  void SetUp() override {
    environment_ = clock_.environment();
    start_with_attempts(3);
    ask(command(kFirstId, "select first"));  // it serves
  }
  // Two engines, and so many attempts a command.
  void start_with_attempts(int attempts) {
    start(with(engines_.config(address_), R"("try_limit":1,)", fmt::format(R"("try_limit":{},)", attempts)));
  }
  int calls(const std::string& call) {
    return engines_.engine(0).calls(call) + engines_.engine(1).calls(call);
  }
  std::string draining(int engine) {
    return fakes::listing(engines_.name_of(engine), engines_.engine(engine).address(), "DRAINING");
  }
  // The bus goes to another address, as a new configuration says; what it tells from then on comes from
  // there.
  void move_bus(const fakes::FakeEventBus& to) {
    process_->rewrite(with(config_, engines_.bus().address(), to.address()));
    process_->signal(SIGHUP);
  }

  static constexpr int kFirstId = 1000;
  SteppedClock clock_;
  fakes::FakeDeployment engines_{2};
};

// The incident: after a step forward what runs is taken for lost and sent a second time while it runs on;
// after one back the bus is not followed to its new address, and commands go to engines that drain.
TEST_F(WallClock, StepsMakeNoSecondCopiesAndNoSendsToDrainingEngines) {
  StreamSocket client = connect();
  const std::string slow = "select 1 /*! delay=250 */";  // too short to be taken for a bad plan
  send(client, command(1, slow, 8000, "report"));
  ASSERT_TRUE(soon([&] { return engines_.runs(slow) == 1; }));
  clock_.step(3000);
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("result")"));
  EXPECT_EQ(engines_.runs(slow), 1);
  EXPECT_EQ(calls("DELETE"), 0);

  clock_.step(-kHour);
  fakes::FakeEventBus moved(engines_.host());
  move_bus(moved);
  moved.announce(draining(0));
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  ::usleep(200000);  // it has read the list by now
  for (int id = 2; id < 22; ++id) EXPECT_TRUE(has(ask(command(id, "select after")), R"("result")"));
  EXPECT_EQ(engines_.engine(0).runs("select after"), 0);
  EXPECT_EQ(engines_.engine(1).runs("select after"), 20);
}

TEST_F(WallClock, ACommandEndsWithItsClientsTimeAfterAStepBack) {
  StreamSocket client = connect();
  send(client, command(1, "insert 1 /*! silent */", 800, "load"));
  ASSERT_TRUE(soon([&] { return calls("POST /v1/store") == 2; }));
  clock_.step(-kHour);
  const Ms began = monotonic_ms();
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("error")"));
  EXPECT_LT(monotonic_ms() - began, 1200);
}

TEST_F(WallClock, ALostBusIsAskedAgainAfterAStepBack) {
  clock_.step(-kHour);
  engines_.bus().say_first("junk\n");  // at its next connection
  fakes::FakeEventBus moved(engines_.host());
  moved.say_first("junk\n");
  move_bus(moved);
  EXPECT_TRUE(soon([&] { return moved.asked_from().size() >= 2; }));
}

TEST_F(WallClock, TheExitIsInTimeAfterAStep) {
  for (const Ms by : {-kHour, kHour}) {
    StreamSocket client = connect();
    send(client, command(1, "insert 1 /*! delay=600 */", 4000, "load"));
    const int posts = calls("POST /v1/store");
    ASSERT_TRUE(soon([&] { return calls("POST /v1/store") >= posts; }));
    process_->signal(SIGTERM);
    ::usleep(100000);
    clock_.step(by);
    std::string held;
    EXPECT_TRUE(has(read_message(client, held), R"("result")")) << by;
    const Ms began = monotonic_ms();
    EXPECT_EQ(process_->wait(), 0);
    EXPECT_LT(monotonic_ms() - began, 3000);
    start_with_attempts(3);
    ask(command(kFirstId, "select first"));
  }
}

// A step during a wait that is interrupted, as by a stop and a continue: nothing else wakes the process,
// since neither its engine nor the bus says anything.
TEST_F(WallClock, AStepWithinAnInterruptedWaitDoesNotLengthenIt) {
  start(with(engines_.config(address_), engines_.bus().address(), fakes::free_address()));
  StreamSocket client = connect();
  send(client, command(1, "insert 1 /*! silent */", 1500, "load"));
  ASSERT_TRUE(soon([&] { return engines_.runs("insert 1 /*! silent */") == 1; }));
  const Ms began = monotonic_ms();
  clock_.interrupt_waits(5, -kHour);
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("error")"));
  EXPECT_LT(monotonic_ms() - began, 1800);
}

}  // namespace
}  // namespace firvalve
