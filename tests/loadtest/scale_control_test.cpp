// Tests the control part of the scale run by counts of messages, bytes and connections, never by times.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <set>

#include "cluster/peer_codec.h"
#include "fakes/fake_deployment.h"
#include "fakes/fault_proxy.h"
#include "fakes/process.h"
#include "loadtest/simulated_fleet.h"
#include "simulation/fleet_world.h"
#include "soon.h"

namespace firvalve::loadtest {
namespace {

constexpr Ms kSettleMost = 60000;

// Traffic to a gateway without a lease in ten seconds of virtual time, once the cluster has settled.
simulation::ReceivedTraffic heard_at_rest(uint32_t gateways) {
  simulation::ClusterWorldOptions options;
  options.gateways = gateways;
  options.replicas = 5;
  options.leases = 8;
  options.jobs = options.publishers = options.readers = 0;
  options.lease_duration = 3000;
  options.duration = 10000;
  const std::vector<simulation::ReceivedTraffic> before = simulation::play(options).received;
  options.duration = 20000;
  const std::vector<simulation::ReceivedTraffic> after = simulation::play(options).received;
  std::vector<uint64_t> messages, facts;
  for (size_t i = options.replicas; i < after.size(); ++i) {
    messages.push_back(after[i].messages - before[i].messages);
    facts.push_back(after[i].facts - before[i].facts);
  }
  const auto median = [](std::vector<uint64_t>& values) {
    std::nth_element(values.begin(), values.begin() + values.size() / 2, values.end());
    return values[values.size() / 2];
  };
  return {median(messages), median(facts)};
}

TEST(ScaleControl, AGatewaysTrafficAtRestDoesNotGrowWithTheFleet) {
  const simulation::ReceivedTraffic small = heard_at_rest(32);
  ASSERT_GT(small.messages, 0u);
  ASSERT_GT(small.facts, 0u);
  for (const uint32_t gateways : {64u, 128u}) {
    const simulation::ReceivedTraffic heard = heard_at_rest(gateways);
    const auto ratio = [](uint64_t a, uint64_t b) { return static_cast<double>(a) / static_cast<double>(b); };
    EXPECT_NEAR(ratio(heard.messages, small.messages), 1, 0.1) << gateways;
    EXPECT_NEAR(ratio(heard.facts, small.facts), 1, 0.1) << gateways;
  }
}

// Bytes that the bus wrote to each gateway for an update, without the offset that it sends each second.
uint64_t bytes_of_update(int engines, bool whole) {
  constexpr size_t kGateways = 16;
  SimulatedFleetOptions options;
  options.gateways = kGateways;
  options.keepers = 0;
  options.engines = engines;
  SimulatedFleet fleet(options);
  fleet.wait_settled(kSettleMost);
  fleet.announce(engine_listings(0, whole ? engines : 1, "DRAINING"), whole);
  SimulatedFleet::Snapshot now;
  EXPECT_TRUE(soon([&] {
    now = fleet.snapshot();
    return std::all_of(now.gateways.begin(), now.gateways.end(),
                       [](const auto& gateway) { return gateway.list_updates == 1; });
  }));
  EXPECT_EQ(now.bus.connections_made, kGateways);
  EXPECT_EQ(now.bus.bytes_in, kGateways * std::string("from 1\n").size());
  constexpr size_t kWord = std::string_view("{\"offset\":1}\n").size();
  const uint64_t update = now.bus.bytes_out - (now.bus.lines_out - kGateways) * kWord;
  EXPECT_EQ(update % kGateways, 0u);
  return update / kGateways;
}

TEST(ScaleControl, AChangeCostsEachGatewayItsDifferenceAndNotTheList) {
  const uint64_t of_few = bytes_of_update(20, false), of_many = bytes_of_update(400, false);
  EXPECT_EQ(of_few, of_many);
  EXPECT_LT(of_many, 200u);
  EXPECT_GT(bytes_of_update(400, true), 100 * of_many);
}

// A gateway under test that joins three replicas, holds a lease and watches a bus; either a real gateway
// process or a simulated one.
class Subject {
 public:
  virtual ~Subject() = default;
  struct Frame {
    std::vector<consensus::Message> parts;
    size_t bytes = 0;
    std::string from;
  };
  // The sizes of the frames with a single message, by the properties that determine the size.
  using Kind = std::tuple<consensus::MessageType, std::string, uint64_t,
                          bool>;  // type, key, version, whether `since` is above 0
  std::map<Kind, std::set<size_t>> sizes;
  uint64_t bus_lines = 0, bus_bytes = 0;
  std::vector<int64_t> asked_from;
};

struct Addresses {
  std::vector<std::string> real, name;  // three replicas, then the gateway under test
  std::string clients, bus;
};

constexpr size_t kKeepers = 3, kSubject = 3;
constexpr uint64_t kVersions = 3;  // the acquisition and two renewals by the gateway under test

SimulatedGatewayOptions gateway_at(const Addresses& at, size_t i) {
  SimulatedGatewayOptions options;
  options.address = at.real[i];
  options.reached_at = at.name[i];
  options.site = "here";
  options.keepers.assign(at.name.begin(), at.name.begin() + kKeepers);
  options.lease_ms = 1000;
  return options;
}

class SimulatedAgainstReal : public testing::Test {
 protected:
  SimulatedAgainstReal() {
    const std::vector<std::string> free = fakes::free_addresses(10);
    at_.real.assign(free.begin(), free.begin() + 4);
    at_.name.assign(free.begin() + 4, free.begin() + 8);
    at_.clients = free[8];
    at_.bus = free[9];
  }

  // `start` starts the gateway under test and returns the object that keeps it running.
  template <class Start>
  Subject play(const Start& start) {
    Subject out;
    std::mutex mutex;
    fakes::FakeHost host;
    auto between = std::make_unique<fakes::FaultProxy>(host, 1);
    between->on_frame = [&](size_t from, size_t, const std::string& frame) {
      const std::lock_guard lock(mutex);
      if (from == kSubject) note(out, frame);
    };
    for (size_t i = 0; i <= kSubject; ++i) between->add_gateway(at_.real[i], at_.name[i]);
    auto bus = std::make_unique<fakes::FakeEventBus>(host, 1, at_.bus);
    std::vector<std::unique_ptr<SimulatedGateway>> keepers;
    for (size_t i = 0; i < kKeepers; ++i) {
      keepers.push_back(std::make_unique<SimulatedGateway>(gateway_at(at_, i)));
      keepers.back()->start();
    }
    {
      const auto subject = start();
      EXPECT_TRUE(soon([&] { return bus->asked_from().size() == 1; }));
      bus->announce(engine_listings(7, 1, "DRAINING"));
      EXPECT_TRUE(soon([&] { return bus->traffic().lines_out > 1; }));
      EXPECT_TRUE(soon([&] {
        const std::lock_guard lock(mutex);
        return out.sizes.count({consensus::MessageType::kAccept, "trial:a", kVersions, false}) > 0;
      }));
      out.bus_lines = bus->traffic().lines_in;
      out.bus_bytes = bus->traffic().bytes_in;
      out.asked_from = bus->asked_from();
    }
    keepers.clear();
    bus.reset();
    between.reset();
    return out;
  }

  static void note(Subject& out, const std::string& bytes) {
    const size_t head = bytes.find("\r\n\r\n") + 4;
    const char* why = "";
    const auto frame = cluster::read_frame({bytes.data() + head, bytes.size() - head}, why);
    ASSERT_TRUE(frame) << why;
    if (frame->messages.size() != 1) return;  // how messages are batched into a frame varies
    const consensus::Message& m = frame->messages[0];
    if (m.register_state.version <= kVersions)
      out.sizes[{m.type, m.key, m.register_state.version, m.since > 0}].insert(bytes.size());
  }

  Addresses at_;
};

struct RealGateway {
  RealGateway(const Addresses& at, const fakes::FakeDeployment& engines)
      : file(testing::TempDir() + "simulated_real.json5") {
    std::ofstream(file) << fmt::format(
        R"({{"fleet":{{"on":true,"site":"here","listen":"{}","reached_at":"{}","keepers":["{}"],)"
        R"("lease_ms":1000,"duties":["trial:a"]}}}})",
        at.real[kSubject], at.name[kSubject],
        fmt::join(at.name.begin(), at.name.begin() + kKeepers, "\",\""));
    std::string config = engines.config(at.clients);
    const std::string bus = engines.bus().address();
    config.replace(config.find(bus), bus.size(), at.bus);
    process.emplace(FIRVALVE_PROGRAM, config, std::vector<std::string>{"--operator", file}, "/dev/null");
  }
  const std::string file;
  std::optional<fakes::Process> process;
};

TEST_F(SimulatedAgainstReal, TheSameBytesForTheSameEvents) {
  const Subject simulated = play([&] {
    SimulatedGatewayOptions options = gateway_at(at_, kSubject);
    options.leases = {"trial:a"};
    options.bus = at_.bus;
    options.known_list = fakes::topology(1, true, engine_listings(0, 2));
    auto gateway = std::make_unique<SimulatedGateway>(options);
    gateway->start();
    return gateway;
  });
  const fakes::FakeDeployment engines(2);
  const Subject real = play([&] { return std::make_unique<RealGateway>(at_, engines); });

  EXPECT_EQ(simulated.asked_from, real.asked_from);
  EXPECT_EQ(simulated.bus_lines, real.bus_lines);
  EXPECT_EQ(simulated.bus_bytes, real.bus_bytes);
  using consensus::MessageType;
  for (uint64_t version = 1; version <= kVersions; ++version) {
    const Subject::Kind accept{MessageType::kAccept, "trial:a", version, false};
    ASSERT_EQ(simulated.sizes.count(accept), 1u) << version;
    ASSERT_EQ(real.sizes.count(accept), 1u) << version;
  }
  size_t compared = 0;
  for (const auto& [kind, sizes] : simulated.sizes) {
    const auto same = real.sizes.find(kind);
    if (same == real.sizes.end()) continue;  // the real gateway batched it with another message
    ++compared;
    EXPECT_EQ(sizes, same->second) << static_cast<int>(std::get<0>(kind)) << " " << std::get<1>(kind) << " "
                                   << std::get<2>(kind);
  }
  // Watches from the start and from a later position (`since`), a prepare, and the accepts.
  EXPECT_GE(compared, 3 + kVersions);
}

std::string refusal(const SimulatedFleetOptions& options) {
  try {
    SimulatedFleet fleet(options);
  } catch (const ScaleError& error) {
    return error.what();
  }
  return "none";
}

SimulatedFleetOptions fleet_of(int gateways, int keepers) {
  SimulatedFleetOptions options;
  options.gateways = gateways;
  options.keepers = keepers;
  return options;
}

TEST(ScaleControl, SizesThatContradictOneAnotherAreRefused) {
  EXPECT_EQ(refusal(fleet_of(0, 0)), "a fleet of no gateways");
  EXPECT_EQ(refusal(fleet_of(4, 5)), "5 keepers of 4 gateways");
  SimulatedFleetOptions zones = fleet_of(4, 3);
  zones.zones = 5;
  EXPECT_EQ(refusal(zones), "5 zones for 4 gateways");
  SimulatedFleetOptions processes = fleet_of(1000, 3);
  processes.gateways_per_process = 1;
  EXPECT_EQ(refusal(processes), "1005 processes, more than 290");
}

TEST(ScaleControl, APortInUseIsToldInOneLine) {
  Poco::Net::ServerSocket taken;
  taken.bind(Poco::Net::SocketAddress(loopback_address(1)), false);
  taken.listen();
  const std::string why = refusal(fleet_of(4, 3));
  EXPECT_NE(why.find(loopback_address(1)), std::string::npos) << why;
  EXPECT_EQ(why.find('\n'), std::string::npos) << why;
}

TEST(ScaleControl, AChildThatDiesIsToldAndNothingIsLeftRunning) {
  {
    SimulatedFleet fleet(fleet_of(8, 3));
    ::kill(fleet.process(0).id(), SIGKILL);
    EXPECT_THROW(fleet.snapshot(), ScaleError);
  }
  EXPECT_EQ(::waitpid(-1, nullptr, WNOHANG), -1);
  EXPECT_EQ(errno, ECHILD);
}

TEST(ScaleControl, TooFewDescriptorsAreToldBeforeAnythingStarts) {
  const auto within_few = [] {
    const rlimit few{100, 100};
    ::setrlimit(RLIMIT_NOFILE, &few);
    std::fputs(refusal(fleet_of(64, 3)).c_str(), stderr);
    std::_Exit(0);
  };
  testing::FLAGS_gtest_death_test_style = "threadsafe";
  EXPECT_EXIT(within_few(), testing::ExitedWithCode(0), "descriptors in a process, of 100");
}

}  // namespace
}  // namespace firvalve::loadtest
