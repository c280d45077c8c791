// Tests of the accept loop: queueing, the limit on descriptors, and closing.
#include "net/listener.h"

#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/fake_deployment.h"

namespace firvalve::net {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr size_t kMaxBufferedBytes = 1 << 20;

class ListenerTest : public testing::Test {
 protected:
  void SetUp() override {
    address_ = fakes::free_address();
    listener_.listen(address_);
  }
  StreamSocket connect() const { return StreamSocket(SocketAddress(address_)); }

  Loop loop_;
  std::vector<StreamSocket> accepted_;
  std::string address_;
  Listener listener_{loop_, true, [this](const StreamSocket& socket) { accepted_.push_back(socket); }};
};

TEST_F(ListenerTest, AcceptsAllQueuedConnections) {
  const StreamSocket first = connect(), second = connect();
  listener_.accept_pending();
  ASSERT_EQ(accepted_.size(), 2u);
  EXPECT_EQ(accepted_[0].peerAddress(), first.address());
  EXPECT_EQ(accepted_[1].peerAddress(), second.address());
}

TEST_F(ListenerTest, LeavesConnectionsQueuedWithoutFreeDescriptor) {
  loop_.set_limits(0, kMaxBufferedBytes);
  const StreamSocket client = connect();
  listener_.accept_pending();
  EXPECT_TRUE(accepted_.empty());
  loop_.set_limits(10, kMaxBufferedBytes);
  listener_.resume();
  listener_.accept_pending();
  EXPECT_EQ(accepted_.size(), 1u);
}

TEST_F(ListenerTest, RefusesConnectionsAfterClose) {
  listener_.pause();
  listener_.close();
  EXPECT_THROW(connect(), Poco::Exception);
}

}  // namespace
}  // namespace firvalve::net
