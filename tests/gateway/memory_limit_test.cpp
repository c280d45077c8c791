// Clients' requests at the limit on buffered bytes, over real connections: bad clients fill the buffers with
// messages that they do not finish.
#include <gtest/gtest.h>
#include <signal.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway/logged_gateway_fixture.h"

namespace firvalve {
namespace {

constexpr int kMemoryMb = 4;  // of which the buffers may take 40 %
constexpr int kBadClients = 20, kUsualClients = 5;
constexpr size_t kLargeStatementBytes = 95000;  // 126 kB as a message
constexpr size_t kUnfinishedBytes = 10000;
constexpr const char* kSlowStatement = "select 1 /*! delay=1000 */";

std::string id_text(int id) { return R"("id":)" + std::to_string(id) + ","; }

// A client that sends one request whole and most of a second one; finish() sends the rest.
struct TwoRequestClient {
  TwoRequestClient(const std::string& address, int id, const std::string& second_request, size_t unfinished)
      : client(address), first_id(id), second_message(framed(second_request)), unfinished_bytes(unfinished) {
    client.send(command_request(id, kSlowStatement));
    client.send_bytes(second_message.substr(0, second_message.size() - unfinished_bytes));
  }
  void finish() { client.send_bytes(second_message.substr(second_message.size() - unfinished_bytes)); }

  RawClient client;
  const int first_id;
  const std::string second_message;
  const size_t unfinished_bytes;
};

class MemoryLimit : public LoggedGateway {
 protected:
  // Enough engines for all commands at once, so that none is shed for lack of capacity.
  MemoryLimit() : LoggedGateway(6) {}
  void SetUp() override { start(deployment_.config(address_, kMemoryMb)); }
  // Clients that each hold a large message without its end.
  void fill_buffers() {
    const std::string statement = "select 3 /* " + std::string(kLargeStatementBytes, 'x') + " */";
    for (int i = 0; i < kBadClients; ++i, next_id_ += 2)
      bad_.push_back(std::make_unique<TwoRequestClient>(
          address_, next_id_, command_request(next_id_ + 1, statement), kUnfinishedBytes));
    ASSERT_TRUE(logs_soon("memory limit"));
  }
  // Ends the program, whose last log line has the metrics of its whole run.
  void expect_no_call_lost() {
    process_->signal(SIGTERM);
    EXPECT_EQ(process_->wait(), 0);
    EXPECT_FALSE(contains(log_text(), "calls closed without an answer")) << log_text();
  }

  int next_id_ = 1;
  std::vector<std::unique_ptr<TwoRequestClient>> bad_;
};

// Guards against requests that are lost at the memory limit: the gateway closed connections with open calls,
// those of usual clients first, to free the buffers that bad clients had filled.
TEST_F(MemoryLimit, UsualClientsAreServedBesideBadOnes) {
  std::vector<std::unique_ptr<TwoRequestClient>> usual;
  for (int i = 0; i < kUsualClients; ++i, next_id_ += 2)
    usual.push_back(std::make_unique<TwoRequestClient>(address_, next_id_,
                                                       command_request(next_id_ + 1, "select 2"), 50));
  ASSERT_TRUE(soon([&] { return deployment_.started() == kUsualClients; }));
  fill_buffers();
  for (const auto& client : usual) client->finish();
  for (const auto& client : usual)
    for (int i = 0; i < 2; ++i) {
      const std::string answer = client->client.read_answer();
      EXPECT_TRUE(contains(answer, R"("result")")) << answer;
    }
  expect_no_call_lost();
}

// Guards against a dropped message that costs its connection: it gets an error under its own id, the other
// requests of the connection their answers.
TEST_F(MemoryLimit, DroppedMessageIsAnsweredAndItsConnectionGoesOn) {
  fill_buffers();
  for (const auto& client : bad_) client->finish();
  for (const auto& client : bad_) {
    client->client.send(kHeartbeat);
    std::string answers;
    for (int i = 0; i < 3; ++i) answers += client->client.read_answer();
    EXPECT_TRUE(contains(answers, id_text(client->first_id))) << answers;
    EXPECT_TRUE(contains(answers, id_text(client->first_id + 1))) << answers;
    EXPECT_TRUE(contains(answers, "healthy")) << answers;
  }
  expect_no_call_lost();
}

// Guards against lost open calls where a dropped message has no readable id and its connection is rejected.
TEST_F(MemoryLimit, OpenCallsOfRejectedConnectionAreAnswered) {
  const std::string params_first =
      R"({"params":{"bytes":")" + std::string(kLargeStatementBytes, 'A') + R"("},"id":2})";
  std::vector<std::unique_ptr<TwoRequestClient>> clients;
  for (int i = 0; i < kBadClients; ++i, ++next_id_)
    clients.push_back(std::make_unique<TwoRequestClient>(address_, next_id_, params_first, kUnfinishedBytes));
  ASSERT_TRUE(logs_soon("memory"));  // the limit was reached
  for (const auto& client : clients) {
    client->client.half_close();
    const std::string answers = client->client.read_until_close();
    EXPECT_TRUE(contains(answers, id_text(client->first_id))) << answers;
  }
  expect_no_call_lost();
}

TEST_F(MemoryLimit, UseAboveShareOfLimitIsLoggedBeforeTheProcessIsKilled) {
  EXPECT_TRUE(soon([&] { return contains(log_text(), R"(event="gateway.memory_high")"); })) << log_text();
  EXPECT_TRUE(contains(log_text(), "limit_kb=4096")) << log_text();
  EXPECT_TRUE(logs_soon("memory peak kB"));
}

// Guards against a slow reader that loses its answers while others hold messages that nobody is owed.
TEST_F(MemoryLimit, AnswersOfSlowReaderOutliveUnfinishedMessages) {
  RawClient reader(address_);
  reader.send(command_request(next_id_++, kSlowStatement));
  std::thread sender = reader.send_invalid_requests();
  ASSERT_TRUE(logs_soon("calls not understood"));
  fill_buffers();
  EXPECT_TRUE(reader.reads_until(R"("id":1,"result")"));
  reader.close();  // ends the sender
  sender.join();
  expect_no_call_lost();
}

}  // namespace
}  // namespace firvalve
