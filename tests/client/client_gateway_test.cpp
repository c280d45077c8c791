// The library against the real gateway's program, with stand-in engines behind it that count what ran.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "client/client.h"
#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "soon.h"

namespace firvalve::client {
namespace {

struct ClientGateway : testing::Test {
  fakes::FakeDeployment fleet{3};
  std::string address = fakes::free_address();
  fakes::Process process{FIRVALVE_PROGRAM, fleet.config(address)};

  void SetUp() override { ASSERT_TRUE(fakes::Process::listens(address)); }
  Options options() {
    Options o;
    o.gateways = {address};
    o.seed = 5;
    o.retry_share = 1;
    o.spread_ms = o.max_spread_ms = 300;
    return o;
  }
  static Command command(const char* profile, const std::string& statement, Effect effect) {
    return {profile, statement, 15000, 20, 1, effect};
  }
};

TEST_F(ClientGateway, ALookupAReportAndALoadAreAnswered) {
  Client client(options());
  const Result r = client.call(
      command("report", "select * from a_1.b /*! delay=300 rows=2 pages=3 */", Effect::kReplayable));
  EXPECT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_EQ(std::count(r.rows.begin(), r.rows.end(), '\n'), 6);
  EXPECT_EQ(client.call(command("lookup", "select 1", Effect::kReplayable)).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(command("load", "insert 1", Effect::kNonReplayable)).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(command("odd", "select 1", Effect::kReplayable)).outcome, Outcome::kFailed);
}

// Every command has a statement of its own, so that the engines can tell a second run of it.
void flow(ClientGateway& t, Client& client, std::atomic<bool>& stop, std::array<std::atomic<int>, 5>& loads,
          std::array<std::atomic<int>, 5>& lookups) {
  for (int i = 0; !stop; ++i) {
    const bool load = i % 2 == 0;
    auto& ends = load ? loads : lookups;
    client.send(t.command(load ? "load" : "lookup",
                          (load ? "insert " : "select ") + std::to_string(i) + " /*! delay=30 */",
                          load ? Effect::kNonReplayable : Effect::kReplayable),
                [&](const Result& r) { ++ends[static_cast<size_t>(r.outcome)]; });
    ::usleep(3000);
  }
}

TEST_F(ClientGateway, KilledUnderLoadNoLoadRunsTwiceAndEveryLookupIsAnswered) {
  std::array<std::atomic<int>, 5> loads{}, lookups{};
  {
    Client client(options());
    std::atomic<bool> stop = false;
    std::thread sender([&] { flow(*this, client, stop, loads, lookups); });
    for (int kills = 0; kills < 3; ++kills) {
      const int before = fleet.started();
      ASSERT_TRUE(soon([&] { return fleet.started() >= before + 60; }));
      process.stop(SIGKILL);
      process.start();
      ASSERT_TRUE(fakes::Process::listens(address));
    }
    stop = true;
    sender.join();
    client.close(20000);
  }
  const auto at = [](const auto& ends, Outcome o) { return ends[static_cast<size_t>(o)].load(); };
  EXPECT_GT(at(loads, Outcome::kAnswered), 40);
  EXPECT_GT(at(loads, Outcome::kUnknown), 0);  // those that were open at a kill
  EXPECT_EQ(at(loads, Outcome::kFailed), 0);
  EXPECT_GT(at(lookups, Outcome::kAnswered), 60);
  EXPECT_EQ(at(lookups, Outcome::kExpired) + at(lookups, Outcome::kFailed), 0);
  for (int i = 0; i < 100000; i += 2) {
    const std::string load = "insert " + std::to_string(i) + " /*! delay=30 */";
    const int runs = fleet.runs(load);
    ASSERT_LE(runs, 1) << load;
    if (i > 20000 && runs == 0) break;
  }
}

TEST_F(ClientGateway, RestartedInOrderNothingIsLost) {
  std::array<std::atomic<int>, 5> loads{}, lookups{};
  {
    Client client(options());
    std::atomic<bool> stop = false;
    std::thread sender([&] { flow(*this, client, stop, loads, lookups); });
    ASSERT_TRUE(soon([&] { return fleet.started() >= 60; }));
    process.signal(SIGTERM);
    stop = true;  // what is under way is answered before it ends
    sender.join();
    EXPECT_EQ(process.wait(), 0);
    process.start();
    client.close(20000);
  }
  EXPECT_EQ(loads[static_cast<size_t>(Outcome::kUnknown)], 0);
  EXPECT_EQ(loads[static_cast<size_t>(Outcome::kFailed)], 0);
  EXPECT_GT(loads[static_cast<size_t>(Outcome::kAnswered)], 20);
}

}  // namespace
}  // namespace firvalve::client
