// Calls and connections at the moment when a client closes, an engine drains or the program starts or exits,
// over real connections. The tests force the unfavourable order of events with SIGSTOP, with a pipe as
// configuration file or with a listener whose backlog is full.
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

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include "gateway/logged_gateway_fixture.h"
#include "net/signals.h"

namespace firvalve {
namespace {

class LifecycleFaults : public LoggedGateway {};

// A closed connection cannot be distinguished from a half-closed one. Either way the gateway answers at once
// that the waiting command did not run, and does not send it later, when an engine becomes available.
TEST_F(LifecycleFaults, WaitingCommandOfClosedClientIsNotSent) {
  start(replace_first(deployment_.config(address_), "SERVING", "DRAINING"));
  RawClient closed(address_);
  closed.send(command_request(1, "select 1", 20000, "report"));
  closed.half_close();
  // The error arrives at once, not after the timeout.
  EXPECT_TRUE(contains(closed.read_until_close(), R"("id":1,"error":{"code":-32001)"));
  deployment_.bus().announce(fakes::listing(deployment_.name_of(0), engine_.address(), "SERVING"));
  RawClient open(address_);
  open.send(command_request(2, "select 2"));
  EXPECT_TRUE(contains(open.read_answer(), R"("result")"));
  EXPECT_EQ(engine_.runs("select 1"), 0);
}

// The first attempt fails after the client has closed; the gateway must not retry it.
TEST_F(LifecycleFaults, RunningCommandOfClosedClientIsNotRetried) {
  start(replace_first(deployment_.config(address_), R"("try_limit":1)", R"("try_limit":5)"));
  const std::string statement = "select 1 /*! delay=300 status=500 */";
  RawClient closed(address_);
  closed.send(command_request(1, statement));
  ASSERT_TRUE(soon([&] { return engine_.runs(statement) == 1; }));
  closed.half_close();
  EXPECT_TRUE(contains(closed.read_until_close(), R"("id":1,"error")"));
  EXPECT_EQ(engine_.runs(statement), 1);
}

// A new process that is listed at the address of one that has gone must not be taken for it: what may have
// run there is not started here, and nothing is awaited here that was started there.
TEST_F(LifecycleFaults, NewEngineAtTheAddressOfOneThatIsGoneIsNotTakenForIt) {
  start(replace_first(deployment_.config(address_), R"("try_limit":1)", R"("try_limit":3)"));
  const std::string load = "insert into a_1.b values (1) /*! delay=400 */";
  const std::string lookup = "select 1 /*! delay=400 */";
  RawClient client(address_);
  client.send(command_request(1, load, 20000, "load"));
  client.send(command_request(2, lookup, 20000, "report"));
  ASSERT_TRUE(soon([&] { return engine_.runs(load) == 1 && engine_.runs(lookup) == 1; }));
  engine_.kill();
  fakes::FakeEngine next(deployment_.host(), {}, engine_.address());
  deployment_.bus().announce(fakes::listing(deployment_.name_of(0), engine_.address(), "DELETED") + "," +
                             fakes::listing("s-0000ffff", engine_.address(), "SERVING"));
  std::string answers = client.read_answer();
  answers += client.read_answer();
  EXPECT_TRUE(contains(answers, R"("id":1,"error":{"code":-32000)")) << answers;
  EXPECT_TRUE(contains(answers, R"("id":2,"result")")) << answers;
  EXPECT_EQ(next.runs(load), 0);
  EXPECT_GE(next.runs(lookup), 1);  // replayable: the policy may move it once more if it makes no progress
  EXPECT_TRUE(contains(client.exchange(command_request(3, "select 3")), R"("result")"));
  EXPECT_EQ(next.runs("select 3"), 1);
}

// Guards against requests that are sent on long after their client has closed, because much before them was
// unread.
TEST_F(LifecycleFaults, RequestBehindUnreadInputOfClosedClientIsNotSent) {
  start(deployment_.config(address_));
  {
    RawClient left(address_);
    std::string bytes;
    for (int i = 0; i < 1000; ++i)
      bytes += framed(R"({"jsonrpc":"2.0","method":"revoke","params":{"id":99}})");
    left.send_bytes(bytes + framed(command_request(1, "select 1")));
  }
  ASSERT_TRUE(logs_soon("commands ended unserved: client gone: 1"));
  EXPECT_EQ(engine_.runs("select 1"), 0);
}

// An id that comes again after its client has left must not run twice: each client gets an error that does
// not advise it to try again.
TEST_F(LifecycleFaults, NonReplayableIdIsNotRunAgainAfterItsClientHasLeft) {
  start(deployment_.config(address_));
  const std::string statement = "insert into a_1.b values (1) /*! delay=1000 */";
  RawClient left(address_);
  left.send(command_request(1, statement, 20000, "load"));
  ASSERT_TRUE(soon([&] { return engine_.runs(statement) == 1; }));
  left.send(R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1}})");
  ASSERT_TRUE(logs_soon("attempts finished cancelled: 1"));
  RawClient again(address_);
  const std::string answer = again.exchange(command_request(1, statement, 20000, "load"));
  EXPECT_TRUE(contains(answer, R"("error":{"code":-32000)")) << answer;
  EXPECT_EQ(engine_.runs(statement), 1);
  EXPECT_TRUE(contains(again.exchange(command_request(2, "select 2", 4000, "load")), R"("result")"));
  EXPECT_TRUE(contains(again.exchange(command_request(2, "select 2", 4000, "load")), R"("error")"));
  EXPECT_EQ(engine_.runs("select 2"), 1);
}

// A listener with a full backlog: further connects wait in the kernel until it accepts.
class FullBacklogListener {
 public:
  FullBacklogListener() {
    socket_.bind(SocketAddress("127.0.0.1", 0), true);
    socket_.listen(0);
    for (int i = 0; i < 4; ++i) {  // more connections than the backlog holds
      StreamSocket& connection = backlog_.emplace_back();
      connection.connectNB(socket_.address());
    }
  }
  std::string address() const { return socket_.address().toString(); }
  // Accepts all connections. Returns whether a byte arrives on the first one that this object did not open
  // itself before that connection ends.
  bool accept_and_check_received() {
    for (int i = 0; i < 400; ++i) {
      if (!socket_.poll(Poco::Timespan(0, 10000), Poco::Net::Socket::SELECT_READ)) continue;
      SocketAddress from;
      StreamSocket in = socket_.acceptConnection(from);
      bool is_own = false;
      for (StreamSocket& connection : backlog_) is_own |= connection.address() == from;
      if (is_own) continue;
      in.setReceiveTimeout(Poco::Timespan(10, 0));
      char byte;
      return ::recv(in.impl()->sockfd(), &byte, 1, 0) == 1;
    }
    ADD_FAILURE() << "no connection from the gateway";
    return true;
  }

 private:
  Poco::Net::ServerSocket socket_;
  std::vector<StreamSocket> backlog_;
};

class DelayedConnects : public LifecycleFaults {
 protected:
  void start_with_delayed_engine() {
    std::string config = deployment_.config(address_);
    config = replace_first(config, engine_.address(), listener_.address());
    start(replace_first(config, R"("dial_timeout":250000000)", R"("dial_timeout":9000000000)"));
  }
  FullBacklogListener listener_;
};

TEST_F(DelayedConnects, StartIsNotWrittenIfEngineDrainsDuringConnect) {
  start_with_delayed_engine();
  RawClient client(address_);
  client.send(command_request(1, "select 1", 20000, "report"));
  ASSERT_TRUE(logs_soon("engine connections: 1"));
  deployment_.bus().announce(fakes::listing(deployment_.name_of(0), listener_.address(), "DRAINING"));
  ASSERT_TRUE(logs_soon("bus events: 1"));
  process_->signal(SIGTERM);  // the program exits within its time limit, which closes the connection
  EXPECT_FALSE(listener_.accept_and_check_received());
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(DelayedConnects, StartIsNotWrittenIfClientClosesDuringConnect) {
  start_with_delayed_engine();
  RawClient client(address_);
  client.send(command_request(1, "select 1", 20000, "report"));
  ASSERT_TRUE(logs_soon("engine connections: 1"));
  client.half_close();
  process_->signal(SIGTERM);
  EXPECT_FALSE(listener_.accept_and_check_received());
  EXPECT_TRUE(contains(client.read_until_close(), R"("id":1,"error")"));
  EXPECT_EQ(process_->wait(), 0);
}

// Closing a socket with unread bytes resets the connection, which could lose an answer already written.
TEST_F(LifecycleFaults, CloseWithUnreadBytesDoesNotReset) {
  start(deployment_.config(address_));
  RawClient client(address_);
  client.send(command_request(1, "select 1 /*! silent */"));
  ASSERT_TRUE(soon([&] { return engine_.started() == 1; }));
  client.send_bytes("Length: 1\r\n\r\n" + std::string(100000, 'x'));
  const std::string all = client.read_until_close();
  EXPECT_TRUE(contains(all, R"("id":null,"error":{"code":-32700)")) << all;
  EXPECT_TRUE(contains(all, R"("id":1,"error")")) << all;
  EXPECT_FALSE(client.was_reset);
}

// A connection that is not yet accepted at the exit, with its request unread, must still be answered.
TEST_F(LifecycleFaults, RequestAtMomentOfExitIsAnswered) {
  start(deployment_.config(address_));
  { RawClient first(address_); }  // waits until the program serves
  process_->signal(SIGTERM);
  ASSERT_TRUE(logs_soon("gateway.shutdown_started"));
  process_->signal(SIGSTOP);
  RawClient late(address_);
  late.send(command_request(1, "select 1"));
  ::usleep(800000);  // all time limits of the shutdown have passed when the program continues
  process_->signal(SIGCONT);
  EXPECT_TRUE(contains(late.read_until_close(), R"("id":1,"result")"));
  EXPECT_FALSE(late.was_reset);
  EXPECT_EQ(process_->wait(), 0);
}

TEST_F(LifecycleFaults, ClientThatDoesNotReadDoesNotDelayExit) {
  std::string config = deployment_.config(address_);
  for (const char* const deadline : {"4000000000", "20000000000", "20000000000"})
    config = replace_first(config, std::string(R"("deadline":)") + deadline, R"("deadline":1000000000)");
  start(config);
  RawClient client(address_);
  // The error answers fill the connection; the kernel's buffers bound what the client can send.
  std::thread sender = client.send_invalid_requests();
  ASSERT_TRUE(logs_soon("calls not understood"));
  const auto exit_started_at = std::chrono::steady_clock::now();
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
  // SIGKILL may follow after 1.7 s. The close of an idle client, which would also let the program exit, comes
  // after 4.5 s.
  EXPECT_LT(std::chrono::steady_clock::now() - exit_started_at, std::chrono::seconds(4));
  sender.join();
}

// The program blocks on a pipe while it reads its configuration; the signal arrives during that time.
TEST_F(LifecycleFaults, SignalBeforeServingDoesNotEndProgram) {
  start("{");
  EXPECT_EQ(process_->wait(), 1);
  const std::string path = process_->config_path();
  std::remove(path.c_str());
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  process_->start();
  const int pipe = ::open(path.c_str(), O_WRONLY);  // returns once the program has opened it
  ASSERT_GE(pipe, 0);
  process_->signal(SIGHUP);
  const std::string config = deployment_.config(address_);
  ASSERT_EQ(::write(pipe, config.data(), config.size()), static_cast<ssize_t>(config.size()));
  // The configuration for the reload by SIGHUP, which the program handles once it serves. The file replaces
  // the pipe before the pipe is closed: the program may reload as soon as it has read to the end of the pipe,
  // and would wait forever on a pipe without a writer.
  const std::string next = path + ".next";
  std::ofstream(next) << config;
  ASSERT_EQ(std::rename(next.c_str(), path.c_str()), 0);
  ::close(pipe);
  RawClient client(address_);
  client.send(kHeartbeat);
  EXPECT_TRUE(contains(client.read_answer(), "healthy"));
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
}

// Signals between the last turn of the loop and the exit of the process.
TEST(Signals, SecondSignalDuringExitKeepsExitCode) {
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

// The configured endpoint list may be out of date at the start: the gateway must ask the bus at once, even
// with a long connect timeout.
TEST_F(LifecycleFaults, BusIsAskedAtOnceDespiteLongConnectTimeout) {
  std::string config = replace_first(deployment_.config(address_), R"("dial_timeout":250000000)",
                                     R"("dial_timeout":3600000000000)");
  start(
      replace_first(config, R"("settings":{)", R"("settings":{"rules":{"stop_sending_within":250000000},)"));
  EXPECT_TRUE(soon([&] { return deployment_.bus().asked_from().size() == 1; }));
}

// Settings of another installation: an idle timeout shorter than the gateway's slack and a connect timeout of
// zero.
TEST_F(LifecycleFaults, ConnectionsWorkWithShortTimeoutsInSettings) {
  std::string config =
      replace_first(deployment_.config(address_), R"("conn_idle":15000000000)", R"("conn_idle":1900000000)");
  start(replace_first(config, R"("dial_timeout":250000000)", R"("dial_timeout":0)"));
  RawClient client(address_);
  for (int id = 1; id <= 3; ++id) {
    client.send(command_request(id, "select 1"));
    EXPECT_TRUE(contains(client.read_answer(), R"("result")"));
  }
  EXPECT_TRUE(logs_soon("engine connections: 1;"));
}

// Idle clients occupy all descriptors, and the event bus is down since the start. The gateway must still
// answer a health check and a command, and connect to the bus when it becomes available.
TEST_F(LifecycleFaults, ServesWithIdleClientsInAllDescriptorsAndNoBus) {
  const std::string bus = fakes::free_address();
  start(replace_first(deployment_.config(address_, 192, 64), deployment_.bus().address(), bus));
  { RawClient first(address_); }  // waits until the program serves
  std::vector<std::unique_ptr<StreamSocket>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(std::make_unique<StreamSocket>());
    idle.back()->connectNB(SocketAddress(address_));
  }
  RawClient health(address_);
  health.send(kHeartbeat);
  EXPECT_TRUE(contains(health.read_answer(), "healthy"));
  health.send(command_request(1, "select 1"));
  EXPECT_TRUE(contains(health.read_answer(), R"("result")"));
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
