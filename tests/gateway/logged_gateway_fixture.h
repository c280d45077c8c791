// Fixture: runs the real program with its log in a file, and a client that sends raw bytes and notices how
// its connection ends.
#pragma once

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "framed.h"
#include "gateway/request_text.h"
#include "soon.h"

namespace firvalve {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

// A client that sends raw bytes and notices how its connection ends.
class RawClient {
 public:
  // kSmall: of an answer the kernel takes little more than 100 kB that this client has not read.
  enum class KernelBuffers { kDefault, kSmall };

  explicit RawClient(const std::string& address, KernelBuffers buffers = KernelBuffers::kDefault) {
    for (int tries = 0;; ++tries) {
      try {
        socket_ = StreamSocket(SocketAddress::IPv4);
        if (buffers == KernelBuffers::kSmall) {
          socket_.setReceiveBufferSize(4096);
          socket_.setOption(IPPROTO_TCP, TCP_MAXSEG, 536);  // also keeps the gateway's send buffer small
        }
        socket_.connect(SocketAddress(address), Poco::Timespan(10, 0));
        return;
      } catch (const Poco::Exception&) {
        if (tries == 1000) throw;
        ::usleep(10000);
      }
    }
  }
  void send_bytes(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  // Stops at the time, also if the gateway does not read.
  void send_bytes_until(const std::string& bytes, std::chrono::steady_clock::time_point until) {
    size_t sent = 0;
    while (sent < bytes.size() && std::chrono::steady_clock::now() < until) {
      const ssize_t count = ::send(socket_.impl()->sockfd(), bytes.data() + sent, bytes.size() - sent,
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0)
        sent += static_cast<size_t>(count);
      else if (errno == EAGAIN)
        ::usleep(1000);
      else
        return;
    }
  }
  void send(const std::string& body) { send_bytes(framed(body)); }
  std::string exchange(const std::string& body) {
    send(body);
    return read_answer();
  }
  void half_close() { socket_.shutdownSend(); }
  void close() { socket_.shutdown(); }  // in both directions; another thread may be sending
  // Reads until the gateway closes the connection; sets `was_reset` if it was reset.
  std::string read_until_close() {
    std::string all;
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    char bytes[4096];
    for (;;) {
      const ssize_t got = ::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, 0);
      if (got < 0) was_reset = errno == ECONNRESET;
      if (got <= 0) return all;
      all.append(bytes, static_cast<size_t>(got));
    }
  }
  // Returns the next complete answer.
  std::string read_answer() {
    std::string all;
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
    char byte;
    while (::recv(socket_.impl()->sockfd(), &byte, 1, 0) == 1) {
      all += byte;
      const size_t head = all.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      if (all.size() == head + 4 + std::stoul(all.substr(all.find(": ") + 2))) return all;
    }
    return all;
  }
  // Reads until `text` has arrived; false: the connection has ended before, or nothing came in time.
  bool reads_until(const std::string& text) {
    socket_.setReceiveTimeout(Poco::Timespan(20, 0));
    std::string tail;
    char bytes[65536];
    while (!contains(tail, text)) {
      if (tail.size() > text.size()) tail.erase(0, tail.size() - text.size());
      const ssize_t got = ::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, 0);
      if (got <= 0) return false;
      tail.append(bytes, static_cast<size_t>(got));
    }
    return true;
  }
  // Sends many invalid requests, until the connection ends. Their answers fill the connection if they are not
  // read.
  std::thread send_invalid_requests() {
    return std::thread([this] {
      std::string requests;
      for (int i = 0; i < 200000; ++i) requests += "Content-Length: 2\r\n\r\n{}";
      try {
        send_bytes(requests);
      } catch (const Poco::Exception&) {
      }
    });
  }
  bool was_reset = false;

 private:
  StreamSocket socket_;
};

inline constexpr const char* kHeartbeat = R"({"jsonrpc":"2.0","id":9,"method":"heartbeat","params":{}})";

class LoggedGateway : public testing::Test {
 protected:
  explicit LoggedGateway(int engines = 1) : deployment_(engines) {}
  void start(const std::string& config) {
    log_ = "gateway-" + std::to_string(::getpid()) + "-" +
           testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
    std::replace(log_.begin(), log_.end(), '/', '-');  // of a parameterized test's name
    std::remove(log_.c_str());
    process_ = std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, config, std::vector<std::string>{}, log_);
  }
  ~LoggedGateway() override {
    process_.reset();
    std::remove(log_.c_str());
  }
  std::string log_text() const {
    std::stringstream all;
    all << std::ifstream(log_).rdbuf();
    return all.str();
  }
  // Whether the program's log, including the metrics that it writes on SIGUSR1, soon contains `text`.
  bool logs_soon(const std::string& text) {
    return soon([&] {
      process_->signal(SIGUSR1);
      return contains(log_text(), text);
    });
  }

  fakes::FakeDeployment deployment_;
  fakes::FakeEngine& engine_ = deployment_.engine(0);
  std::string address_ = fakes::free_address(), log_;
  std::unique_ptr<fakes::Process> process_;
};

}  // namespace firvalve
