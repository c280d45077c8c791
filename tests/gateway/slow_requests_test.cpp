// Requests that are written slowly or wait unread, and the timeouts of their connections, over real
// connections.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "gateway/logged_gateway_fixture.h"

namespace firvalve {
namespace {

constexpr int kPieces = 12;

using Milliseconds = std::chrono::milliseconds;

void wait(Milliseconds time) { ::usleep(static_cast<useconds_t>(std::chrono::microseconds(time).count())); }

// Writes the message in pieces, the last of them `duration` after the first.
void send_slowly(RawClient& client, const std::string& message, Milliseconds duration) {
  for (int i = 0; i < kPieces; ++i) {
    if (i > 0) wait(duration / (kPieces - 1));
    const size_t from = message.size() * static_cast<size_t>(i) / kPieces;
    const size_t to = message.size() * static_cast<size_t>(i + 1) / kPieces;
    client.send_bytes(message.substr(from, to - from));
  }
}

class SlowRequests : public LoggedGateway {
 protected:
  void SetUp() override { start(deployment_.config(address_)); }
};

// Guards against a request that is read in part, cut off by the idle timeout and never answered.
TEST_F(SlowRequests, RequestWrittenSlowlyAfterARestIsAnswered) {
  RawClient client(address_);
  ASSERT_TRUE(contains(client.exchange(command_request(1, "select 1")), R"("result")"));
  wait(Milliseconds(3800));  // clients may rest for 4 s
  send_slowly(client, framed(command_request(2, "select 2")), Milliseconds(1200));
  const std::string answer = client.read_answer();
  EXPECT_TRUE(contains(answer, R"("id":2,"result")")) << answer;
}

// Guards against a new connection that is closed under its first request.
TEST_F(SlowRequests, FirstRequestBegunLateIsAnswered) {
  RawClient client(address_);
  wait(Milliseconds(1700));
  send_slowly(client, framed(command_request(1, "select 1")), Milliseconds(800));
  const std::string answer = client.read_answer();
  EXPECT_TRUE(contains(answer, R"("id":1,"result")")) << answer;
}

// Guards against a request that has arrived whole and is dropped by the idle timeout, because it waits in the
// gateway until its client reads the answers before it.
TEST_F(SlowRequests, RequestBehindUnreadAnswersIsAnswered) {
  constexpr int kLongAnswers = 8;
  RawClient client(address_, RawClient::KernelBuffers::kSmall);
  for (int id = 1; id <= kLongAnswers; ++id)
    client.send(
        command_request(id, "select " + std::to_string(id) + " /*! pages=8 rows=1 row-bytes=5000 */"));
  ASSERT_TRUE(logs_soon("answered lookup: " + std::to_string(kLongAnswers)));
  client.send(command_request(kLongAnswers + 1, "select 9"));
  wait(Milliseconds(6000));  // longer than an idle connection stays open
  std::string answers;
  for (int id = 1; id <= kLongAnswers + 1; ++id) answers += client.read_answer();
  EXPECT_TRUE(contains(answers, R"("id":9,"result")")) << answers.size();
}

// Guards against a request that was begun before the gateway was told to end and is cut off by the shutdown.
TEST_F(SlowRequests, RequestWrittenSlowlyDuringShutdownIsAnswered) {
  RawClient client(address_);
  ASSERT_TRUE(contains(client.exchange(command_request(1, "select 1")), R"("result")"));
  const auto told_at = std::chrono::steady_clock::now();
  process_->signal(SIGTERM);
  wait(Milliseconds(300));
  send_slowly(client, framed(command_request(2, "select 2")), Milliseconds(1200));
  const std::string answer = client.read_until_close();
  EXPECT_TRUE(contains(answer, R"("id":2,"result")")) << answer;
  EXPECT_EQ(process_->wait(), 0);
  EXPECT_LT(std::chrono::steady_clock::now() - told_at, Milliseconds(3700));  // when SIGKILL may come
}

// Guards against clients that stop within a message and keep their connection.
TEST_F(SlowRequests, ClientThatStopsWithinAMessageIsRejectedWithinThreeSeconds) {
  RawClient client(address_);
  const auto connected_at = std::chrono::steady_clock::now();
  client.send_bytes(framed(command_request(1, "select 1")).substr(0, 100));
  EXPECT_TRUE(contains(client.read_until_close(), "message cut short"));
  EXPECT_LT(std::chrono::steady_clock::now() - connected_at, std::chrono::seconds(3));
}

}  // namespace
}  // namespace firvalve
