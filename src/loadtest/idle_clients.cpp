// Opens idle client connections and checks which of them the gateway has closed.
#include "loadtest/idle_clients.h"

#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "loadtest/parts.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::loadtest {
namespace {

const Poco::Timespan kAnswerWithin(2, 0);
constexpr size_t kAnswerMost = 1024;  // bytes of a heartbeat's answer

}  // namespace

IdleClients::IdleClients(const std::string& gateway, int count) {
  const Poco::Net::SocketAddress address(gateway);
  std::string heartbeat;
  proto::append_heartbeat(heartbeat, 1);
  try {
    for (int i = 0; i < count; ++i) {
      Poco::Net::StreamSocket& socket = sockets_.emplace_back();
      socket.connect(address, kAnswerWithin);
      socket.setReceiveTimeout(kAnswerWithin);
      socket.sendBytes(heartbeat.data(), static_cast<int>(heartbeat.size()));
    }
    std::array<char, kAnswerMost> answer{};
    for (Poco::Net::StreamSocket& socket : sockets_)
      if (socket.receiveBytes(answer.data(), static_cast<int>(answer.size())) <= 0)
        throw ScaleError("a gateway closed an idle connection before its time");
  } catch (const Poco::Exception& error) {
    throw ScaleError(
        fmt::format("client connection {} of {}: {}", sockets_.size(), count, error.displayText()));
  }
}

int IdleClients::still_open() const {
  const auto is_open = [](const Poco::Net::StreamSocket& socket) {
    return !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);  // readable: closed
  };
  return static_cast<int>(std::count_if(sockets_.begin(), sockets_.end(), is_open));
}

}  // namespace firvalve::loadtest
