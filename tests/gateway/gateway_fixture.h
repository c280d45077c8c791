// The program itself, one gateway with a stand-in engine and event bus, spoken to over loopback sockets.
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
#include "gateway/speaking.h"

namespace firvalve {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

inline const Poco::Timespan kConnectTimeout(10, 0);  // of a test, for what comes within milliseconds

inline void send_message(StreamSocket& peer, const std::string& body) {
  const std::string message = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  peer.sendBytes(message.data(), static_cast<int>(message.size()));
}

// The next message with a head and a body of the stated length; empty: the peer has ended.
inline std::string read_message(StreamSocket& peer, std::string& held) {
  for (int waited = 0; waited < 500; ++waited) {
    const size_t head = held.find("\r\n\r\n");
    if (head != std::string::npos) {
      const size_t at = held.find("Content-Length: ");
      const size_t length = at < head ? std::stoul(held.substr(at + 16)) : 0;
      if (held.size() >= head + 4 + length) {
        const std::string message = held.substr(0, head + 4 + length);
        held.erase(0, message.size());
        return message;
      }
    }
    if (!peer.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) continue;
    char bytes[4096];
    const int got = peer.receiveBytes(bytes, sizeof bytes);
    if (got <= 0) return {};
    held.append(bytes, static_cast<size_t>(got));
  }
  return {};
}

class Gateway : public testing::Test {
 protected:
  void SetUp() override { start(fleet_.config(address_)); }
  void start(const std::string& config, std::vector<std::string> arguments = {}) {
    process_.reset();
    config_ = config;
    process_ = std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, config, std::move(arguments), std::string(),
                                                fakes::Process::Ends::kWithItsStarter, environment_);
  }
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
  std::string ask(const std::string& body) {
    StreamSocket client = connect();
    send(client, body);
    std::string held;
    return read_message(client, held);
  }
  fakes::FakeDeployment fleet_{1};
  fakes::FakeEngine& engine_ = fleet_.engine(0);
  std::string address_ = fakes::free_address(), config_;
  std::vector<std::string> environment_;  // of the program, beside this process's own
  std::unique_ptr<fakes::Process> process_;
};

}  // namespace firvalve
