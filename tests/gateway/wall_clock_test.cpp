// Steps of the wall clock under the real program (docs/incidents/wall-clock-steps.md). Every time that
// the program measures is a duration, taken from the monotonic clock.
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
    exchange(command_request(kFirstId, "select first"));  // waits until the program serves
  }
  // Starts the program with two engines and the given limit of attempts per command.
  void start_with_attempts(int attempts) {
    start(replace_first(engines_.config(address_), R"("try_limit":1,)",
                        fmt::format(R"("try_limit":{},)", attempts)));
  }
  int calls(const std::string& call) {
    return engines_.engine(0).calls(call) + engines_.engine(1).calls(call);
  }
  std::string draining_listing(int engine) {
    return fakes::listing(engines_.name_of(engine), engines_.engine(engine).address(), "DRAINING");
  }
  // Reloads the program with a configuration that names another address of the event bus.
  void move_bus(const fakes::FakeEventBus& new_bus) {
    process_->rewrite(replace_first(config_, engines_.bus().address(), new_bus.address()));
    process_->signal(SIGHUP);
  }

  static constexpr int kFirstId = 1000;
  SteppedClock clock_;
  fakes::FakeDeployment engines_{2};
};

// Guards against the incident: after a step forward, running attempts were taken for lost and sent a second
// time; after a step back, the program did not reconnect to the moved bus and sent commands to draining
// engines.
TEST_F(WallClock, StepsCauseNoDuplicateAttemptsAndNoSendsToDrainingEngines) {
  StreamSocket client = connect();
  const std::string slow = "select 1 /*! delay=250 */";  // too short to be treated as a bad plan
  send(client, command_request(1, slow, 8000, "report"));
  ASSERT_TRUE(soon([&] { return engines_.runs(slow) == 1; }));
  clock_.step(3000);
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(client, read_buffer), R"("result")"));
  EXPECT_EQ(engines_.runs(slow), 1);
  EXPECT_EQ(calls("DELETE"), 0);

  clock_.step(-kHour);
  fakes::FakeEventBus moved(engines_.host());
  move_bus(moved);
  moved.announce(draining_listing(0));
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  ::usleep(200000);  // time to read the endpoint list
  for (int id = 2; id < 22; ++id)
    EXPECT_TRUE(contains(exchange(command_request(id, "select after")), R"("result")"));
  EXPECT_EQ(engines_.engine(0).runs("select after"), 0);
  EXPECT_EQ(engines_.engine(1).runs("select after"), 20);
}

TEST_F(WallClock, CommandTimesOutInTimeAfterStepBack) {
  StreamSocket client = connect();
  send(client, command_request(1, "insert 1 /*! silent */", 800, "load"));
  ASSERT_TRUE(soon([&] { return calls("POST /v1/store") == 2; }));
  clock_.step(-kHour);
  const Ms started_at = monotonic_ms();
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(client, read_buffer), R"("error")"));
  EXPECT_LT(monotonic_ms() - started_at, 1200);
}

TEST_F(WallClock, ReconnectsToBusAfterStepBack) {
  clock_.step(-kHour);
  engines_.bus().say_first("junk\n");  // on its next connection
  fakes::FakeEventBus moved(engines_.host());
  moved.say_first("junk\n");
  move_bus(moved);
  EXPECT_TRUE(soon([&] { return moved.asked_from().size() >= 2; }));
}

TEST_F(WallClock, ExitsInTimeAfterStep) {
  for (const Ms by : {-kHour, kHour}) {
    StreamSocket client = connect();
    send(client, command_request(1, "insert 1 /*! delay=600 */", 4000, "load"));
    const int posts = calls("POST /v1/store");
    ASSERT_TRUE(soon([&] { return calls("POST /v1/store") >= posts; }));
    process_->signal(SIGTERM);
    ::usleep(100000);
    clock_.step(by);
    std::string read_buffer;
    EXPECT_TRUE(contains(read_message(client, read_buffer), R"("result")")) << by;
    const Ms started_at = monotonic_ms();
    EXPECT_EQ(process_->wait(), 0);
    EXPECT_LT(monotonic_ms() - started_at, 3000);
    start_with_attempts(3);
    exchange(command_request(kFirstId, "select first"));
  }
}

// Steps the clock during a wait that ends with EINTR, as after SIGSTOP and SIGCONT. Nothing else wakes the
// process: its engine is silent and there is no event bus.
TEST_F(WallClock, StepDuringInterruptedWaitDoesNotExtendIt) {
  start(replace_first(engines_.config(address_), engines_.bus().address(), fakes::free_address()));
  StreamSocket client = connect();
  send(client, command_request(1, "insert 1 /*! silent */", 1500, "load"));
  ASSERT_TRUE(soon([&] { return engines_.runs("insert 1 /*! silent */") == 1; }));
  const Ms started_at = monotonic_ms();
  clock_.interrupt_waits(5, -kHour);
  std::string read_buffer;
  EXPECT_TRUE(contains(read_message(client, read_buffer), R"("error")"));
  EXPECT_LT(monotonic_ms() - started_at, 1800);
}

}  // namespace
}  // namespace firvalve
