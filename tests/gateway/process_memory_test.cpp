// The memory of the whole process against the limit of its configuration, with hundreds of clients at once.
// Not built with sanitizers, whose own memory would count.
#include "base/process_memory.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/gateway_cluster.h"
#include "gateway/crowd.h"
#include "gateway/logged_gateway_fixture.h"

namespace firvalve {
namespace {

constexpr int kDescriptors = 1024;
constexpr size_t kClients = 900;
constexpr size_t kBytesPerMegabyte = size_t{1024} * 1024;
constexpr size_t kLargeStatementBytes = 95000;  // 126 kB as a message
constexpr const char* kUnansweredStatement = "select 1 /*! silent */";

// The parameter is the limit in MB.
class ProcessMemoryLimit : public LoggedGateway, public testing::WithParamInterface<int> {
 protected:
  ProcessMemoryLimit() : LoggedGateway(6) {}
  void SetUp() override {
    start(deployment_.config(address_, GetParam(), kDescriptors));
    { RawClient first(address_); }  // waits until the program serves
  }
  std::string large_message() const {
    return framed(command_request(1, "select 3 /* " + std::string(kLargeStatementBytes, 'x') + " */"));
  }
  void expect_usual_client_is_served() {
    RawClient usual(address_);
    EXPECT_TRUE(contains(usual.exchange(command_request(1 << 20, "select 2")), R"("result")"));
  }
  void expect_within_limit() {
    const auto memory = read_process_memory(std::to_string(process_->id()));
    ASSERT_TRUE(memory);
    EXPECT_LE(memory->peak_bytes, static_cast<size_t>(GetParam()) * kBytesPerMegabyte);
    process_->signal(SIGTERM);
    EXPECT_EQ(process_->wait(), 0) << log_text();
  }
};

// What hundreds of clients have sent waits when the process gets to run, and none of it has an end.
TEST_P(ProcessMemoryLimit, HoldsWhenUnfinishedMessagesOfAllClientsArriveAtOnce) {
  Crowd crowd(address_, kClients);
  process_->signal(SIGSTOP);
  const std::string message = large_message();
  crowd.write({message.substr(0, message.size() - 5000)}, message.size(), std::chrono::milliseconds(2000));
  process_->signal(SIGCONT);
  ASSERT_TRUE(logs_soon("client messages skipped: memory limit"));
  expect_usual_client_is_served();
  expect_within_limit();
}

TEST_P(ProcessMemoryLimit, HoldsWhenClientsWriteLargeMessagesSlowly) {
  Crowd crowd(address_, kClients);
  const std::string message = large_message();
  crowd.write({message.substr(0, message.size() - 5000)}, 3000, std::chrono::milliseconds(4000));
  ASSERT_TRUE(logs_soon("client messages skipped: memory limit"));
  expect_usual_client_is_served();
  expect_within_limit();
}

// As many commands as the protocol allows on each connection, of a few bytes each.
TEST_P(ProcessMemoryLimit, HoldsWhenAllClientsHaveManySmallCommandsOpen) {
  constexpr int kOpenCalls = 32;
  std::vector<std::string> texts(kClients);
  for (int i = 0; i < static_cast<int>(kClients) * kOpenCalls; ++i)
    texts[static_cast<size_t>(i) / kOpenCalls] +=
        framed(command_request(i + 1, kUnansweredStatement, 4000, "report"));
  Crowd crowd(address_, kClients);
  crowd.write(texts, texts[0].size(), std::chrono::milliseconds(4000));
  ASSERT_TRUE(logs_soon("commands admitted report: "));
  ::usleep(1000000);  // the rest is read
  RawClient usual(address_);
  EXPECT_TRUE(contains(usual.exchange(kHeartbeat), "healthy"));
  expect_within_limit();
}

// Nobody reads the answers, of 44 kB each.
TEST_P(ProcessMemoryLimit, HoldsWhenClientsDoNotReadLargeAnswers) {
  constexpr int kOpenCalls = 8;
  std::vector<std::string> texts(kClients);
  for (int i = 0; i < static_cast<int>(kClients) * kOpenCalls; ++i)
    texts[static_cast<size_t>(i) / kOpenCalls] +=
        framed(command_request(i + 1, "select 1 /*! pages=8 rows=50 row-bytes=100 */"));
  Crowd crowd(address_, kClients);
  crowd.write(texts, texts[0].size(), std::chrono::milliseconds(4000));
  ::usleep(3000000);  // the answers arrive
  RawClient usual(address_);
  EXPECT_TRUE(contains(usual.exchange(kHeartbeat), "healthy"));
  expect_within_limit();
}

// A text whose parsed form is many times its size.
TEST_P(ProcessMemoryLimit, HoldsWhenClientsSendManySmallOrNestedFields) {
  std::string nested = std::string(60000, '[') + std::string(60000, ']');
  std::string fields = R"({"a":1)";
  for (int i = 0; i < 20000; ++i) fields += R"(,"a":1)";
  std::string array = "[1";
  for (int i = 0; i < 60000; ++i) array += ",1";
  Crowd crowd(address_, kClients);
  crowd.write({framed(nested), framed(fields + "}"), framed(array + "]")}, 20000,
              std::chrono::milliseconds(4000));
  ASSERT_TRUE(logs_soon("calls not understood"));
  expect_usual_client_is_served();
  expect_within_limit();
}

// Run-once jobs and changes of topics that wait for a majority which is not there.
TEST(ClusterProcessMemoryLimit, HoldsWhenManyRequestsWaitForTheCluster) {
  constexpr int kOpenCalls = 32;
  constexpr size_t kWaitingClients = 100;
  constexpr int kMegabytes = 32;
  fakes::GatewayCluster cluster(FIRVALVE_PROGRAM,
                                {.gateways = 3, .keepers = 3, .folders = false, .memory_mb = kMegabytes});
  ASSERT_TRUE(soon([&] { return cluster.ready(); }));
  cluster.kill(1);
  cluster.kill(2);
  std::vector<std::string> texts(kWaitingClients);
  const std::string statement = "insert into a_1.b values (" + std::string(kLargeStatementBytes, '1') + ")";
  for (int i = 0; i < static_cast<int>(kWaitingClients) * kOpenCalls; ++i) {
    const std::string name = R"("name":"j)" + std::to_string(i) + R"(","profile":"load",)";
    texts[static_cast<size_t>(i) / kOpenCalls] +=
        framed(command_request(i + 1, statement, 20000, "merge", name));
  }
  Crowd crowd(cluster.clients(0), kWaitingClients);
  crowd.write(texts, 200000, std::chrono::milliseconds(4000));
  RawClient usual(cluster.clients(0));
  EXPECT_TRUE(contains(usual.exchange(kHeartbeat), "healthy"));
  const auto memory = read_process_memory(std::to_string(cluster.process(0).id()));
  ASSERT_TRUE(memory);
  EXPECT_LE(memory->peak_bytes, kMegabytes * kBytesPerMegabyte);
}

INSTANTIATE_TEST_SUITE_P(Megabytes, ProcessMemoryLimit, testing::Values(16, 32),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace firvalve
