// Tests the client library against the gateway program, with fake engines that count the runs of each
// statement.
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
  fakes::FakeDeployment deployment{3};
  std::string address = fakes::free_address();
  fakes::Process process{FIRVALVE_PROGRAM, deployment.config(address)};

  void SetUp() override { ASSERT_TRUE(fakes::Process::listens(address)); }
  Options options() {
    Options options;
    options.gateways = {address};
    options.seed = 5;
    options.retry_share = 1;
    options.spread_ms = options.max_spread_ms = 300;
    return options;
  }
  static Command command(const char* profile, const std::string& statement, Effect effect) {
    return {profile, statement, 15000, 20, 1, effect};
  }
};

TEST_F(ClientGateway, CommandsOfAllProfilesAreAnsweredAndAnUnknownProfileFails) {
  Client client(options());
  const Result report = client.call(
      command("report", "select * from a_1.b /*! delay=300 rows=2 pages=3 */", Effect::kReplayable));
  EXPECT_EQ(report.outcome, Outcome::kAnswered);
  EXPECT_EQ(std::count(report.rows.begin(), report.rows.end(), '\n'), 6);
  EXPECT_EQ(client.call(command("lookup", "select 1", Effect::kReplayable)).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(command("load", "insert 1", Effect::kNonReplayable)).outcome, Outcome::kAnswered);
  EXPECT_EQ(client.call(command("odd", "select 1", Effect::kReplayable)).outcome, Outcome::kFailed);
}

// Sends loads and lookups in turn until `stop`. Each has a unique statement, so that the engines can count
// its runs.
void send_commands(ClientGateway& test, Client& client, std::atomic<bool>& stop,
                   std::array<std::atomic<int>, 5>& load_outcomes,
                   std::array<std::atomic<int>, 5>& lookup_outcomes) {
  for (int i = 0; !stop; ++i) {
    const bool is_load = i % 2 == 0;
    auto& outcomes = is_load ? load_outcomes : lookup_outcomes;
    client.send(test.command(is_load ? "load" : "lookup",
                             (is_load ? "insert " : "select ") + std::to_string(i) + " /*! delay=30 */",
                             is_load ? Effect::kNonReplayable : Effect::kReplayable),
                [&](const Result& result) { ++outcomes[static_cast<size_t>(result.outcome)]; });
    ::usleep(3000);
  }
}

TEST_F(ClientGateway, GatewayKillsRunNoLoadTwiceAndLoseNoLookup) {
  std::array<std::atomic<int>, 5> load_outcomes{}, lookup_outcomes{};
  {
    Client client(options());
    std::atomic<bool> stop = false;
    std::thread sender([&] { send_commands(*this, client, stop, load_outcomes, lookup_outcomes); });
    for (int kills = 0; kills < 3; ++kills) {
      const int before = deployment.started();
      ASSERT_TRUE(soon([&] { return deployment.started() >= before + 60; }));
      process.stop(SIGKILL);
      process.start();
      ASSERT_TRUE(fakes::Process::listens(address));
    }
    stop = true;
    sender.join();
    client.close(20000);
  }
  const auto count_of = [](const auto& outcomes, Outcome outcome) {
    return outcomes[static_cast<size_t>(outcome)].load();
  };
  EXPECT_GT(count_of(load_outcomes, Outcome::kAnswered), 40);
  EXPECT_GT(count_of(load_outcomes, Outcome::kUnknown), 0);  // those in flight at a kill
  EXPECT_EQ(count_of(load_outcomes, Outcome::kFailed), 0);
  EXPECT_GT(count_of(lookup_outcomes, Outcome::kAnswered), 60);
  EXPECT_EQ(count_of(lookup_outcomes, Outcome::kExpired) + count_of(lookup_outcomes, Outcome::kFailed), 0);
  for (int i = 0; i < 100000; i += 2) {
    const std::string load = "insert " + std::to_string(i) + " /*! delay=30 */";
    const int runs = deployment.runs(load);
    ASSERT_LE(runs, 1) << load;
    if (i > 20000 && runs == 0) break;
  }
}

TEST_F(ClientGateway, GracefulRestartLosesNoCall) {
  std::array<std::atomic<int>, 5> load_outcomes{}, lookup_outcomes{};
  {
    Client client(options());
    std::atomic<bool> stop = false;
    std::thread sender([&] { send_commands(*this, client, stop, load_outcomes, lookup_outcomes); });
    ASSERT_TRUE(soon([&] { return deployment.started() >= 60; }));
    process.signal(SIGTERM);
    stop = true;  // the gateway answers open calls before it exits
    sender.join();
    EXPECT_EQ(process.wait(), 0);
    process.start();
    client.close(20000);
  }
  EXPECT_EQ(load_outcomes[static_cast<size_t>(Outcome::kUnknown)], 0);
  EXPECT_EQ(load_outcomes[static_cast<size_t>(Outcome::kFailed)], 0);
  EXPECT_GT(load_outcomes[static_cast<size_t>(Outcome::kAnswered)], 20);
}

}  // namespace
}  // namespace firvalve::client
