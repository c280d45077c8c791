// Steps of the wall clock under the real program (docs/incidents/wall-clock-steps.md): all that it measures
// are spans, and spans go by the monotonic clock.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>

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
    std::string config = engines_.config(address_);
    const std::string one = R"("try_limit":1,)";
    start(config.replace(config.find(one), one.size(), fmt::format(R"("try_limit":{},)", attempts)));
  }
  int calls(const std::string& call) {
    return engines_.engine(0).calls(call) + engines_.engine(1).calls(call);
  }
  std::string draining(int engine) {
    return standin::listing(engines_.name_of(engine), engines_.engine(engine).address(), "DRAINING");
  }
  // The bus goes to another address, as a new configuration says; what it tells from then on comes from
  // there.
  void move_bus(const standin::Bus& to) {
    std::string config = config_;
    const std::string from = engines_.bus().address();
    process_->rewrite(config.replace(config.find(from), from.size(), to.address()));
    process_->signal(SIGHUP);
  }

  static constexpr int kFirstId = 1000;
  SteppedClock clock_;
  standin::Fleet engines_{2};
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
  standin::Bus moved(engines_.host());
  move_bus(moved);
  moved.announce(draining(0));
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  ::usleep(200000);  // it has read the list by now
  for (int id = 2; id < 22; ++id) EXPECT_TRUE(has(ask(command(id, "select after")), R"("result")"));
  EXPECT_EQ(engines_.engine(0).runs("select after"), 0);
  EXPECT_EQ(engines_.engine(1).runs("select after"), 20);
}

}  // namespace
}  // namespace firvalve
