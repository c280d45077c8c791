// Randomized wall clock faults (seeded) in real gateway processes over loopback: clocks are stepped by up to
// an hour at any time, waits are interrupted, a reload moves the event bus, an engine starts to drain. The
// checks use only what the clients and engines observed, never the gateways' logs.
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

constexpr Ms kLoadDuration = 3000;
constexpr Ms kDrainGrace = 1500;  // time to reconnect to the moved bus and read the endpoint list
constexpr int kEngines = 4, kGateways = 2;
constexpr int kTimeoutMs = 4000;  // of each command
constexpr Ms kAnswerSlack = 500;  // after a command's timeout

// One gateway with its clock and its only client.
struct FaultyGateway {
  SteppedClock clock;
  std::string address = fakes::free_address();
  std::unique_ptr<fakes::Process> process;
  StreamSocket client;
  std::string read_buffer;           // the part of the next answer read so far
  std::map<int, int> answer_counts;  // by command id
};

struct SentCommand {
  std::string statement;
  Ms sent_at = 0;
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

  // Allows three attempts per command, so that a gateway misled by its clock could send a duplicate.
  std::string config_of(const FaultyGateway& gateway, const std::string& bus) {
    const std::string config =
        replace_first(engines_.config(gateway.address), R"("try_limit":1,)", R"("try_limit":3,)");
    return replace_first(config, engines_.bus().address(), bus);
  }

  int random_below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }

  void send_command(FaultyGateway& gateway) {
    const int id = ++last_id_;
    SentCommand& sent = sent_[id];
    sent.statement = fmt::format("select {} /*! delay={} */", id, random_below(5) * 25);
    sent.sent_at = monotonic_ms();
    const char* const profile = random_below(3) == 0 ? "load" : "lookup";
    send_message(gateway.client, command_request(id, sent.statement, kTimeoutMs, profile));
  }

  void step_clock(FaultyGateway& gateway) {
    constexpr Ms kSteps[] = {-3600e3, -20000, -3000, -500, 500, 3000, 20000, 3600e3};
    const Ms by = kSteps[random_below(std::size(kSteps))];
    random_below(3) == 0 ? gateway.clock.interrupt_waits(1, by) : gateway.clock.step(by);
  }

  // Counts all answers that the gateway's client has received so far.
  void read_answers(FaultyGateway& gateway) {
    while (gateway.client.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      char bytes[65536];
      const int got = gateway.client.receiveBytes(bytes, sizeof bytes);
      if (got <= 0) return;
      gateway.read_buffer.append(bytes, static_cast<size_t>(got));
      const std::string id_key = R"("id":)";
      size_t end = 0;
      for (size_t at = gateway.read_buffer.find(id_key); at != std::string::npos;
           at = gateway.read_buffer.find(id_key, at)) {
        at += id_key.size();
        const size_t comma = gateway.read_buffer.find(',', at);
        if (comma == std::string::npos) break;
        ++gateway.answer_counts[std::stoi(gateway.read_buffer.substr(at))];
        end = comma;
      }
      gateway.read_buffer.erase(0, end);
    }
  }

  void move_bus_and_drain(int engine) {
    moved_bus_ = std::make_unique<fakes::FakeEventBus>(engines_.host());
    moved_bus_->announce(
        fakes::listing(engines_.name_of(engine), engines_.engine(engine).address(), "DRAINING"));
    for (const auto& gateway : gateways_) {
      gateway->process->rewrite(config_of(*gateway, moved_bus_->address()));
      gateway->process->signal(SIGHUP);
    }
  }

  void run_load() {
    const Ms started_at = monotonic_ms();
    const int draining_engine = random_below(kEngines);
    for (Ms now = started_at; now < started_at + kLoadDuration; now = monotonic_ms()) {
      for (const auto& gateway : gateways_) {
        send_command(*gateway);
        if (random_below(6) == 0) step_clock(*gateway);
        read_answers(*gateway);
      }
      if (!moved_bus_ && now > started_at + kLoadDuration / 4) {
        move_bus_and_drain(draining_engine);
        drain_announced_at_ = now;
      }
      ::usleep(20000);
    }
    drained_engine_ = draining_engine;
  }

  size_t answered_command_count() {
    size_t count = 0;
    for (const auto& gateway : gateways_) {
      read_answers(*gateway);
      count += gateway->answer_counts.size();
    }
    return count;
  }

  fakes::FakeDeployment engines_{kEngines};
  std::unique_ptr<fakes::FakeEventBus> moved_bus_;
  std::vector<std::unique_ptr<FaultyGateway>> gateways_;
  std::mt19937 random_{GetParam()};
  std::map<int, SentCommand> sent_;
  int last_id_ = 0, drained_engine_ = 0;
  Ms drain_announced_at_ = 0;
};

TEST_P(ClockFaults, EachCommandRunsOnceOnServingEngineAndIsAnsweredInTime) {
  run_load();
  const Ms load_ended_at = monotonic_ms();
  EXPECT_TRUE(soon([&] { return answered_command_count() == sent_.size(); }));
  EXPECT_LT(monotonic_ms() - load_ended_at, kTimeoutMs + kAnswerSlack);
  for (const auto& gateway : gateways_)
    for (const auto& [id, count] : gateway->answer_counts) EXPECT_EQ(count, 1) << "command " << id;
  for (const auto& [id, sent] : sent_) {
    EXPECT_EQ(engines_.runs(sent.statement), 1) << "command " << id;
    if (sent.sent_at < drain_announced_at_ + kDrainGrace) continue;
    EXPECT_EQ(engines_.engine(drained_engine_).runs(sent.statement), 0)
        << "command " << id << ", while its engine drains";
  }
  for (const auto& gateway : gateways_) {
    gateway->process->signal(SIGTERM);
    const Ms signalled_at = monotonic_ms();
    step_clock(*gateway);
    EXPECT_EQ(gateway->process->wait(), 0);
    EXPECT_LT(monotonic_ms() - signalled_at, 3000);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ClockFaults, testing::Range(1u, 6u));

}  // namespace
}  // namespace firvalve
