// Tests of the limit on buffered bytes that all connections of a loop share.
#include "net/loop.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_deployment.h"
#include "net/connection.h"
#include "net/listener.h"

namespace firvalve::net {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr size_t kMaxBufferedBytes = 100000;
constexpr int kMaxDescriptors = 100;

// Buffers all that it receives.
class BufferingConnection : public Connection {
 public:
  BufferingConnection(Loop& loop, const StreamSocket& socket, Kind kind, bool is_evictable)
      : Connection(loop, socket, kind), is_evictable_(is_evictable) {}
  bool is_evictable() const override { return is_evictable_; }
  void evict(EvictionReason) override { close(); }
  size_t received_bytes() const { return read_buffer_.text().size(); }

 protected:
  void on_bytes() override {}
  void on_end(End) override {}

 private:
  const bool is_evictable_;
};

class LoopTest : public testing::Test {
 protected:
  void SetUp() override {
    loop_.set_limits(kMaxDescriptors, kMaxBufferedBytes);
    address_ = fakes::free_address();
    listener_.listen(address_);
  }
  // Accepts a connection whose peer has sent `bytes` bytes.
  BufferingConnection& add_connection(Connection::Kind kind, bool is_evictable, size_t bytes) {
    peers_.emplace_back(SocketAddress(address_));
    listener_.accept_pending();
    connections_.push_back(
        std::make_unique<BufferingConnection>(loop_, accepted_.back(), kind, is_evictable));
    const std::string text(bytes, 'x');
    peers_.back().sendBytes(text.data(), static_cast<int>(bytes));
    return *connections_.back();
  }
  // Runs turns of the loop until all bytes have been read or their connections closed.
  void run_until_read(size_t expected_bytes) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    loop_.on_turn = [&, expected_bytes](TimePoint now) -> std::optional<TimePoint> {
      size_t received = 0;
      bool has_closed = false;
      for (const auto& connection : connections_) {
        received += connection->received_bytes();
        has_closed |= !connection->is_open();
      }
      if (has_closed || received == expected_bytes || std::chrono::steady_clock::now() > give_up_at)
        loop_.stop();
      return now;
    };
    loop_.run();
  }

  Loop loop_;
  std::string address_;
  std::vector<StreamSocket> accepted_, peers_;
  std::vector<std::unique_ptr<BufferingConnection>> connections_;
  Listener listener_{loop_, false, [this](const StreamSocket& socket) { accepted_.push_back(socket); }};
};

// Guards against clients that pay for the memory of a peer that has not identified itself.
TEST_F(LoopTest, EvictableConnectionThatHoldsMostIsClosedBeforeClients) {
  const auto& client = add_connection(Connection::Kind::kClient, false, 1000);
  const auto& stranger = add_connection(Connection::Kind::kTcp, true, kMaxBufferedBytes);
  run_until_read(1000 + kMaxBufferedBytes);
  EXPECT_TRUE(client.is_open());
  EXPECT_FALSE(stranger.is_open());
}

// Guards against requests of a client that has left: its end was noticed only behind all that it had sent.
TEST_F(LoopTest, EndOfThePeersStreamIsSeenBehindUnreadBytes) {
  const auto& ended = add_connection(Connection::Kind::kClient, false, 1000);
  peers_.back().shutdownSend();
  const auto& open = add_connection(Connection::Kind::kClient, false, 1000);
  EXPECT_TRUE(ended.has_peer_ended());
  EXPECT_FALSE(open.has_peer_ended());
  EXPECT_FALSE(ended.has_nothing_to_read());
}

// Guards against memory that grows while a peer reads all that it is sent, but never empties the buffer.
TEST_F(LoopTest, SentBytesAreFreedWhileOthersWait) {
  constexpr size_t kUnsentBytes = 1000000, kTotalBytes = size_t{50} * kUnsentBytes;
  auto& connection = add_connection(Connection::Kind::kTcp, false, 1);
  accepted_.back().setSendBufferSize(50000);  // less than is unsent, so that some always waits
  StreamSocket& peer = peers_.back();
  peer.setBlocking(false);
  size_t written = 0, most_buffered = 0;
  loop_.on_turn = [&](TimePoint now) -> std::optional<TimePoint> {
    std::array<char, 65536> bytes{};
    ::recv(peer.impl()->sockfd(), bytes.data(), bytes.size(), 0);
    while (connection.unsent_bytes() < kUnsentBytes) {
      connection.write(std::string(1000, 'x'));
      written += 1000;
    }
    most_buffered = std::max(most_buffered, connection.buffered_bytes());
    if (written > kTotalBytes) loop_.stop();
    return now;
  };
  loop_.run();
  EXPECT_LT(most_buffered, size_t{4} * kUnsentBytes);
}

TEST_F(LoopTest, ConnectionInUseIsNotClosedForMemory) {
  const auto& peer = add_connection(Connection::Kind::kTcp, false, 2 * kMaxBufferedBytes);
  run_until_read(2 * kMaxBufferedBytes);
  EXPECT_TRUE(peer.is_open());
  EXPECT_EQ(peer.received_bytes(), 2 * kMaxBufferedBytes);
}

}  // namespace
}  // namespace firvalve::net
