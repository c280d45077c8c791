// Paged results over loopback with the real program, the client library and fake engines, including killed
// programs and readers that stop.
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

struct PagedResultsGateway : testing::Test {
  std::string folder = [] {
    char name[] = "/tmp/firvalve-spool-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  fakes::FakeDeployment deployment{3};
  std::string address = fakes::free_address();
  std::unique_ptr<fakes::Process> process;
  std::unique_ptr<client::Client> client;

  ~PagedResultsGateway() override {
    client.reset();
    process.reset();
    std::filesystem::remove_all(folder);
  }
  void start(const std::string& spool) {
    std::ofstream(folder + "/operator.json5")
        << R"({"clients": {"marks": true}, "spool": {"on": true, )" << spool << "}}";
    process =
        std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, deployment.config(address),
                                         std::vector<std::string>{"--operator", folder + "/operator.json5"});
    ASSERT_TRUE(fakes::Process::listens(address));
    client::Options options;
    options.gateways = {address};
    options.seed = 3;
    options.retry_share = 1;
    options.spread_ms = options.max_spread_ms = 100;
    client = std::make_unique<client::Client>(options);
  }
  std::string on_disk() const { return R"("folder": ")" + folder + R"(/spool")"; }
  client::Result call_paged(const std::string& statement, const std::string& key = {}) {
    client::Command command;
    command.profile = "report";
    command.statement = statement;
    command.timeout_ms = 15000;
    command.effect = client::Effect::kReplayable;
    command.paged = true;
    command.key = key;
    return client->call(command);
  }
  static int rows_in(const std::string& text) {
    return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
  }
  // Reads to the end. Returns the last result of the reader and the number of rows read.
  static std::pair<Next, int> read_all(PageReader& pages) {
    std::string rows;
    int row_count = 0;
    for (;;) {
      const Next next = pages.next(rows);
      if (next != Next::kPage) return {next, row_count};
      row_count += rows_in(rows);
    }
  }
};

TEST_F(PagedResultsGateway, PagedResultIsReadToEndAndReleased) {
  start("");
  const client::Result result = call_paged("select 1 /*! rows=3 pages=20 */");
  ASSERT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_EQ(result.token.size(), 32u);
  EXPECT_EQ(result.pages, 20u);
  EXPECT_EQ(result.total_rows, 60u);
  EXPECT_EQ(rows_in(result.rows), 3);
  PageReader pages(*client, result, "", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 60));
  pages.release();
  PageReader again(*client, {address}, result.token, "", 1, {});
  EXPECT_EQ(read_all(again), std::pair(Next::kGone, 0));
}

TEST_F(PagedResultsGateway, CallWithoutPagesReturnsAllRows) {
  start("");
  client::Command command{"lookup", "select 1 /*! rows=3 pages=2 */", 5000, 0,
                          0,        client::Effect::kReplayable};
  const client::Result result = client->call(command);
  EXPECT_EQ(result.outcome, Outcome::kAnswered);
  EXPECT_TRUE(result.token.empty());
  EXPECT_EQ(rows_in(result.rows), 6);
}

TEST_F(PagedResultsGateway, SlowReadersDoNotOccupyEngines) {
  start("");
  std::vector<client::Result> results;
  results.reserve(30);
  for (int i = 0; i < 30; ++i)
    results.push_back(call_paged("select " + std::to_string(i) + " /*! rows=20 pages=10 */"));
  std::vector<Ms> hold_times;
  const auto has_all_hold_times = [&] {
    hold_times.clear();
    for (int i = 0; i < deployment.engines(); ++i)
      for (const Ms ms : deployment.engine(i).held_after_ready()) hold_times.push_back(ms);
    return hold_times.size() >= 30;
  };
  ASSERT_TRUE(soon(has_all_hold_times));  // no reader has read beyond the first page
  std::sort(hold_times.begin(), hold_times.end());
  EXPECT_LT(hold_times[hold_times.size() * 99 / 100], 1000);
  for (const client::Result& result : results) {
    PageReader pages(*client, result, "", {});
    EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 200));
  }
  EXPECT_EQ(deployment.max_runs_per_statement(), 1);
}

TEST_F(PagedResultsGateway, ReaderContinuesAfterKillWithFolder) {
  start(on_disk());
  const client::Result result = call_paged("select 1 /*! rows=3 pages=50 */");
  ASSERT_EQ(result.outcome, Outcome::kAnswered);
  PageReader pages(*client, result, "", {});
  std::string rows;
  for (int i = 0; i < 10; ++i) ASSERT_EQ(pages.next(rows), Next::kPage);
  // Data that a killed process has passed to the kernel survives: wait until the process has written all
  // pages.
  const auto stored_bytes = [&] {
    uintmax_t total = 0;
    for (const auto& entry : std::filesystem::directory_iterator(folder + "/spool"))
      total += entry.file_size();
    return total;
  };
  ASSERT_TRUE(soon([&] { return stored_bytes() > uintmax_t{50} * 56; }));
  ::usleep(50000);
  process->stop(SIGKILL);
  process->start();
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 120));
  EXPECT_EQ(deployment.max_runs_per_statement(), 1);
}

TEST_F(PagedResultsGateway, GracefulExitKeepsAllResultsOnDisk) {
  start(on_disk());
  std::vector<std::string> tokens;
  tokens.reserve(20);
  for (int i = 0; i < 20; ++i)
    tokens.push_back(call_paged("select " + std::to_string(i) + " /*! rows=50 pages=20 */").token);
  process->signal(SIGTERM);
  EXPECT_EQ(process->wait(), 0);
  process->start();
  ASSERT_TRUE(fakes::Process::listens(address));
  for (const std::string& token : tokens) {
    PageReader pages(*client, {address}, token, "", 1, {});
    EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 1000));
  }
}

TEST_F(PagedResultsGateway, ResultIsGoneAfterRestartWithoutFolder) {
  start("");
  const client::Result result = call_paged("select 1 /*! pages=20 */");
  process->stop(SIGTERM);
  process->start();
  PageReader pages(*client, {address}, result.token, "", 1, {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kGone, 0));
}

TEST_F(PagedResultsGateway, TokenWithOtherKeyOrUnknownTokenIsGone) {
  start("");
  const client::Result result = call_paged("select 1 /*! pages=3 */", "mine");
  PageReader theirs(*client, {address}, result.token, "yours", 1, {});
  EXPECT_EQ(read_all(theirs), std::pair(Next::kGone, 0));
  PageReader wrong(*client, {address}, "abc", "", 1, {});
  EXPECT_EQ(read_all(wrong), std::pair(Next::kGone, 0));
  PageReader mine(*client, result, "mine", {});
  EXPECT_EQ(read_all(mine), std::pair(Next::kEnd, 3));
  EXPECT_EQ(client->request_page(address, result.token, uint64_t{1} << 63, 1000, "mine").wait().no_such_page,
            true);
}

TEST_F(PagedResultsGateway, LeaseExpiresAndReadRenewsIt) {
  start(R"("lease_s": 1)");
  const client::Result result = call_paged("select 1 /*! pages=3 */");
  for (int i = 0; i < 4; ++i) {
    ::usleep(500000);
    EXPECT_EQ(client->request_page(address, result.token, 2, 1000).wait().outcome, Outcome::kAnswered) << i;
  }
  ::usleep(1300000);
  EXPECT_TRUE(client->request_page(address, result.token, 2, 1000).wait().gone);
}

TEST_F(PagedResultsGateway, ResultLargerThanStoreFailsWithReasonAndFreesEngine) {
  start(R"("memory_mb": 0.1, "result_mb": 0.05, "page_kb": 100)");
  const client::Result result = call_paged("select 1 /*! rows=100 pages=100 row-bytes=50 */");
  EXPECT_EQ(result.outcome, Outcome::kFailed);
  EXPECT_NE(result.why.find("outgrown"), std::string::npos) << result.why;
  const auto cancel_count = [&] {
    int count = 0;
    for (int i = 0; i < deployment.engines(); ++i) count += deployment.engine(i).calls("DELETE");
    return count;
  };
  EXPECT_TRUE(soon([&] { return cancel_count() >= 1; }));
  EXPECT_EQ(call_paged("select 2 /*! pages=2 */").outcome, Outcome::kAnswered);
  EXPECT_EQ(deployment.max_runs_per_statement(), 1);
}

TEST_F(PagedResultsGateway, CorruptPageResponseIsFetchedAgainNotRunAgain) {
  start("");
  const client::Result result = call_paged("select 1 /*! rows=2 pages=5 spoil=half spoil-times=3 */");
  ASSERT_EQ(result.outcome, Outcome::kAnswered);
  PageReader pages(*client, result, "", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 10));
  EXPECT_EQ(deployment.max_runs_per_statement(), 1);
}

TEST_F(PagedResultsGateway, KeyWithManyResultsLosesOnlyItsOwn) {
  start(R"("memory_mb": 0.3, "first_expected_kb": 5)");
  const client::Result few = call_paged("select 0 /*! rows=3 pages=2 */", "few");
  for (int i = 0; i < 200; ++i)
    call_paged("select " + std::to_string(i) + " /*! rows=20 pages=20 */", "many");
  PageReader pages(*client, few, "few", {});
  EXPECT_EQ(read_all(pages), std::pair(Next::kEnd, 6));
}

TEST_F(PagedResultsGateway, StoreLargerThanHalfOfMemoryIsRejected) {
  std::ofstream(folder + "/operator.json5") << R"({"spool": {"on": true, "memory_mb": 100}})";
  fakes::Process gateway(FIRVALVE_PROGRAM, deployment.config(address),
                         {"--operator", folder + "/operator.json5"});
  EXPECT_EQ(gateway.wait(), 1);
}

TEST_F(PagedResultsGateway, InvalidOperatorFileAtReloadChangesNothingAndBusStillMigrates) {
  start("");
  fakes::FakeEventBus moved(deployment.host());
  std::string config = deployment.config(address);
  config.replace(config.find(deployment.bus().address()), deployment.bus().address().size(), moved.address());
  process->rewrite(config);
  std::ofstream(folder + "/operator.json5") << "{ cut";
  process->signal(SIGHUP);
  EXPECT_TRUE(soon([&] { return !moved.asked_from().empty(); }));
  EXPECT_EQ(call_paged("select 1 /*! pages=2 */").pages, 2u);
}

// A client connection on the level of the protocol: can retry a command of another connection by naming the
// request id of its first attempt.
struct RawConnection {
  explicit RawConnection(const std::string& address) { socket.connect(Poco::Net::SocketAddress(address)); }
  void send_command(int64_t id, const std::string& req, const std::string& first,
                    const std::string& statement) {
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

TEST_F(PagedResultsGateway, MarkedRetryFindsFinishedResultOrJoinsRunningOne) {
  start("");
  const std::string first = "00000000000000a1", statement = "select 1 /*! pages=4 delay=200 */";
  RawConnection one(address), two(address), three(address);
  one.send_command(1, first, "", statement);
  ASSERT_TRUE(soon([&] { return deployment.started() == 1; }));
  two.send_command(1, "00000000000000a2", first, statement);  // the command is running
  const std::string token = one.reply().token;
  EXPECT_EQ(token.size(), 32u);
  EXPECT_EQ(two.reply().token, token);
  one.socket.close();  // the client disappears with the answer half read
  three.send_command(1, "00000000000000a3", first, statement);  // the command has finished
  EXPECT_EQ(three.reply().token, token);
  EXPECT_EQ(deployment.started(), 1);
  three.send_command(2, "00000000000000a4", "", statement);  // without `first` it is a new command
  EXPECT_NE(three.reply().token, token);
  EXPECT_EQ(deployment.started(), 2);
}

TEST_F(PagedResultsGateway, QueryOfClientLostBeforeItsTokenIsCancelled) {
  start("");
  {
    RawConnection one(address);
    one.send_command(1, "00000000000000a1", "", "select 1 /*! silent */");
    ASSERT_TRUE(soon([&] { return deployment.started() == 1; }));
    one.socket.setLinger(true, 0);  // reset: after a plain close the client might still read
  }
  const auto cancel_count = [&] {
    int count = 0;
    for (int i = 0; i < deployment.engines(); ++i) count += deployment.engine(i).calls("DELETE");
    return count;
  };
  EXPECT_TRUE(soon([&] { return cancel_count() >= 1; }));
  EXPECT_EQ(call_paged("select 2").outcome, Outcome::kAnswered);
}

TEST_F(PagedResultsGateway, ByteWiseReaderGetsAllAndDelaysNobodyElse) {
  start("");
  RawConnection slow(address);
  slow.send_command(1, "00000000000000a1", "", "select 1 /*! rows=30 pages=2 */");
  ASSERT_TRUE(soon([&] { return deployment.started() == 1; }));
  std::string got;
  char byte;
  while (got.find("\"bytes\"") == std::string::npos && slow.socket.receiveBytes(&byte, 1) == 1) got += byte;
  EXPECT_EQ(call_paged("select 2 /*! pages=2 */").outcome, Outcome::kAnswered);
  EXPECT_NE(got.find("\"pages\":2"), std::string::npos);
}

TEST_F(PagedResultsGateway, LockedOrUnusableFolderFailsStart) {
  start(on_disk());
  fakes::Process second(FIRVALVE_PROGRAM, deployment.config(fakes::free_address()),
                        {"--operator", folder + "/operator.json5"});
  EXPECT_EQ(second.wait(), 1);
  std::ofstream(folder + "/other.json5") << R"({"spool": {"on": true, "folder": "/proc/firvalve"}})";
  fakes::Process third(FIRVALVE_PROGRAM, deployment.config(fakes::free_address()),
                       {"--operator", folder + "/other.json5"});
  EXPECT_EQ(third.wait(), 1);
}

}  // namespace
}  // namespace firvalve
