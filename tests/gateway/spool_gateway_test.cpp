// Paged results over loopback: the real program, the client library, stand-in engines; processes that die and
// readers that stop.
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

#include "client/client.h"
#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "proto/jsonrpc/reply.h"
#include "soon.h"

namespace firvalve {
namespace {

using client::Outcome;
using client::PageReader;
using Next = PageReader::Next;

struct SpoolGateway : testing::Test {
  std::string folder = [] {
    char name[] = "/tmp/firvalve-spool-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  fakes::FakeDeployment fleet{3};
  std::string address = fakes::free_address();
  std::unique_ptr<fakes::Process> process;
  std::unique_ptr<client::Client> client;

  ~SpoolGateway() override {
    client.reset();
    process.reset();
    std::filesystem::remove_all(folder);
  }
  void start(const std::string& spool) {
    std::ofstream(folder + "/operator.json5")
        << R"({"clients": {"marks": true}, "spool": {"on": true, )" << spool << "}}";
    process =
        std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, fleet.config(address),
                                         std::vector<std::string>{"--operator", folder + "/operator.json5"});
    ASSERT_TRUE(fakes::Process::listens(address));
    client::Options o;
    o.gateways = {address};
    o.seed = 3;
    o.retry_share = 1;
    o.spread_ms = o.max_spread_ms = 100;
    client = std::make_unique<client::Client>(o);
  }
  std::string on_disk() const { return R"("folder": ")" + folder + R"(/spool")"; }
  client::Result ask(const std::string& statement, const std::string& key = {}) {
    client::Command c;
    c.profile = "report";
    c.statement = statement;
    c.timeout_ms = 15000;
    c.effect = client::Effect::kReplayable;
    c.paged = true;
    c.key = key;
    return client->call(c);
  }
  static int rows_in(const std::string& text) {
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }
  // Reads to the end; gives how it ended and how many rows came.
  static std::pair<Next, int> read_all(PageReader& pages) {
    std::string rows;
    int all = 0;
    for (;;) {
      const Next next = pages.next(rows);
      if (next != Next::kPage) return {next, all};
      all += rows_in(rows);
    }
  }
};

TEST_F(SpoolGateway, APagedResultIsReadToItsEndAndReleased) {
  start("");
  const client::Result r = ask("select 1 /*! rows=3 pages=20 */");
  ASSERT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_EQ(r.token.size(), 32u);
  EXPECT_EQ(r.pages, 20u);
  EXPECT_EQ(r.total_rows, 60u);
  EXPECT_EQ(rows_in(r.rows), 3);
  PageReader pages(*client, r, "", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 60));
  pages.release();
  PageReader again(*client, {address}, r.token, "", 1, {});
  EXPECT_EQ(read_all(again), std::pair(Next::kGone, 0));
}

TEST_F(SpoolGateway, APlainCallIsWhatItWas) {
  start("");
  client::Command c{"lookup", "select 1 /*! rows=3 pages=2 */", 5000, 0, 0, client::Effect::kReplayable};
  const client::Result r = client->call(c);
  EXPECT_EQ(r.outcome, Outcome::kAnswered);
  EXPECT_TRUE(r.token.empty());
  EXPECT_EQ(rows_in(r.rows), 6);
}

TEST_F(SpoolGateway, EnginesAreFreeWhateverTheReadersDo) {
  start("");
  std::vector<client::Result> results;
  for (int i = 0; i < 30; ++i)
    results.push_back(ask("select " + std::to_string(i) + " /*! rows=20 pages=10 */"));
  std::vector<Ms> held;
  const auto all_held = [&] {
    held.clear();
    for (int i = 0; i < fleet.engines(); ++i)
      for (const Ms ms : fleet.engine(i).held_after_ready()) held.push_back(ms);
    return held.size() >= 30;
  };
  ASSERT_TRUE(soon(all_held));  // nobody has read a page beyond the first
  std::sort(held.begin(), held.end());
  EXPECT_LT(held[held.size() * 99 / 100], 1000);
  for (const client::Result& r : results) {
    PageReader pages(*client, r, "", {});
    EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 200));
  }
  EXPECT_EQ(fleet.runs_most(), 1);
}

TEST_F(SpoolGateway, WithAFolderAReaderGoesOnAfterAKill) {
  start(on_disk());
  const client::Result r = ask("select 1 /*! rows=3 pages=50 */");
  ASSERT_EQ(r.outcome, Outcome::kAnswered);
  PageReader pages(*client, r, "", {});
  std::string rows;
  for (int i = 0; i < 10; ++i) ASSERT_EQ(pages.next(rows), Next::kPage);
  // What a killed process had handed to the system is there: wait until it has written all.
  const auto bytes = [&] {
    uintmax_t all = 0;
    for (const auto& e : std::filesystem::directory_iterator(folder + "/spool")) all += e.file_size();
    return all;
  };
  ASSERT_TRUE(soon([&] { return bytes() > 50 * 56; }));
  ::usleep(50000);
  process->stop(SIGKILL);
  process->start();
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 120));
  EXPECT_EQ(fleet.runs_most(), 1);
}

TEST_F(SpoolGateway, InOrderItEndsWithAllOnDisk) {
  start(on_disk());
  std::vector<std::string> tokens;
  for (int i = 0; i < 20; ++i)
    tokens.push_back(ask("select " + std::to_string(i) + " /*! rows=50 pages=20 */").token);
  process->signal(SIGTERM);
  EXPECT_EQ(process->wait(), 0);
  process->start();
  ASSERT_TRUE(fakes::Process::listens(address));
  for (const std::string& token : tokens) {
    PageReader pages(*client, {address}, token, "", 1, {});
    EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 1000));
  }
}

TEST_F(SpoolGateway, WithoutAFolderAReaderIsToldGoneAfterARestart) {
  start("");
  const client::Result r = ask("select 1 /*! pages=20 */");
  process->stop(SIGTERM);
  process->start();
  PageReader pages(*client, {address}, r.token, "", 1, {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kGone, 0));
}

TEST_F(SpoolGateway, ATokenOfAnotherClientOrOfNoneIsGone) {
  start("");
  const client::Result r = ask("select 1 /*! pages=3 */", "mine");
  PageReader theirs(*client, {address}, r.token, "yours", 1, {});
  EXPECT_EQ(read_all(theirs), std::pair(Next::kGone, 0));
  PageReader wrong(*client, {address}, "abc", "", 1, {});
  EXPECT_EQ(read_all(wrong), std::pair(Next::kGone, 0));
  PageReader mine(*client, r, "mine", {});
  EXPECT_EQ(read_all(mine), std::pair(Next::kEnd, 3));
  EXPECT_EQ(client->request_page(address, r.token, uint64_t{1} << 63, 1000, "mine").wait().no_such_page,
            true);
}

TEST_F(SpoolGateway, TheLeaseEndsAndAReadRenewsIt) {
  start(R"("lease_s": 1)");
  const client::Result r = ask("select 1 /*! pages=3 */");
  for (int i = 0; i < 4; ++i) {
    ::usleep(500000);
    EXPECT_EQ(client->request_page(address, r.token, 2, 1000).wait().outcome, Outcome::kAnswered) << i;
  }
  ::usleep(1300000);
  EXPECT_TRUE(client->request_page(address, r.token, 2, 1000).wait().gone);
}

TEST_F(SpoolGateway, WhatOutgrowsTheSpoolFailsWithItsReasonAndItsEngineIsFree) {
  start(R"("memory_mb": 0.1, "result_mb": 0.05, "page_kb": 100)");
  const client::Result r = ask("select 1 /*! rows=100 pages=100 row-bytes=50 */");
  EXPECT_EQ(r.outcome, Outcome::kFailed);
  EXPECT_NE(r.why.find("outgrown"), std::string::npos) << r.why;
  const auto given_up = [&] {
    int all = 0;
    for (int i = 0; i < fleet.engines(); ++i) all += fleet.engine(i).calls("DELETE");
    return all;
  };
  EXPECT_TRUE(soon([&] { return given_up() >= 1; }));
  EXPECT_EQ(ask("select 2 /*! pages=2 */").outcome, Outcome::kAnswered);
  EXPECT_EQ(fleet.runs_most(), 1);
}

TEST_F(SpoolGateway, ASpoiltAnswerInTheMiddleIsAskedForAgainNotRunAgain) {
  start("");
  const client::Result r = ask("select 1 /*! rows=2 pages=5 spoil=half spoil-times=3 */");
  ASSERT_EQ(r.outcome, Outcome::kAnswered);
  PageReader pages(*client, r, "", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 10));
  EXPECT_EQ(fleet.runs_most(), 1);
}

TEST_F(SpoolGateway, WhoLeavesManyResultsLosesItsOwn) {
  start(R"("memory_mb": 0.3, "first_expected_kb": 5)");
  const client::Result few = ask("select 0 /*! rows=3 pages=2 */", "few");
  for (int i = 0; i < 200; ++i) ask("select " + std::to_string(i) + " /*! rows=20 pages=20 */", "many");
  PageReader pages(*client, few, "few", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 6));
}

TEST_F(SpoolGateway, ASpoolLargerThanHalfTheGatewaysMemoryIsRefused) {
  std::ofstream(folder + "/operator.json5") << R"({"spool": {"on": true, "memory_mb": 100}})";
  fakes::Process gateway(FIRVALVE_PROGRAM, fleet.config(address), {"--operator", folder + "/operator.json5"});
  EXPECT_EQ(gateway.wait(), 1);
}

TEST_F(SpoolGateway, AFaultyOperatorsFileInServiceChangesNothingAndTheBusStillMoves) {
  start("");
  fakes::FakeEventBus moved(fleet.host());
  std::string config = fleet.config(address);
  config.replace(config.find(fleet.bus().address()), fleet.bus().address().size(), moved.address());
  process->rewrite(config);
  std::ofstream(folder + "/operator.json5") << "{ cut";
  process->signal(SIGHUP);
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  EXPECT_EQ(ask("select 1 /*! pages=2 */").pages, 2u);
}

// A client that says its first try again under its mark, over another connection.
struct Raw {
  explicit Raw(const std::string& address) { socket.connect(Poco::Net::SocketAddress(address)); }
  void ask(int64_t id, const std::string& req, const std::string& first, const std::string& statement) {
    std::string out;
    proto::append_command(out, {id, "report", statement, req, first, 15000, 20, 1, true});
    socket.sendBytes(out.data(), static_cast<int>(out.size()));
  }
  proto::RpcReply reply() {
    std::span<char> body;
    while (frames.next(read_buffer, body) != proto::ReadResult::kComplete) {
      const auto space = read_buffer.prepare(65536);
      const int got = socket.receiveBytes(space.data(), static_cast<int>(space.size()));
      if (got <= 0) return {};
      read_buffer.commit(static_cast<size_t>(got));
    }
    return proto::read_reply(body);
  }
  Poco::Net::StreamSocket socket;
  proto::ReadBuffer read_buffer;
  proto::RpcFrames frames;
};

TEST_F(SpoolGateway, AMarkedRepeatFindsTheFinishedResultOrJoinsTheOneThatRuns) {
  start("");
  const std::string first = "00000000000000a1", statement = "select 1 /*! pages=4 delay=200 */";
  Raw one(address), two(address), three(address);
  one.ask(1, first, "", statement);
  ASSERT_TRUE(soon([&] { return fleet.started() == 1; }));
  two.ask(1, "00000000000000a2", first, statement);  // it runs
  const std::string token = one.reply().token;
  EXPECT_EQ(token.size(), 32u);
  EXPECT_EQ(two.reply().token, token);
  one.socket.close();                                  // the client vanishes with the answer half read
  three.ask(1, "00000000000000a3", first, statement);  // it has finished
  EXPECT_EQ(three.reply().token, token);
  EXPECT_EQ(fleet.started(), 1);
  three.ask(2, "00000000000000a4", "", statement);  // without a mark it is another command
  EXPECT_NE(three.reply().token, token);
  EXPECT_EQ(fleet.started(), 2);
}

TEST_F(SpoolGateway, AClientThatVanishesBeforeItsTokenLeavesNoQueryBehind) {
  start("");
  {
    Raw one(address);
    one.ask(1, "00000000000000a1", "", "select 1 /*! silent */");
    ASSERT_TRUE(soon([&] { return fleet.started() == 1; }));
    one.socket.setLinger(true, 0);  // an orderly end alone might be a client that still reads
  }
  const auto given_up = [&] {
    int all = 0;
    for (int i = 0; i < fleet.engines(); ++i) all += fleet.engine(i).calls("DELETE");
    return all;
  };
  EXPECT_TRUE(soon([&] { return given_up() >= 1; }));
  EXPECT_EQ(ask("select 2").outcome, Outcome::kAnswered);
}

TEST_F(SpoolGateway, AReaderOfOneByteAtATimeGetsItAllAndHoldsNobody) {
  start("");
  Raw slow(address);
  slow.ask(1, "00000000000000a1", "", "select 1 /*! rows=30 pages=2 */");
  ASSERT_TRUE(soon([&] { return fleet.started() == 1; }));
  std::string got;
  char byte;
  while (got.find("\"bytes\"") == std::string::npos && slow.socket.receiveBytes(&byte, 1) == 1) got += byte;
  EXPECT_EQ(ask("select 2 /*! pages=2 */").outcome, Outcome::kAnswered);
  EXPECT_NE(got.find("\"pages\":2"), std::string::npos);
}

TEST_F(SpoolGateway, AFolderInUseOrThatCannotBeEndsTheStartInOneLine) {
  start(on_disk());
  fakes::Process second(FIRVALVE_PROGRAM, fleet.config(fakes::free_address()),
                        {"--operator", folder + "/operator.json5"});
  EXPECT_EQ(second.wait(), 1);
  std::ofstream(folder + "/other.json5") << R"({"spool": {"on": true, "folder": "/proc/firvalve"}})";
  fakes::Process third(FIRVALVE_PROGRAM, fleet.config(fakes::free_address()),
                       {"--operator", folder + "/other.json5"});
  EXPECT_EQ(third.wait(), 1);
}

}  // namespace
}  // namespace firvalve
