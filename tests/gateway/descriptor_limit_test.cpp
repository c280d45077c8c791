// Clients' requests at the limit on descriptors, over real connections: idle clients take all descriptors.
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "gateway/logged_gateway_fixture.h"

namespace firvalve {
namespace {

constexpr int kMemoryMb = 192, kDescriptors = 64;
constexpr int kIdleClients = 200;

class DescriptorLimit : public LoggedGateway {
 protected:
  void SetUp() override { start(deployment_.config(address_, kMemoryMb, kDescriptors)); }
  void connect_idle_clients() {
    for (int i = 0; i < kIdleClients; ++i) {
      idle_.push_back(std::make_unique<StreamSocket>());
      idle_.back()->connectNB(SocketAddress(address_));
    }
    ASSERT_TRUE(logs_soon("client connections evicted"));
    EXPECT_TRUE(contains(RawClient(address_).exchange(kHeartbeat), "healthy"));  // all before it are accepted
  }

  std::vector<std::unique_ptr<StreamSocket>> idle_;
};

// Guards against a request that is lost while its client writes it: idle connections are evicted before it.
TEST_F(DescriptorLimit, SlowlyWrittenRequestOutlivesIdleConnections) {
  RawClient writer(address_);
  const std::string request = framed(command_request(1, "select 1"));
  writer.send_bytes(request.substr(0, 100));
  connect_idle_clients();
  writer.send_bytes(request.substr(100));
  const std::string answer = writer.read_answer();
  EXPECT_TRUE(contains(answer, R"("result")")) << answer;
}

// Guards against answers that are cut off because no call is open any more: the connection is not idle until
// they have been sent.
TEST_F(DescriptorLimit, UnreadAnswersOutliveIdleConnections) {
  constexpr int kRequests = 3;
  RawClient reader(address_, RawClient::KernelBuffers::kSmall);
  for (int id = 1; id <= kRequests; ++id)
    reader.send(
        command_request(id, "select " + std::to_string(id) + " /*! pages=8 rows=1 row-bytes=5000 */"));
  ASSERT_TRUE(logs_soon("answered lookup: " + std::to_string(kRequests)));
  ::usleep(500000);  // until the kernel's buffers are full and the connection has been inactive for longest
  connect_idle_clients();
  for (int id = 1; id <= kRequests; ++id) {
    const std::string answer = reader.read_answer();
    EXPECT_TRUE(contains(answer, R"("result")")) << answer.substr(0, 100);
  }
}

}  // namespace
}  // namespace firvalve
