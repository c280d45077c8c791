// Seeded trouble with the wall clock, in real processes over loopback: gateways whose clocks are stepped by
// seconds or an hour at any time, interrupted waits, new configurations that move the bus, engines that begin
// to drain. The verdict comes from what clients and engines saw, never from the gateways' logs.
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "gateway/gateway_fixture.h"
#include "gateway/stepped_clock.h"
#include "soon.h"

namespace firvalve {
namespace {

constexpr Ms kRun = 3000;         // of the load
constexpr Ms kDrainGrace = 1500;  // for the move of the bus and the reading of the list
constexpr int kEngines = 4, kGateways = 2;
constexpr int kTimeout = 4000;    // ms, of each command
constexpr Ms kAnswerSlack = 500;  // past a command's time

// One gateway with its clock and the one client that it has.
struct FaultyGateway {
  SteppedClock clock;
  std::string address = fakes::free_address();
  std::unique_ptr<fakes::Process> process;
  StreamSocket client;
  std::string held;            // bytes read of the next answer
  std::map<int, int> answers;  // by command
};

struct SentCommand {
  std::string statement;
  Ms at = 0;
};

class ClockFaults : public testing::TestWithParam<unsigned> {
 protected:
  void SetUp() override {
    for (int i = 0; i < kGateways; ++i) start_gateway();
  }

  void start_gateway() {
    FaultyGateway& gateway = *gateways_.emplace_back(std::make_unique<FaultyGateway>());
    gateway.process = std::make_unique<fakes::Process>(
        FIRVALVE_PROGRAM, config_of(gateway, engines_.bus().address()), std::vector<std::string>{},
        std::string(), fakes::Process::Ends::kWithItsStarter, gateway.clock.environment());
    ASSERT_TRUE(fakes::Process::listens(gateway.address));
    gateway.client.connect(SocketAddress(gateway.address));
  }

  // Three attempts a command: a second copy is made where the gateway believes that one is due.
  std::string config_of(const FaultyGateway& gateway, const std::string& bus) {
    const std::string config =
        with(engines_.config(gateway.address), R"("try_limit":1,)", R"("try_limit":3,)");
    return with(config, engines_.bus().address(), bus);
  }

  int draw(int below) { return static_cast<int>(chance_() % static_cast<unsigned>(below)); }

  void send_command(FaultyGateway& gateway) {
    const int id = ++last_id_;
    SentCommand& sent = sent_[id];
    sent.statement = fmt::format("select {} /*! delay={} */", id, draw(5) * 25);
    sent.at = monotonic_ms();
    const char* const profile = draw(3) == 0 ? "load" : "lookup";
    send_message(gateway.client, command(id, sent.statement, kTimeout, profile));
  }

  void step_clock(FaultyGateway& gateway) {
    constexpr Ms kSteps[] = {-3600e3, -20000, -3000, -500, 500, 3000, 20000, 3600e3};
    const Ms by = kSteps[draw(std::size(kSteps))];
    draw(3) == 0 ? gateway.clock.interrupt_waits(1, by) : gateway.clock.step(by);
  }

  // All that has come for its client by now.
  void read_answers(FaultyGateway& gateway) {
    while (gateway.client.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      char bytes[65536];
      const int got = gateway.client.receiveBytes(bytes, sizeof bytes);
      if (got <= 0) return;
      gateway.held.append(bytes, static_cast<size_t>(got));
      const std::string mark = R"("id":)";
      size_t end = 0;
      for (size_t at = gateway.held.find(mark); at != std::string::npos; at = gateway.held.find(mark, at)) {
        at += mark.size();
        const size_t comma = gateway.held.find(',', at);
        if (comma == std::string::npos) break;
        ++gateway.answers[std::stoi(gateway.held.substr(at))];
        end = comma;
      }
      gateway.held.erase(0, end);
    }
  }

  void move_bus_and_drain(int engine) {
    moved_ = std::make_unique<fakes::FakeEventBus>(engines_.host());
    moved_->announce(fakes::listing(engines_.name_of(engine), engines_.engine(engine).address(), "DRAINING"));
    for (const auto& gateway : gateways_) {
      gateway->process->rewrite(config_of(*gateway, moved_->address()));
      gateway->process->signal(SIGHUP);
    }
  }

  void play() {
    const Ms began = monotonic_ms();
    const int drains = draw(kEngines);
    for (Ms now = began; now < began + kRun; now = monotonic_ms()) {
      for (const auto& gateway : gateways_) {
        send_command(*gateway);
        if (draw(6) == 0) step_clock(*gateway);
        read_answers(*gateway);
      }
      if (!moved_ && now > began + kRun / 4) {
        move_bus_and_drain(drains);
        told_at_ = now;
      }
      ::usleep(20000);
    }
    drained_ = drains;
  }

  size_t answered() {
    size_t all = 0;
    for (const auto& gateway : gateways_) {
      read_answers(*gateway);
      all += gateway->answers.size();
    }
    return all;
  }

  fakes::FakeDeployment engines_{kEngines};
  std::unique_ptr<fakes::FakeEventBus> moved_;
  std::vector<std::unique_ptr<FaultyGateway>> gateways_;
  std::mt19937 chance_{GetParam()};
  std::map<int, SentCommand> sent_;
  int last_id_ = 0, drained_ = 0;
  Ms told_at_ = 0;
};

TEST_P(ClockFaults, EachCommandRunsOnceNowhereElseAndIsAnsweredInTime) {
  play();
  const Ms last_at = monotonic_ms();
  EXPECT_TRUE(soon([&] { return answered() == sent_.size(); }));
  EXPECT_LT(monotonic_ms() - last_at, kTimeout + kAnswerSlack);
  for (const auto& gateway : gateways_)
    for (const auto& [id, times] : gateway->answers) EXPECT_EQ(times, 1) << "command " << id;
  for (const auto& [id, sent] : sent_) {
    EXPECT_EQ(engines_.runs(sent.statement), 1) << "command " << id;
    if (sent.at < told_at_ + kDrainGrace) continue;
    EXPECT_EQ(engines_.engine(drained_).runs(sent.statement), 0) << "command " << id << ", while it drains";
  }
  for (const auto& gateway : gateways_) {
    gateway->process->signal(SIGTERM);
    const Ms ends_at = monotonic_ms();
    step_clock(*gateway);
    EXPECT_EQ(gateway->process->wait(), 0);
    EXPECT_LT(monotonic_ms() - ends_at, 3000);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ClockFaults, testing::Range(1u, 6u));

}  // namespace
}  // namespace firvalve
