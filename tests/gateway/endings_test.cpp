// What is still owed when something ends, through real connections: each test forces the bad order by holding
// the program still (SIGSTOP), by a pipe that it must read, or by a door that opens late.
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "gateway/speaking.h"
#include "net/signals.h"
#include "soon.h"

namespace firvalve {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

class Client {
 public:
  explicit Client(const std::string& address) {
    for (int tries = 0;; ++tries) {
      try {
        socket_.connect(SocketAddress(address), Poco::Timespan(10, 0));
        return;
      } catch (const Poco::Exception&) {
        if (tries == 1000) throw;
        ::usleep(10000);
      }
    }
  }
  void say(const std::string& bytes) { socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
  void send(const std::string& body) {
    say("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void end_stream() { socket_.shutdownSend(); }
  // All that it is told until the gateway's end; `reset` says how that came.
  std::string rest() {
    std::string all;
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    char bytes[4096];
    for (;;) {
      const ssize_t got = ::recv(socket_.impl()->sockfd(), bytes, sizeof bytes, 0);
      if (got < 0) reset = errno == ECONNRESET;
      if (got <= 0) return all;
      all.append(bytes, static_cast<size_t>(got));
    }
  }
  // The next answer, whole.
  std::string answer() {
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
  bool reset = false;

 private:
  StreamSocket socket_;
};

constexpr const char* kHeartbeat = R"({"jsonrpc":"2.0","id":9,"method":"heartbeat","params":{}})";

class Endings : public testing::Test {
 protected:
  void start(const std::string& config) {
    log_ = "endings-" + std::to_string(::getpid()) + "-" +
           testing::UnitTest::GetInstance()->current_test_info()->name() + ".log";
    std::remove(log_.c_str());
    process_ = std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, config, std::vector<std::string>{}, log_);
  }
  ~Endings() override {
    process_.reset();
    std::remove(log_.c_str());
  }
  // Whether the program has counted so, by its own word.
  bool counted(const std::string& what) {
    return soon([&] {
      process_->signal(SIGUSR1);
      std::stringstream all;
      all << std::ifstream(log_).rdbuf();
      return has(all.str(), what);
    });
  }

  fakes::FakeDeployment fleet_{1};
  fakes::FakeEngine& engine_ = fleet_.engine(0);
  std::string address_ = fakes::free_address(), log_, client_says_;
  std::unique_ptr<fakes::Process> process_;
};

// A client that has closed while its command waited looks like one that has only ended its stream: it is told
// at once that nothing ran, and nothing runs for it, not even once there is an engine.
TEST_F(Endings, NothingIsSentForAClientThatClosedWhileItsCommandWaited) {
  start(with(fleet_.config(address_), "SERVING", "DRAINING"));
  Client closed(address_);
  closed.send(command(1, "select 1", 20000, "report"));
  closed.end_stream();
  EXPECT_TRUE(has(closed.rest(), R"("id":1,"error":{"code":-32001)"));  // at once, not with its patience
  fleet_.bus().announce(fakes::listing(fleet_.name_of(0), engine_.address(), "SERVING"));
  Client there(address_);
  there.send(command(2, "select 2"));
  EXPECT_TRUE(has(there.answer(), R"("result")"));
  EXPECT_EQ(engine_.runs("select 1"), 0);
}

// Nor a further time: its first send ends badly after the client's end.
TEST_F(Endings, NothingIsSentAgainForAClientThatClosedWhileItsCommandRan) {
  start(with(fleet_.config(address_), R"("try_limit":1)", R"("try_limit":5)"));
  const std::string statement = "select 1 /*! delay=300 status=500 */";
  Client closed(address_);
  closed.send(command(1, statement));
  ASSERT_TRUE(soon([&] { return engine_.runs(statement) == 1; }));
  closed.end_stream();
  EXPECT_TRUE(has(closed.rest(), R"("id":1,"error")"));
  EXPECT_EQ(engine_.runs(statement), 1);
}

// A door that opens late: connections wait in the system until there is room behind it.
class LateDoor {
 public:
  LateDoor() {
    socket_.bind(SocketAddress("127.0.0.1", 0), true);
    socket_.listen(0);
    for (int i = 0; i < 4; ++i) {  // what fills it; more than it holds
      StreamSocket& one = filling_.emplace_back();
      one.connectNB(socket_.address());
    }
  }
  std::string address() const { return socket_.address().toString(); }
  // Lets everything in; true: of a connection that is not its own, some byte came before its end.
  bool open_and_hear() {
    for (int i = 0; i < 400; ++i) {
      if (!socket_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) continue;
      SocketAddress from;
      StreamSocket in = socket_.acceptConnection(from);
      bool own = false;
      for (StreamSocket& one : filling_) own |= one.address() == from;
      if (own) continue;
      in.setReceiveTimeout(Poco::Timespan(10, 0));
      char byte;
      return ::recv(in.impl()->sockfd(), &byte, 1, 0) == 1;
    }
    ADD_FAILURE() << "nobody came";
    return true;
  }

 private:
  Poco::Net::ServerSocket socket_;
  std::vector<StreamSocket> filling_;
};

class LateStarts : public Endings {
 protected:
  void start_behind_door() {
    std::string config = fleet_.config(address_);
    config = with(config, engine_.address(), door_.address());
    start(with(config, R"("dial_timeout":250000000)", R"("dial_timeout":9000000000)"));
  }
  LateDoor door_;
};

TEST_F(LateStarts, AStartIsNotWrittenToAnEngineThatHasBegunToDrainMeanwhile) {
  start_behind_door();
  Client client(address_);
  client.send(command(1, "select 1", 20000, "report"));
  ASSERT_TRUE(counted("engine connections: 1"));
  fleet_.bus().announce(fakes::listing(fleet_.name_of(0), door_.address(), "DRAINING"));
  ASSERT_TRUE(counted("bus events: 1"));
  process_->signal(SIGTERM);  // it ends in its time, and its connection with it
  EXPECT_FALSE(door_.open_and_hear());
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(LateStarts, AStartIsNotWrittenForAClientThatHasClosedMeanwhile) {
  start_behind_door();
  Client client(address_);
  client.send(command(1, "select 1", 20000, "report"));
  ASSERT_TRUE(counted("engine connections: 1"));
  client.end_stream();
  process_->signal(SIGTERM);
  EXPECT_FALSE(door_.open_and_hear());
  EXPECT_TRUE(has(client.rest(), R"("id":1,"error")"));
  EXPECT_EQ(process_->wait(), 0);
}

// An answer already written must not be lost with what the client went on saying.
TEST_F(Endings, ACloseOverUnreadBytesResetsNobody) {
  start(fleet_.config(address_));
  Client client(address_);
  client.send(command(1, "select 1 /*! silent */"));
  ASSERT_TRUE(soon([&] { return engine_.started() == 1; }));
  client.say("Length: 1\r\n\r\n" + std::string(100000, 'x'));
  const std::string all = client.rest();
  EXPECT_TRUE(has(all, R"("id":null,"error":{"code":-32700)")) << all;
  EXPECT_TRUE(has(all, R"("id":1,"error")")) << all;
  EXPECT_FALSE(client.reset);
}

// What lies in the system at the exit, a connection not accepted and its request not read, is still answered.
TEST_F(Endings, WhatComesInTheInstantOfTheExitIsAnswered) {
  start(fleet_.config(address_));
  { Client first(address_); }  // it serves
  process_->signal(SIGTERM);
  ASSERT_TRUE(counted("gateway.shutdown_started"));
  process_->signal(SIGSTOP);
  Client late(address_);
  late.send(command(1, "select 1"));
  ::usleep(800000);  // so that all its times for the end are over once it goes on
  process_->signal(SIGCONT);
  EXPECT_TRUE(has(late.rest(), R"("id":1,"result")"));
  EXPECT_FALSE(late.reset);
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(Endings, AClientThatDoesNotReadDoesNotKeepTheProcess) {
  std::string config = fleet_.config(address_);
  for (const char* const deadline : {"4000000000", "20000000000", "20000000000"})
    config = with(config, std::string(R"("deadline":)") + deadline, R"("deadline":1000000000)");
  start(config);
  Client client(address_);
  for (int i = 0; i < 200000; ++i) client_says_ += "Content-Length: 2\r\n\r\n{}";
  // Its errors fill the way back; what it says is bounded by the system's own buffers.
  std::thread talk([&] {
    try {
      client.say(client_says_);
    } catch (const Poco::Exception&) {
    }
  });
  ASSERT_TRUE(counted("calls not understood"));
  const auto began = std::chrono::steady_clock::now();
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
  // SIGKILL may come after 1.7 s; an idle client's own end, which would let it go too, after 4.5 s.
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(4));
  talk.join();
}

// While its configuration is being read: the program waits on the other end of this pipe.
TEST_F(Endings, ASignalBeforeItServesDoesNotEndIt) {
  start("{");
  EXPECT_EQ(process_->wait(), 1);
  const std::string path = process_->config_path();
  std::remove(path.c_str());
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  process_->start();
  const int pipe = ::open(path.c_str(), O_WRONLY);  // returns once the program has opened it
  ASSERT_GE(pipe, 0);
  process_->signal(SIGHUP);
  const std::string config = fleet_.config(address_);
  ASSERT_EQ(::write(pipe, config.data(), config.size()), static_cast<ssize_t>(config.size()));
  // For the SIGHUP that is heard once it serves. It takes the pipe's place before the pipe ends: the program
  // may read its configuration again as soon as it has seen that end, and would wait for ever on a pipe that
  // nobody writes to.
  const std::string next = path + ".next";
  std::ofstream(next) << config;
  ASSERT_EQ(std::rename(next.c_str(), path.c_str()), 0);
  ::close(pipe);
  Client client(address_);
  client.send(kHeartbeat);
  EXPECT_TRUE(has(client.answer(), "healthy"));
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
}

// FaultProxy the last turn and the end of the process.
TEST(Signals, ASecondOneDuringTheExitDoesNotChangeItsCode) {
  testing::GTEST_FLAG(death_test_style) = "threadsafe";
  EXPECT_EXIT(
      {
        net::Loop loop;
        {
          net::Signals signals(loop, [](int) {});
        }
        for (const int number : {SIGTERM, SIGHUP, SIGINT, SIGUSR1}) ::raise(number);
        ::_exit(0);
      },
      testing::ExitedWithCode(0), "");
}

// What a gateway knows at its start may be out of date: however long a connection may take, the bus is asked
// at once.
TEST_F(Endings, TheBusIsAskedAtOnceWhateverTheConnectTimeOut) {
  std::string config =
      with(fleet_.config(address_), R"("dial_timeout":250000000)", R"("dial_timeout":3600000000000)");
  start(with(config, R"("settings":{)", R"("settings":{"rules":{"stop_sending_within":250000000},)"));
  EXPECT_TRUE(soon([&] { return fleet_.bus().asked_from().size() == 1; }));
}

// Another customer's times: an idle close under our own slack, a connect time-out of nothing.
TEST_F(Endings, ShortTimesOfTheSettingsLeaveConnectionsUsable) {
  std::string config =
      with(fleet_.config(address_), R"("conn_idle":15000000000)", R"("conn_idle":1900000000)");
  start(with(config, R"("dial_timeout":250000000)", R"("dial_timeout":0)"));
  Client client(address_);
  for (int id = 1; id <= 3; ++id) {
    client.send(command(id, "select 1"));
    EXPECT_TRUE(has(client.answer(), R"("result")"));
  }
  EXPECT_TRUE(counted("engine connections: 1;"));
}

// Idle clients in every descriptor, and no event bus since the start: a health check is answered and a
// command served, and the bus is followed once it is there.
TEST_F(Endings, IdleClientsMayFillTheDescriptorsWhileDiscoveryIsDown) {
  const std::string bus = fakes::free_address();
  start(with(fleet_.config(address_, 192, 64), fleet_.bus().address(), bus));
  { Client first(address_); }  // it serves
  std::vector<std::unique_ptr<StreamSocket>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<StreamSocket>());
    idle.back()->connectNB(SocketAddress(address_));
  }
  Client health(address_);
  health.send(kHeartbeat);
  EXPECT_TRUE(has(health.answer(), "healthy"));
  health.send(command(1, "select 1"));
  EXPECT_TRUE(has(health.answer(), R"("result")"));
  Poco::Net::ServerSocket listener;
  listener.bind(SocketAddress(bus), true);
  listener.listen(8);
  ASSERT_TRUE(listener.poll(Poco::Timespan(10, 0), Poco::Net::Socket::SELECT_READ));
  StreamSocket follower = listener.acceptConnection();
  char bytes[16];
  EXPECT_EQ(std::string(bytes, static_cast<size_t>(follower.receiveBytes(bytes, sizeof bytes))), "from 1\n");
}

}  // namespace
}  // namespace firvalve
