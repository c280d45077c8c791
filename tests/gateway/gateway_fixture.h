// Fixture: runs the real program as one gateway with a fake engine and a fake event bus, over loopback
// sockets.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "framed.h"
#include "gateway/request_text.h"

namespace firvalve {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

inline const Poco::Timespan kConnectTimeout(10, 0);  // generous: a connect takes milliseconds

inline void send_message(StreamSocket& peer, const std::string& body) {
  const std::string message = framed(body);
  peer.sendBytes(message.data(), static_cast<int>(message.size()));
}

// Returns the next complete message: its header and a body of the length given there. Bytes that follow stay
// in `read_buffer`. Empty: the peer has closed the connection, or no complete message came in time.
inline std::string read_message(StreamSocket& peer, std::string& read_buffer) {
  for (int polls = 0; polls < 500; ++polls) {
    const size_t header_end = read_buffer.find("\r\n\r\n");
    if (header_end != std::string::npos) {
      const size_t at = read_buffer.find("Content-Length: ");
      const size_t length = at < header_end ? std::stoul(read_buffer.substr(at + 16)) : 0;
      if (read_buffer.size() >= header_end + 4 + length) {
        const std::string message = read_buffer.substr(0, header_end + 4 + length);
        read_buffer.erase(0, message.size());
        return message;
      }
    }
    if (!peer.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) continue;
    char bytes[4096];
    const int got = peer.receiveBytes(bytes, sizeof bytes);
    if (got <= 0) return {};
    read_buffer.append(bytes, static_cast<size_t>(got));
  }
  return {};
}

class Gateway : public testing::Test {
 protected:
  void SetUp() override { start(deployment_.config(address_)); }
  void start(const std::string& config, std::vector<std::string> arguments = {}) {
    process_.reset();
    config_ = config;
    process_ = std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, config, std::move(arguments), std::string(),
                                                fakes::Process::Ends::kWithItsStarter, environment_);
  }
  // Retries until the program listens.
  StreamSocket connect() {
    for (int tries = 0;; ++tries) {
      try {
        StreamSocket client;
        client.connect(SocketAddress(address_), kConnectTimeout);
        return client;
      } catch (const Poco::Exception&) {
        if (tries == 1000) throw;
        ::usleep(10000);
      }
    }
  }
  static void send(StreamSocket& client, const std::string& body) { send_message(client, body); }
  // Sends a request on a new connection and returns the answer.
  std::string exchange(const std::string& body) {
    StreamSocket client = connect();
    send(client, body);
    std::string read_buffer;
    return read_message(client, read_buffer);
  }
  fakes::FakeDeployment deployment_{1};
  fakes::FakeEngine& engine_ = deployment_.engine(0);
  std::string address_ = fakes::free_address(), config_;
  std::vector<std::string> environment_;  // of the program, in addition to this process's environment
  std::unique_ptr<fakes::Process> process_;
};

}  // namespace firvalve
