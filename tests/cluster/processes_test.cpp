// Runs clusters of several gateway processes and injects network, process and disk faults. After each test,
// an invariant checker that shares no code with the program verifies the logs: a lease never has two holders,
// its epochs only increase, and a run-once job is started at most once.
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <future>
#include <thread>

#include "client/client.h"
#include "cluster/peer_codec.h"
#include "fakes/gateway_cluster.h"
#include "simulation/invariant_checker.h"
#include "soon.h"

namespace firvalve {
namespace {

using fakes::FaultProxy;
using fakes::GatewayCluster;
using fakes::GatewayClusterOptions;

class Processes : public testing::Test {
 protected:
  GatewayCluster& start_deployment(const GatewayClusterOptions& options = {}) {
    deployment_ = std::make_unique<GatewayCluster>(FIRVALVE_PROGRAM, options);
    EXPECT_TRUE(soon([&] { return deployment_->ready(); }));
    return *deployment_;
  }
  void TearDown() override {
    if (!deployment_) return;
    simulation::ClusterHistory history;
    for (size_t i = 0; i < deployment_->size(); ++i)
      simulation::add_lease_terms(fmt::format("g{}", i), deployment_->log(i), history);
    for (const simulation::InvariantViolation& violation : simulation::check_invariants(history))
      ADD_FAILURE() << violation.rule << ": " << violation.text;
    EXPECT_GT(history.lease_terms.size(), 0u);
    for (const auto& [statement, max_runs] : max_runs_)
      EXPECT_LE(deployment_->engines().runs(statement), max_runs) << statement;
    if (HasFailure())
      for (size_t i = 0; i < deployment_->size(); ++i)
        std::printf("--- %zu\n%s", i, deployment_->log(i).c_str());
  }
  std::optional<size_t> holder() { return deployment_->holder("trial:a"); }
  // Waits until the lease trial:a has a holder and returns it.
  size_t wait_for_holder() {
    std::optional<size_t> current;
    EXPECT_TRUE(soon([&] { return (current = holder()).has_value(); }));
    return current.value_or(0);
  }
  // Waits until the lease trial:a has a holder other than `from`.
  bool wait_for_handover_from(size_t from) {
    return soon([&] {
      const auto now = holder();
      return now && *now != from;
    });
  }
  // Requests a run-once job from one of the gateways and waits for the result.
  client::Result request_job(std::vector<size_t> gateways, const std::string& name,
                             const std::string& statement, double timeout = 8000) {
    max_runs_[statement] = 1;
    client::Options client_options;
    for (const size_t g : gateways) client_options.gateways.push_back(deployment_->clients(g));
    client::Client client(client_options);
    client::Command command;
    command.profile = "load";
    command.statement = statement;
    command.timeout_ms = timeout;
    command.run_once_key = name;
    return client.call(command);
  }
  std::future<client::Result> request_job_async(size_t gateway, const std::string& name,
                                                const std::string& statement) {
    return std::async(std::launch::async, [=, this] { return request_job({gateway}, name, statement); });
  }
  int runs(const std::string& statement) { return deployment_->engines().runs(statement); }

  std::unique_ptr<GatewayCluster> deployment_;
  std::map<std::string, int> max_runs_;
};

TEST_F(Processes, HolderStoppedPastItsLeaseAndContinued) {
  GatewayCluster& deployment = start_deployment();
  const size_t first = wait_for_holder();
  deployment.pause(first);
  EXPECT_TRUE(wait_for_handover_from(first));
  deployment.resume(first);
  EXPECT_TRUE(soon([&] { return deployment.count(first, "lease.lost") > 0; }));
  EXPECT_NE(holder(), first);
}

TEST_F(Processes, HolderKilled) {
  GatewayCluster& deployment = start_deployment();
  const size_t first = wait_for_holder();
  const Ms at = GatewayCluster::clock();
  deployment.kill(first);
  EXPECT_TRUE(wait_for_handover_from(first));
  EXPECT_LT(GatewayCluster::clock() - at, 1000 + 1000 + 500);  // lease duration, 1 s, and detection delay
}

TEST_F(Processes, HolderThatShutsDownHandsOverBeforeItsLeaseExpires) {
  GatewayClusterOptions options;
  options.lease = 5000;
  GatewayCluster& deployment = start_deployment(options);
  const size_t first = wait_for_holder();
  EXPECT_EQ(deployment.end(first), 0);
  EXPECT_TRUE(wait_for_handover_from(first));
  simulation::ClusterHistory history;
  for (size_t i = 0; i < deployment.size(); ++i) simulation::add_lease_terms("g", deployment.log(i), history);
  std::sort(history.lease_terms.begin(), history.lease_terms.end(),
            [](const auto& a, const auto& b) { return a.epoch < b.epoch; });
  ASSERT_GE(history.lease_terms.size(), 2u);
  // Well below the lease duration, even on a loaded machine.
  EXPECT_LT(history.lease_terms[1].from - history.lease_terms[0].until, 1000);
}

TEST_F(Processes, HolderCutOffFromTheReplicasAlone) {
  GatewayClusterOptions options;
  options.duties = {"trial:a", "trial:b", "trial:c", "trial:d", "trial:e", "trial:f"};
  GatewayCluster& deployment = start_deployment(options);
  std::optional<size_t> isolated;  // a holder that is not a replica
  for (const std::string& lease : options.duties)
    if (const auto lease_holder = deployment.holder(lease); lease_holder && *lease_holder >= 3)
      isolated = *lease_holder;
  if (!isolated) GTEST_SKIP() << "all leases are held by replicas";
  for (size_t k = 0; k < 3; ++k) deployment.proxy().set_both(*isolated, k, {.silent = true});
  EXPECT_TRUE(soon([&] { return deployment.count(*isolated, "lease.lost") > 0; }));
  EXPECT_TRUE(soon([&] {
    return std::all_of(options.duties.begin(), options.duties.end(), [&](const std::string& lease) {
      const auto lease_holder = deployment.holder(lease);
      return lease_holder && *lease_holder != *isolated;
    });
  }));
}

TEST_F(Processes, HolderThatCanSendButNotReceive) {
  GatewayCluster& deployment = start_deployment();
  const size_t first = wait_for_holder();
  for (size_t k = 0; k < deployment.size(); ++k)
    if (k != first) deployment.proxy().set(k, first, {.silent = true});
  EXPECT_TRUE(wait_for_handover_from(first));
  deployment.proxy().set_all({});
  EXPECT_TRUE(soon([&] { return deployment.count(first, "lease.lost") > 0; }));
}

TEST_F(Processes, LinksResetInTheMiddleOfFrames) {
  GatewayCluster& deployment = start_deployment();
  for (int i = 0; i < 10; ++i) {
    deployment.proxy().set_all({.torn = true});
    ::usleep(50000);
  }
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));
  EXPECT_EQ(deployment.count("lease.unreadable"), 0u);
}

TEST_F(Processes, ReplicaKilledAndRestartedWithAndWithoutItsStorage) {
  GatewayCluster& deployment = start_deployment();
  EXPECT_EQ(request_job({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (const size_t replica : {size_t{0}, size_t{1}, size_t{2}}) {
    const size_t before = deployment.count(replica, "consensus.replica_ready");
    deployment.kill(replica);
    if (replica != 1) deployment.forget(replica);
    deployment.start(replica);
    EXPECT_TRUE(soon([&] { return deployment.count(replica, "consensus.replica_ready") > before; }))
        << replica;
  }
  // Every replica has been restarted, two without their storage; the agreed outcome must still be known.
  EXPECT_EQ(request_job({3, 4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

TEST_F(Processes, ReplicasWithoutStorageRestartedOneAfterTheOther) {
  GatewayClusterOptions options;
  options.folders = false;
  GatewayCluster& deployment = start_deployment(options);
  EXPECT_EQ(request_job({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (const size_t replica : {size_t{0}, size_t{1}, size_t{2}}) {
    deployment.kill(replica);
    deployment.start(replica);
    EXPECT_TRUE(soon([&] { return deployment.count(replica, "consensus.replica_ready") > 1; })) << replica;
  }
  EXPECT_EQ(request_job({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

TEST_F(Processes, TwoAndThenThreeOfFiveReplicasKilled) {
  GatewayClusterOptions options;
  options.gateways = 7;
  options.keepers = 5;
  GatewayCluster& deployment = start_deployment(options);
  for (const size_t k : {size_t{0}, size_t{1}}) deployment.kill(k);
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));
  EXPECT_EQ(request_job({5}, "two", "insert two").outcome, client::Outcome::kAnswered);
  deployment.kill(2);
  // Without a quorum every lease expires, and requests for run-once jobs fail.
  EXPECT_TRUE(soon([&] { return !holder(); }));
  const client::Result result = request_job({6}, "three", "insert three", 1500);
  EXPECT_NE(result.outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert three"), 0);
  for (const size_t k : {size_t{0}, size_t{1}, size_t{2}}) deployment.start(k);
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));
  EXPECT_EQ(request_job({6}, "two", "insert two").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert two"), 1);
}

TEST_F(Processes, AllReplicasRestartedAtOnce) {
  GatewayCluster& deployment = start_deployment();
  EXPECT_EQ(request_job({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (size_t k = 0; k < 3; ++k) deployment.kill(k);
  for (size_t k = 0; k < 3; ++k) deployment.start(k);
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));
  EXPECT_EQ(request_job({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

class Lossy : public Processes, public testing::WithParamInterface<double> {};

TEST_P(Lossy, MessagesLostRepeatedLateAndOutOfOrder) {
  GatewayClusterOptions options;
  options.duties = {"trial:a", "trial:b", "trial:c"};
  GatewayCluster& deployment = start_deployment(options);
  deployment.proxy().set_all(
      {.lost = GetParam(), .repeated = 0.1, .min_delay = 0, .max_delay = 60, .reordered = true});
  std::vector<std::future<client::Result>> results;
  for (size_t g = 0; g < deployment.size(); ++g)
    results.push_back(request_job_async(g, "lossy", "insert lossy /*! delay=200 */"));
  size_t answered = 0;
  for (auto& result : results) answered += result.get().outcome == client::Outcome::kAnswered;
  EXPECT_EQ(runs("insert lossy /*! delay=200 */"), 1);
  EXPECT_GT(answered, 0u);
  const size_t first = wait_for_holder();
  deployment.kill(first);
  EXPECT_TRUE(wait_for_handover_from(first));
}

INSTANTIATE_TEST_SUITE_P(InAHundred, Lossy, testing::Values(0.01, 0.1, 0.3),
                         [](const auto& p) { return std::to_string(static_cast<int>(p.param * 100)); });

TEST_F(Processes, MessagesDelayedPastALease) {
  GatewayCluster& deployment = start_deployment();
  for (int i = 0; i < 3; ++i) {
    deployment.proxy().set_all({.held = true});
    EXPECT_TRUE(soon([&] { return !holder(); }));
    deployment.proxy().set_all({});  // delivers the delayed messages
    EXPECT_TRUE(soon([&] { return holder().has_value(); }));
  }
}

TEST_F(Processes, RollingRestartOfAllUnderLoad) {
  GatewayCluster& deployment = start_deployment();
  std::atomic<bool> over = false;
  std::atomic<int> answered = 0, lost = 0;
  std::thread load([&] {
    client::Options client_options;
    for (size_t g = 0; g < deployment.size(); ++g) client_options.gateways.push_back(deployment.clients(g));
    client::Client client(client_options);
    while (!over) {
      client::Command lookup{"lookup", "select 1", 4000, 0, 0, client::Effect::kReplayable, false, {}, {}};
      ++(client.call(lookup).outcome == client::Outcome::kAnswered ? answered : lost);
    }
  });
  for (size_t i = 0; i < deployment.size(); ++i) {
    EXPECT_EQ(deployment.end(i), 0);
    deployment.start(i);
    EXPECT_TRUE(soon([&] {
      return deployment.ready() && (i >= 3 || deployment.count(i, "consensus.replica_ready") > 1);
    })) << i;
  }
  over = true;
  load.join();
  EXPECT_GT(answered, 50);
  EXPECT_EQ(lost, 0);
  EXPECT_EQ(deployment.count("lease.lost"), 0u);  // each gateway hands over its leases at shutdown
}

TEST_F(Processes, AJobRequestedFromAllGatewaysRunsOnceAndAllGetItsResult) {
  GatewayCluster& deployment = start_deployment();
  const std::string load = "insert night /*! delay=300 rows=2 */";
  std::vector<std::future<client::Result>> results;
  for (size_t g = 0; g < deployment.size(); ++g) results.push_back(request_job_async(g, "night", load));
  for (auto& result : results) {
    const client::Result response = result.get();
    EXPECT_EQ(response.outcome, client::Outcome::kAnswered) << response.why;
    EXPECT_FALSE(response.rows.empty());
  }
  EXPECT_EQ(runs(load), 1);
  EXPECT_NE(request_job({0}, "night", "insert another", 2000).outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert another"), 0);
}

// Guards against a long result that is served as empty to a client that asks after the run.
TEST_F(Processes, ALongResultIsServedWholeAtEveryGatewayAfterTheRun) {
  GatewayCluster& deployment = start_deployment();
  const std::string load = "insert night /*! pages=8 rows=1 row-bytes=5900 */";
  const client::Result first = request_job({0}, "night", load);
  ASSERT_EQ(first.outcome, client::Outcome::kAnswered) << first.why;
  EXPECT_GT(first.rows.size(), 47000u);
  for (size_t g = 0; g < deployment.size(); ++g) {
    const client::Result again = request_job({g}, "night", load);
    EXPECT_EQ(again.outcome, client::Outcome::kAnswered) << again.why;
    EXPECT_EQ(again.rows, first.rows) << again.rows.size();
  }
}

// Guards against long results that fill the replicas, so that no outcome is recorded and no job starts.
TEST_F(Processes, WhereTheReplicasHaveNoSpaceJobsRunAndTheirEndIsKnownWithoutTheirResults) {
  constexpr int kJobs = 30;  // their results are more than the replicas have space for
  GatewayClusterOptions options;
  options.gateways = 3;
  options.memory_mb = 16;
  start_deployment(options);
  const auto load = [](int job) {
    return fmt::format("insert {} /*! pages=8 rows=1 row-bytes=5900 */", job);
  };
  std::string rows;
  for (int job = 0; job < kJobs; ++job) {
    const client::Result first = request_job({0}, fmt::format("night-{}", job), load(job));
    ASSERT_EQ(first.outcome, client::Outcome::kAnswered) << job << ": " << first.why;
    rows = first.rows;
  }
  int stored = 0, not_stored = 0;
  for (int job = 0; job < kJobs; ++job) {
    const client::Result again = request_job({1}, fmt::format("night-{}", job), load(job));
    if (again.outcome == client::Outcome::kAnswered && again.rows == rows)
      ++stored;
    else if (again.why.find("it has completed; its result is not stored") != std::string::npos)
      ++not_stored;
    else
      ADD_FAILURE() << job << ": " << again.rows.size() << " bytes, " << again.why;
  }
  EXPECT_GT(stored, 0);
  EXPECT_GT(not_stored, 0);
}

TEST_F(Processes, AHolderKilledDuringAJobLeavesItsOutcomeUnknown) {
  GatewayCluster& deployment = start_deployment();
  const std::string load = "insert night /*! delay=3000 */";
  auto first = request_job_async(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  deployment.kill(3);
  const client::Result result = request_job({4}, "night", load);
  EXPECT_EQ(result.outcome, client::Outcome::kFailed);
  EXPECT_TRUE(result.may_have_run);
  first.get();
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AJobIsNotRestartedAfterItsHolderIsPaused) {
  GatewayCluster& deployment = start_deployment();
  const std::string load = "insert night /*! delay=500 */";
  auto first = request_job_async(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  deployment.pause(3);
  EXPECT_EQ(request_job({4}, "night", load).outcome, client::Outcome::kFailed);
  deployment.resume(3);
  first.get();
  EXPECT_EQ(request_job({0}, "night", load).outcome, client::Outcome::kFailed);
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AHolderThatShutsDownDuringAJobCompletesItFirst) {
  GatewayCluster& deployment = start_deployment();
  const std::string load = "insert night /*! delay=800 */";
  auto first = request_job_async(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  EXPECT_EQ(deployment.end(3), 0);
  EXPECT_EQ(first.get().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(request_job({4}, "night", load).outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AReplicaWithAFullDiskSendsNothingUntilWritesSucceed) {
  GatewayCluster& deployment = start_deployment();
  const rlimit full{0, RLIM_INFINITY}, unlimited{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(deployment.process(0).id(), RLIMIT_FSIZE, &full, nullptr), 0);
  EXPECT_TRUE(soon([&] { return deployment.proxy().passed() > 0 && deployment.ready(); }));
  EXPECT_EQ(request_job({3, 4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  ASSERT_EQ(::prlimit(deployment.process(0).id(), RLIMIT_FSIZE, &unlimited, nullptr), 0);
  deployment.kill(1);
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));  // the quorum is this replica and the third
  EXPECT_EQ(request_job({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
  EXPECT_EQ(deployment.end(0), 0);
  // Counted once only: the process could not write its log while the limit applied, either.
  EXPECT_EQ(deployment.count(0, "gateway.metrics", "consensus writes failed"), 1u);
}

TEST_F(Processes, InvalidFramesAndAFloodFromOnePeerDoNotAffectOthers) {
  GatewayCluster& deployment = start_deployment();
  const auto send = [&](size_t to, const std::string& bytes) {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(deployment.peers(to)));
    socket.setSendTimeout(Poco::Timespan(2, 0));
    for (size_t at = 0; at < bytes.size();) {
      try {
        at += static_cast<size_t>(socket.sendBytes(bytes.data() + at, static_cast<int>(bytes.size() - at)));
      } catch (const Poco::Exception&) {
        return;  // the gateway has closed the connection
      }
    }
  };
  cluster::Frame invalid_frame;
  invalid_frame.sender = "127.0.0.1:1";
  invalid_frame.replicas_hash = 1;  // not the hash of this cluster's replica list
  std::string frame;
  cluster::append_frame(frame, invalid_frame);
  for (size_t k = 0; k < 3; ++k) {
    send(k, std::string(100000, 'x'));
    send(k, "Content-Length: 99999999999\r\n\r\n");
    send(k, "Content-Length: 8\r\n\r\n12345678");
    send(k, frame);
    std::string flood;
    for (int i = 0; i < 20000; ++i) flood += frame;
    send(k, flood);
  }
  EXPECT_TRUE(soon([&] { return deployment.count(0, "cluster.frame_rejected") >= 2; }));
  EXPECT_TRUE(deployment.ready());
  EXPECT_EQ(deployment.count("lease.lost"), 0u);
  EXPECT_EQ(request_job({0}, "one", "insert one").outcome, client::Outcome::kAnswered);
}

TEST_F(Processes, AGatewayWithADifferentReplicaListIsRejected) {
  GatewayCluster& deployment = start_deployment();
  const size_t misconfigured = 4;
  EXPECT_EQ(deployment.end(misconfigured), 0);
  deployment.rewrite(misconfigured, deployment.name(2), deployment.name(3));
  deployment.start(misconfigured);
  EXPECT_TRUE(
      soon([&] { return deployment.count(0, "cluster.frame_rejected", "another list of keepers") > 0; }));
  EXPECT_TRUE(soon([&] { return deployment.ready() && holder() != misconfigured; }));
  EXPECT_EQ(deployment.count(misconfigured, "lease.acquired", "\"epoch\":\"9"), 0u);
  // It still serves commands that do not need the cluster.
  client::Options client_options;
  client_options.gateways = {deployment.clients(misconfigured)};
  client::Client client(client_options);
  client::Command lookup{"lookup", "select 1", 4000, 0, 0, client::Effect::kReplayable, false, {}, {}};
  EXPECT_EQ(client.call(lookup).outcome, client::Outcome::kAnswered);
}

TEST_F(Processes, ADirectoryInUseOrOfAnotherGatewayPreventsTheStart) {
  GatewayCluster& deployment = start_deployment();
  EXPECT_EQ(deployment.end(1), 0);
  deployment.rewrite(1, deployment.folder(1), deployment.folder(0));
  deployment.process(1).start();
  EXPECT_EQ(deployment.process(1).wait(), 1);
  EXPECT_NE(deployment.log(1).find("another process uses it"), std::string::npos);
  EXPECT_EQ(deployment.end(0), 0);
  deployment.process(1).start();
  EXPECT_EQ(deployment.process(1).wait(), 1);
  EXPECT_NE(deployment.log(1).find("belongs to gateway " + deployment.name(0) + ";"), std::string::npos);
  deployment.rewrite(1, deployment.folder(0), deployment.folder(1));
  deployment.start(0);
  deployment.start(1);
  EXPECT_TRUE(soon([&] { return deployment.ready(); }));
}

class Topics : public Processes {
 protected:
  static std::string make_schema(const std::vector<int>& fields) {
    std::string all;
    for (const int f : fields)
      all += (all.empty() ? "" : ",") +
             ("{\"number\":" + std::to_string(f) + ",\"name\":\"f" + std::to_string(f)) + "\"}";
    return "{\"fields\":[" + all + "]}";
  }
  static std::string make_declaration(const std::string& subscriber, const std::string& reads) {
    return R"({"subscriber":")" + subscriber + R"(","site":"here","versions":[1,2,3,4,5,6,7,8,9],"reads":[)" +
           reads + "]}";
  }
  client::Client& client_at(size_t gateway) {
    auto& client = clients_[gateway];
    if (!client) {
      client::Options client_options;
      client_options.gateways = {deployment_->clients(gateway)};
      client = std::make_unique<client::Client>(client_options);
    }
    return *client;
  }
  // Reads the topic at a gateway, verifies it with the invariant checker and returns it.
  std::string read_topic(size_t gateway) {
    const client::Result result =
        client_at(gateway).call_topic_method("bulletin", "cabins", "{}", 8000).wait();
    EXPECT_EQ(result.outcome, client::Outcome::kAnswered) << result.why;
    simulation::ClusterHistory history;
    history.topics.push_back(simulation::parse_topic("cabins", 0, result.rows));
    for (const simulation::InvariantViolation& violation : simulation::check_invariants(history))
      ADD_FAILURE() << violation.rule << ": " << violation.text;
    return result.rows;
  }
  std::map<size_t, std::unique_ptr<client::Client>> clients_;
};

TEST_F(Topics, AChangeThatBreaksASubscriberIsRejectedAtEveryGateway) {
  GatewayCluster& deployment = start_deployment();
  EXPECT_EQ(client_at(0).propose("cabins", make_schema({1, 2}), 5000).wait().outcome,
            client::Outcome::kAnswered);
  EXPECT_EQ(client_at(3).declare("cabins", make_declaration("screen", "2"), 5000).wait().outcome,
            client::Outcome::kAnswered);
  std::string first;
  for (size_t g = 0; g < deployment.size(); ++g) {
    const client::Result result = client_at(g).propose("cabins", make_schema({1}), 5000).wait();
    EXPECT_EQ(result.outcome, client::Outcome::kFailed);
    EXPECT_NE(result.rows.find("taken_away"), std::string::npos) << result.rows;
    if (first.empty()) first = result.rows;
    EXPECT_EQ(result.rows, first);
  }
  EXPECT_THROW(client_at(0).call_topic_method("propose", "cabins", "[1]", 5000), std::invalid_argument);
  const client::Result invalid =
      client_at(0)
          .call_topic_method("propose", "cabins", R"({"schema":{"fields":[{"number":"x"}]}})", 5000)
          .wait();
  EXPECT_EQ(invalid.outcome, client::Outcome::kFailed);
  EXPECT_EQ(invalid.why, "schema.fields[0].number is no number from 0 up");
  EXPECT_GE(deployment.count("schema.change_rejected"), deployment.size());
}

TEST_F(Topics, ProposalsAndDeclarationsAcrossAPartitionLossAndAKilledReplica) {
  GatewayClusterOptions options;
  options.keepers = 5;
  GatewayCluster& deployment = start_deployment(options);
  EXPECT_EQ(client_at(0).propose("cabins", make_schema({1, 2, 3, 4}), 5000).wait().outcome,
            client::Outcome::kAnswered);
  deployment.proxy().set_all(
      {.lost = 0.1, .repeated = 0.1, .min_delay = 0, .max_delay = 20, .reordered = true});
  std::vector<std::future<std::pair<int, int>>> all;  // numbers of agreed and rejected changes
  for (size_t g = 0; g < 4; ++g) {
    client_at(g);  // creates the client before the task uses it
    all.push_back(std::async(std::launch::async, [=, this] {
      std::pair<int, int> counts;
      for (int i = 0; i < 12; ++i) {
        const int omitted_field = 1 + static_cast<int>((g + static_cast<size_t>(i)) % 4);
        std::vector<int> fields;
        for (int f = 1; f <= 4; ++f)
          if (f != omitted_field) fields.push_back(f);
        client::Client& client = *clients_.at(g);
        const client::Result result =
            g % 2 == 0
                ? client.propose("cabins", make_schema(fields), 4000).wait()
                : client
                      .declare("cabins",
                               make_declaration("screen " + std::to_string(g), std::to_string(omitted_field)),
                               4000)
                      .wait();
        counts.first += result.outcome == client::Outcome::kAnswered;
        counts.second += result.outcome == client::Outcome::kFailed && !result.rows.empty();
      }
      return counts;
    }));
  }
  deployment.kill(4);  // while changes are in progress
  deployment.proxy().set_apart(1, {.silent = true});
  ::usleep(700000);
  deployment.proxy().set_apart(1, {});
  deployment.start(4);
  int agreed = 0, rejected = 0;
  for (auto& changes : all) {
    const auto counts = changes.get();
    agreed += counts.first;
    rejected += counts.second;
  }
  EXPECT_GT(agreed, 0);
  EXPECT_GT(rejected, 0);
  deployment.proxy().set_all({});
  const std::string topic = read_topic(0);
  for (size_t g = 1; g < 4; ++g) EXPECT_EQ(read_topic(g), topic);
}

TEST_F(Topics, ADeclarationThatIsNotRenewedExpires) {
  start_deployment();
  EXPECT_EQ(client_at(0).propose("cabins", make_schema({1, 2}), 5000).wait().outcome,
            client::Outcome::kAnswered);
  std::string declaration = make_declaration("screen", "2");
  declaration.insert(1, R"("holds_ms":1500,)");
  EXPECT_EQ(client_at(1).declare("cabins", declaration, 5000).wait().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(client_at(2).propose("cabins", make_schema({1}), 5000).wait().outcome, client::Outcome::kFailed);
  EXPECT_TRUE(soon([&] {
    return client_at(2).propose("cabins", make_schema({1}), 5000).wait().outcome ==
           client::Outcome::kAnswered;
  }));
}

TEST_F(Topics, WithoutAQuorumAChangeFailsAndIsNotMade) {
  GatewayCluster& deployment = start_deployment();
  deployment.kill(0);
  deployment.kill(1);
  const client::Result result = client_at(3).propose("cabins", make_schema({1}), 1500).wait();
  EXPECT_NE(result.outcome, client::Outcome::kAnswered);
  deployment.start(0);
  EXPECT_EQ(client_at(4).propose("cabins", make_schema({1, 2}), 8000).wait().outcome,
            client::Outcome::kAnswered);
  // Version 2 does not exist: the failed proposal has not created one.
  EXPECT_EQ(read_topic(3).find("\"number\":2,\"state\""), std::string::npos);
}

TEST_F(Processes, AGatewayOutsideAnyClusterRejectsRunOnceJobs) {
  const std::string listen = fakes::free_address();
  fakes::FakeDeployment engines(1);
  fakes::Process process(FIRVALVE_PROGRAM, engines.config(listen));
  ASSERT_TRUE(fakes::Process::listens(listen));
  client::Options client_options;
  client_options.gateways = {listen};
  client::Client client(client_options);
  client::Command command{"load", "insert 1", 2000, 0, 0, client::Effect::kReplayable, false, {}, "name"};
  EXPECT_EQ(client.call(command).outcome, client::Outcome::kFailed);
  EXPECT_EQ(engines.runs("insert 1"), 0);
}

}  // namespace
}  // namespace firvalve
