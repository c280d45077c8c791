// Several processes of the program, with faults between them and in them. Each test is named after its
// failure, and each ends before the invariant checker, which knows nothing of the program's code: never two
// that may act for one duty, epochs that only grow, a named load begun once at most.
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
#include "fakes/load_clients.h"
#include "simulation/invariant_checker.h"
#include "soon.h"

namespace firvalve {
namespace {

using fakes::FaultProxy;
using fakes::LoadClients;
using fakes::LoadClientsOptions;

class Processes : public testing::Test {
 protected:
  LoadClients& begin(const LoadClientsOptions& options = {}) {
    crowd_ = std::make_unique<LoadClients>(FIRVALVE_PROGRAM, options);
    EXPECT_TRUE(soon([&] { return crowd_->ready(); }));
    return *crowd_;
  }
  void TearDown() override {
    if (!crowd_) return;
    simulation::ClusterHistory history;
    for (size_t i = 0; i < crowd_->size(); ++i)
      simulation::add_lease_terms(fmt::format("g{}", i), crowd_->log(i), history);
    for (const simulation::InvariantViolation& b : simulation::check_invariants(history))
      ADD_FAILURE() << b.rule << ": " << b.text;
    EXPECT_GT(history.lease_terms.size(), 0u);
    for (const auto& [statement, most] : once_)
      EXPECT_LE(crowd_->engines().runs(statement), most) << statement;
    if (HasFailure())
      for (size_t i = 0; i < crowd_->size(); ++i) std::printf("--- %zu\n%s", i, crowd_->log(i).c_str());
  }
  std::optional<size_t> holder() { return crowd_->holder("trial:a"); }
  // Who may act, waited for.
  size_t held_by() {
    std::optional<size_t> one;
    EXPECT_TRUE(soon([&] { return (one = holder()).has_value(); }));
    return one.value_or(0);
  }
  // Another than that one may act.
  bool handed_on(size_t from) {
    return soon([&] {
      const auto now = holder();
      return now && *now != from;
    });
  }
  // Asks that gateway, or those, for a load under a name.
  client::Result merge(std::vector<size_t> gateways, const std::string& name, const std::string& statement,
                       double timeout = 8000) {
    once_[statement] = 1;
    client::Options o;
    for (const size_t g : gateways) o.gateways.push_back(crowd_->clients(g));
    client::Client client(o);
    client::Command c;
    c.profile = "load";
    c.statement = statement;
    c.timeout_ms = timeout;
    c.run_once_key = name;
    return client.call(c);
  }
  std::future<client::Result> merge_soon(size_t gateway, const std::string& name,
                                         const std::string& statement) {
    return std::async(std::launch::async, [=, this] { return merge({gateway}, name, statement); });
  }
  int runs(const std::string& statement) { return crowd_->engines().runs(statement); }

  std::unique_ptr<LoadClients> crowd_;
  std::map<std::string, int> once_;
};

TEST_F(Processes, HolderStoppedPastItsLeaseAndContinued) {
  LoadClients& c = begin();
  const size_t first = held_by();
  c.pause(first);
  EXPECT_TRUE(handed_on(first));
  c.go_on(first);
  EXPECT_TRUE(soon([&] { return c.count(first, "lease.lost") > 0; }));
  EXPECT_NE(holder(), first);
}

TEST_F(Processes, HolderKilled) {
  LoadClients& c = begin();
  const size_t first = held_by();
  const Ms at = LoadClients::clock();
  c.kill(first);
  EXPECT_TRUE(handed_on(first));
  EXPECT_LT(LoadClients::clock() - at, 1000 + 1000 + 500);  // lease, a second, and what the watching takes
}

TEST_F(Processes, HolderThatEndsHandsOnWithoutAGapOfALease) {
  LoadClientsOptions t;
  t.lease = 5000;
  LoadClients& c = begin(t);
  const size_t first = held_by();
  EXPECT_EQ(c.end(first), 0);
  EXPECT_TRUE(handed_on(first));
  simulation::ClusterHistory h;
  for (size_t i = 0; i < c.size(); ++i) simulation::add_lease_terms("g", c.log(i), h);
  std::sort(h.lease_terms.begin(), h.lease_terms.end(),
            [](const auto& a, const auto& b) { return a.epoch < b.epoch; });
  ASSERT_GE(h.lease_terms.size(), 2u);
  EXPECT_LT(h.lease_terms[1].from - h.lease_terms[0].until,
            1000);  // far from the lease, however loaded the machine
}

TEST_F(Processes, HolderCutOffFromTheReplicasAlone) {
  LoadClientsOptions t;
  t.duties = {"trial:a", "trial:b", "trial:c", "trial:d", "trial:e", "trial:f"};
  LoadClients& c = begin(t);
  std::optional<size_t> cut;  // a holder that is no keeper
  for (const std::string& duty : t.duties)
    if (const auto h = c.holder(duty); h && *h >= 3) cut = *h;
  if (!cut) GTEST_SKIP() << "all duties went to keepers";
  for (size_t k = 0; k < 3; ++k) c.between().set_both(*cut, k, {.silent = true});
  EXPECT_TRUE(soon([&] { return c.count(*cut, "lease.lost") > 0; }));
  EXPECT_TRUE(soon([&] {
    return std::all_of(t.duties.begin(), t.duties.end(), [&](const std::string& d) {
      const auto h = c.holder(d);
      return h && *h != *cut;
    });
  }));
}

TEST_F(Processes, HolderThatIsHeardAndHearsNothing) {
  LoadClients& c = begin();
  const size_t first = held_by();
  for (size_t k = 0; k < c.size(); ++k)
    if (k != first) c.between().set(k, first, {.silent = true});
  EXPECT_TRUE(handed_on(first));
  c.between().set_all({});
  EXPECT_TRUE(soon([&] { return c.count(first, "lease.lost") > 0; }));
}

TEST_F(Processes, LinksResetInTheMiddleOfFrames) {
  LoadClients& c = begin();
  for (int i = 0; i < 10; ++i) {
    c.between().set_all({.torn = true});
    ::usleep(50000);
  }
  EXPECT_TRUE(soon([&] { return c.ready(); }));
  EXPECT_EQ(c.count("lease.unreadable"), 0u);
}

TEST_F(Processes, ReplicaKilledAndRestartedWithAndWithoutItsStorage) {
  LoadClients& c = begin();
  EXPECT_EQ(merge({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (const size_t keeper : {size_t{0}, size_t{1}, size_t{2}}) {
    const size_t before = c.count(keeper, "consensus.replica_ready");
    c.kill(keeper);
    if (keeper != 1) c.forget(keeper);
    c.start(keeper);
    EXPECT_TRUE(soon([&] { return c.count(keeper, "consensus.replica_ready") > before; })) << keeper;
  }
  // Every keeper has been away: what was agreed stands all the same.
  EXPECT_EQ(merge({3, 4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

TEST_F(Processes, ReplicasWithoutStorageComeBackOneAfterTheOther) {
  LoadClientsOptions t;
  t.folders = false;
  LoadClients& c = begin(t);
  EXPECT_EQ(merge({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (const size_t keeper : {size_t{0}, size_t{1}, size_t{2}}) {
    c.kill(keeper);
    c.start(keeper);
    EXPECT_TRUE(soon([&] { return c.count(keeper, "consensus.replica_ready") > 1; })) << keeper;
  }
  EXPECT_EQ(merge({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

TEST_F(Processes, TwoOfFiveReplicasGoneAndThenThree) {
  LoadClientsOptions t;
  t.gateways = 7;
  t.keepers = 5;
  LoadClients& c = begin(t);
  for (const size_t k : {size_t{0}, size_t{1}}) c.kill(k);
  EXPECT_TRUE(soon([&] { return c.ready(); }));
  EXPECT_EQ(merge({5}, "two", "insert two").outcome, client::Outcome::kAnswered);
  c.kill(2);
  // Without a majority nobody holds anything past its lease, and clients are told so.
  EXPECT_TRUE(soon([&] { return !holder(); }));
  const client::Result none = merge({6}, "three", "insert three", 1500);
  EXPECT_NE(none.outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert three"), 0);
  for (const size_t k : {size_t{0}, size_t{1}, size_t{2}}) c.start(k);
  EXPECT_TRUE(soon([&] { return c.ready(); }));
  EXPECT_EQ(merge({6}, "two", "insert two").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert two"), 1);
}

TEST_F(Processes, AllReplicasRestartedAtOnce) {
  LoadClients& c = begin();
  EXPECT_EQ(merge({3}, "one", "insert one").outcome, client::Outcome::kAnswered);
  for (size_t k = 0; k < 3; ++k) c.kill(k);
  for (size_t k = 0; k < 3; ++k) c.start(k);
  EXPECT_TRUE(soon([&] { return c.ready(); }));
  EXPECT_EQ(merge({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
}

class Lossy : public Processes, public testing::WithParamInterface<double> {};

TEST_P(Lossy, MessagesLostRepeatedLateAndOutOfOrder) {
  LoadClientsOptions t;
  t.duties = {"trial:a", "trial:b", "trial:c"};
  LoadClients& c = begin(t);
  c.between().set_all(
      {.lost = GetParam(), .repeated = 0.1, .delay_least = 0, .delay_most = 60, .reordered = true});
  std::vector<std::future<client::Result>> asked;
  for (size_t g = 0; g < c.size(); ++g)
    asked.push_back(merge_soon(g, "lossy", "insert lossy /*! delay=200 */"));
  size_t answered = 0;
  for (auto& a : asked) answered += a.get().outcome == client::Outcome::kAnswered;
  EXPECT_EQ(runs("insert lossy /*! delay=200 */"), 1);
  EXPECT_GT(answered, 0u);
  const size_t first = held_by();
  c.kill(first);
  EXPECT_TRUE(handed_on(first));
}

INSTANTIATE_TEST_SUITE_P(InAHundred, Lossy, testing::Values(0.01, 0.1, 0.3),
                         [](const auto& p) { return std::to_string(static_cast<int>(p.param * 100)); });

TEST_F(Processes, MessagesLaterThanALease) {
  LoadClients& c = begin();
  for (int i = 0; i < 3; ++i) {
    c.between().set_all({.held = true});
    EXPECT_TRUE(soon([&] { return !holder(); }));
    c.between().set_all({});  // and all of it comes now
    EXPECT_TRUE(soon([&] { return holder().has_value(); }));
  }
}

TEST_F(Processes, RollingRestartOfAllUnderLoad) {
  LoadClients& c = begin();
  std::atomic<bool> over = false;
  std::atomic<int> answered = 0, lost = 0;
  std::thread load([&] {
    client::Options o;
    for (size_t g = 0; g < c.size(); ++g) o.gateways.push_back(c.clients(g));
    client::Client client(o);
    while (!over) {
      client::Command look{"lookup", "select 1", 4000, 0, 0, client::Effect::kReplayable, false, {}, {}};
      ++(client.call(look).outcome == client::Outcome::kAnswered ? answered : lost);
    }
  });
  for (size_t i = 0; i < c.size(); ++i) {
    EXPECT_EQ(c.end(i), 0);
    c.start(i);
    EXPECT_TRUE(soon([&] { return c.ready() && (i >= 3 || c.count(i, "consensus.replica_ready") > 1); }))
        << i;
  }
  over = true;
  load.join();
  EXPECT_GT(answered, 50);
  EXPECT_EQ(lost, 0);
  EXPECT_EQ(c.count("lease.lost"), 0u);  // each handed on what it held
}

TEST_F(Processes, AJobRequestedOfAllStartsOnceAndAllGetItsEnd) {
  LoadClients& c = begin();
  const std::string load = "insert night /*! delay=300 rows=2 */";
  std::vector<std::future<client::Result>> asked;
  for (size_t g = 0; g < c.size(); ++g) asked.push_back(merge_soon(g, "night", load));
  for (auto& a : asked) {
    const client::Result r = a.get();
    EXPECT_EQ(r.outcome, client::Outcome::kAnswered) << r.why;
    EXPECT_FALSE(r.rows.empty());
  }
  EXPECT_EQ(runs(load), 1);
  EXPECT_NE(merge({0}, "night", "insert another", 2000).outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert another"), 0);
}

TEST_F(Processes, AHolderKilledInTheMiddleOfAJobLeavesWhatMayHaveRun) {
  LoadClients& c = begin();
  const std::string load = "insert night /*! delay=3000 */";
  auto first = merge_soon(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  c.kill(3);
  const client::Result r = merge({4}, "night", load);
  EXPECT_EQ(r.outcome, client::Outcome::kFailed);
  EXPECT_TRUE(r.may_have_run);
  first.get();
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AHolderStoppedInTheMiddleOfAJobDoesNotStartItAgain) {
  LoadClients& c = begin();
  const std::string load = "insert night /*! delay=500 */";
  auto first = merge_soon(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  c.pause(3);
  EXPECT_EQ(merge({4}, "night", load).outcome, client::Outcome::kFailed);
  c.go_on(3);
  first.get();
  EXPECT_EQ(merge({0}, "night", load).outcome, client::Outcome::kFailed);
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AHolderTerminatedInTheMiddleOfAJobAnswersItFirst) {
  LoadClients& c = begin();
  const std::string load = "insert night /*! delay=800 */";
  auto first = merge_soon(3, "night", load);
  EXPECT_TRUE(soon([&] { return runs(load) == 1; }));
  EXPECT_EQ(c.end(3), 0);
  EXPECT_EQ(first.get().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(merge({4}, "night", load).outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs(load), 1);
}

TEST_F(Processes, AReplicaWhoseDiskIsFullSendsNothingUntilItTakesWritesAgain) {
  LoadClients& c = begin();
  const rlimit none{0, RLIM_INFINITY}, any{RLIM_INFINITY, RLIM_INFINITY};
  ASSERT_EQ(::prlimit(c.process(0).id(), RLIMIT_FSIZE, &none, nullptr), 0);
  EXPECT_TRUE(soon([&] { return c.between().passed() > 0 && c.ready(); }));
  EXPECT_EQ(merge({3, 4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  ASSERT_EQ(::prlimit(c.process(0).id(), RLIMIT_FSIZE, &any, nullptr), 0);
  c.kill(1);
  EXPECT_TRUE(soon([&] { return c.ready(); }));  // with it and the third
  EXPECT_EQ(merge({4}, "one", "insert one").outcome, client::Outcome::kAnswered);
  EXPECT_EQ(runs("insert one"), 1);
  EXPECT_EQ(c.end(0), 0);
  EXPECT_EQ(c.count(0, "gateway.metrics", "consensus writes failed"),
            1u);  // its log could not be written meanwhile, either
}

TEST_F(Processes, GarbageAndAFloodFromOnePeerCostNobodyElse) {
  LoadClients& c = begin();
  const auto send = [&](size_t to, const std::string& bytes) {
    Poco::Net::StreamSocket s;
    s.connect(Poco::Net::SocketAddress(c.peers(to)));
    s.setSendTimeout(Poco::Timespan(2, 0));
    for (size_t at = 0; at < bytes.size();) {
      try {
        at += static_cast<size_t>(s.sendBytes(bytes.data() + at, static_cast<int>(bytes.size() - at)));
      } catch (const Poco::Exception&) {
        return;  // it has ended us
      }
    }
  };
  cluster::Frame odd;
  odd.sender = "127.0.0.1:1";
  odd.replicas_hash = 1;  // of others
  std::string frame;
  cluster::append_frame(frame, odd);
  for (size_t k = 0; k < 3; ++k) {
    send(k, std::string(100000, 'x'));
    send(k, "Content-Length: 99999999999\r\n\r\n");
    send(k, "Content-Length: 8\r\n\r\n12345678");
    send(k, frame);
    std::string flood;
    for (int i = 0; i < 20000; ++i) flood += frame;
    send(k, flood);
  }
  EXPECT_TRUE(soon([&] { return c.count(0, "cluster.frame_rejected") >= 2; }));
  EXPECT_TRUE(c.ready());
  EXPECT_EQ(c.count("lease.lost"), 0u);
  EXPECT_EQ(merge({0}, "one", "insert one").outcome, client::Outcome::kAnswered);
}

TEST_F(Processes, AFileThatNamesOtherReplicasThanTheRest) {
  LoadClients& c = begin();
  const size_t odd = 4;
  EXPECT_EQ(c.end(odd), 0);
  c.rewrite(odd, c.name(2), c.name(3));
  c.start(odd);
  EXPECT_TRUE(soon([&] { return c.count(0, "cluster.frame_rejected", "another list of keepers") > 0; }));
  EXPECT_TRUE(soon([&] { return c.ready() && holder() != odd; }));
  EXPECT_EQ(c.count(odd, "lease.acquired", "\"epoch\":\"9"), 0u);
  // Its clients are still served: only what needs the record is not to be had there.
  client::Options o;
  o.gateways = {c.clients(odd)};
  client::Client client(o);
  client::Command look{"lookup", "select 1", 4000, 0, 0, client::Effect::kReplayable, false, {}, {}};
  EXPECT_EQ(client.call(look).outcome, client::Outcome::kAnswered);
}

TEST_F(Processes, ADirectoryInUseOrOfAnotherGatewayPreventsTheStart) {
  LoadClients& c = begin();
  EXPECT_EQ(c.end(1), 0);
  c.rewrite(1, c.folder(1), c.folder(0));
  c.process(1).start();
  EXPECT_EQ(c.process(1).wait(), 1);
  EXPECT_NE(c.log(1).find("another process uses it"), std::string::npos);
  EXPECT_EQ(c.end(0), 0);
  c.process(1).start();
  EXPECT_EQ(c.process(1).wait(), 1);
  EXPECT_NE(c.log(1).find("it is " + c.name(0) + "'s"), std::string::npos);
  c.rewrite(1, c.folder(0), c.folder(1));
  c.start(0);
  c.start(1);
  EXPECT_TRUE(soon([&] { return c.ready(); }));
}

class Topics : public Processes {
 protected:
  static std::string schema(const std::vector<int>& fields) {
    std::string all;
    for (const int f : fields)
      all += (all.empty() ? "" : ",") +
             ("{\"number\":" + std::to_string(f) + ",\"name\":\"f" + std::to_string(f)) + "\"}";
    return "{\"fields\":[" + all + "]}";
  }
  static std::string reader(const std::string& who, const std::string& reads) {
    return R"({"subscriber":")" + who + R"(","site":"here","versions":[1,2,3,4,5,6,7,8,9],"reads":[)" +
           reads + "]}";
  }
  client::Client& at(size_t gateway) {
    auto& c = clients_[gateway];
    if (!c) {
      client::Options o;
      o.gateways = {crowd_->clients(gateway)};
      c = std::make_unique<client::Client>(o);
    }
    return *c;
  }
  // What stands, as any gateway tells it, before the invariant checker.
  std::string stands(size_t gateway) {
    const client::Result r = at(gateway).ask_about_topic("bulletin", "cabins", "{}", 8000).wait();
    EXPECT_EQ(r.outcome, client::Outcome::kAnswered) << r.why;
    simulation::ClusterHistory h;
    h.topics.push_back(simulation::parse_topic("cabins", 0, r.rows));
    for (const simulation::InvariantViolation& b : simulation::check_invariants(h))
      ADD_FAILURE() << b.rule << ": " << b.text;
    return r.rows;
  }
  std::map<size_t, std::unique_ptr<client::Client>> clients_;
};

TEST_F(Topics, AChangeThatBreaksASubscriberIsRejectedAtEveryGateway) {
  LoadClients& c = begin();
  EXPECT_EQ(at(0).propose("cabins", schema({1, 2}), 5000).wait().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(at(3).declare("cabins", reader("screen", "2"), 5000).wait().outcome, client::Outcome::kAnswered);
  std::string first;
  for (size_t g = 0; g < c.size(); ++g) {
    const client::Result r = at(g).propose("cabins", schema({1}), 5000).wait();
    EXPECT_EQ(r.outcome, client::Outcome::kFailed);
    EXPECT_NE(r.rows.find("taken_away"), std::string::npos) << r.rows;
    if (first.empty()) first = r.rows;
    EXPECT_EQ(r.rows, first);
  }
  EXPECT_THROW(at(0).ask_about_topic("propose", "cabins", "[1]", 5000), std::invalid_argument);
  const client::Result bad =
      at(0).ask_about_topic("propose", "cabins", R"({"schema":{"fields":[{"number":"x"}]}})", 5000).wait();
  EXPECT_EQ(bad.outcome, client::Outcome::kFailed);
  EXPECT_EQ(bad.why, "schema.fields[0].number is no number from 0 up");
  EXPECT_GE(c.count("schema.change_rejected"), c.size());
}

TEST_F(Topics, ProposalsAndDeclarationsAcrossAPartitionLossAndAKilledReplica) {
  LoadClientsOptions t;
  t.keepers = 5;
  LoadClients& c = begin(t);
  EXPECT_EQ(at(0).propose("cabins", schema({1, 2, 3, 4}), 5000).wait().outcome, client::Outcome::kAnswered);
  c.between().set_all({.lost = 0.1, .repeated = 0.1, .delay_least = 0, .delay_most = 20, .reordered = true});
  std::vector<std::future<std::pair<int, int>>> all;  // agreed, refused
  for (size_t g = 0; g < 4; ++g) {
    at(g);
    all.push_back(std::async(std::launch::async, [=, this] {
      std::pair<int, int> told;
      for (int i = 0; i < 12; ++i) {
        const int left_out = 1 + static_cast<int>((g + static_cast<size_t>(i)) % 4);
        std::vector<int> fields;
        for (int f = 1; f <= 4; ++f)
          if (f != left_out) fields.push_back(f);
        client::Client& client = *clients_.at(g);
        const client::Result r =
            g % 2 == 0 ? client.propose("cabins", schema(fields), 4000).wait()
                       : client
                             .declare("cabins",
                                      reader("screen " + std::to_string(g), std::to_string(left_out)), 4000)
                             .wait();
        told.first += r.outcome == client::Outcome::kAnswered;
        told.second += r.outcome == client::Outcome::kFailed && !r.rows.empty();
      }
      return told;
    }));
  }
  c.kill(4);  // in the middle of it
  c.between().set_apart(1, {.silent = true});
  ::usleep(700000);
  c.between().set_apart(1, {});
  c.start(4);
  int agreed = 0, refused = 0;
  for (auto& one : all) {
    const auto told = one.get();
    agreed += told.first;
    refused += told.second;
  }
  EXPECT_GT(agreed, 0);
  EXPECT_GT(refused, 0);
  c.between().set_all({});
  const std::string one = stands(0);
  for (size_t g = 1; g < 4; ++g) EXPECT_EQ(stands(g), one);
}

TEST_F(Topics, ASubscriberThatDoesNotRenewIsForgottenAfterItsLifetime) {
  begin();
  EXPECT_EQ(at(0).propose("cabins", schema({1, 2}), 5000).wait().outcome, client::Outcome::kAnswered);
  std::string declaration = reader("screen", "2");
  declaration.insert(1, R"("holds_ms":1500,)");
  EXPECT_EQ(at(1).declare("cabins", declaration, 5000).wait().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(at(2).propose("cabins", schema({1}), 5000).wait().outcome, client::Outcome::kFailed);
  EXPECT_TRUE(soon([&] {
    return at(2).propose("cabins", schema({1}), 5000).wait().outcome == client::Outcome::kAnswered;
  }));
}

TEST_F(Topics, WithoutAQuorumNothingIsChangedAndTheClientLearnsIt) {
  LoadClients& c = begin();
  c.kill(0);
  c.kill(1);
  const client::Result r = at(3).propose("cabins", schema({1}), 1500).wait();
  EXPECT_NE(r.outcome, client::Outcome::kAnswered);
  c.start(0);
  EXPECT_EQ(at(4).propose("cabins", schema({1, 2}), 8000).wait().outcome, client::Outcome::kAnswered);
  EXPECT_EQ(stands(3).find("\"number\":2,\"state\""), std::string::npos);  // the first was never made
}

TEST_F(Processes, AGatewayOutsideAnyClusterRejectsRunOnceJobs) {
  const std::string listen = fakes::free_address();
  fakes::FakeDeployment engines(1);
  fakes::Process process(FIRVALVE_PROGRAM, engines.config(listen));
  ASSERT_TRUE(fakes::Process::listens(listen));
  client::Options o;
  o.gateways = {listen};
  client::Client client(o);
  client::Command c{"load", "insert 1", 2000, 0, 0, client::Effect::kReplayable, false, {}, "name"};
  EXPECT_EQ(client.call(c).outcome, client::Outcome::kFailed);
  EXPECT_EQ(engines.runs("insert 1"), 0);
}

}  // namespace
}  // namespace firvalve
