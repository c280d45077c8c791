// The program itself, spoken to over loopback sockets, with stand-ins for an engine and the event bus.
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <thread>

#include "proto/base64.h"

namespace firvalve {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const Poco::Timespan kPatience(10, 0);  // of a test, for what comes within milliseconds

// Accepts connections and serves each in a thread of its own until it is told to end.
class StandIn {
 public:
  explicit StandIn(std::function<void(StreamSocket&)> serve) : serve_(std::move(serve)) {
    socket_.bind(SocketAddress("127.0.0.1", 0), true);
    socket_.listen(64);
    accepting_ = std::thread([this] {
      while (!ending) {
        if (!socket_.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) continue;
        threads_.emplace_back([this, peer = socket_.acceptConnection()]() mutable {
          try {
            serve_(peer);
          } catch (const Poco::Exception&) {
          }
        });
      }
    });
  }
  ~StandIn() {
    ending = true;
    accepting_.join();
    for (std::thread& t : threads_) t.join();
  }
  std::string address() { return socket_.address().toString(); }

  std::atomic<bool> ending = false;

 private:
  std::function<void(StreamSocket&)> serve_;
  ServerSocket socket_;
  std::thread accepting_;
  std::vector<std::thread> threads_;
};

// The next message with a head and a body of the stated length; empty: the peer has ended.
std::string read_message(StreamSocket& peer, std::string& held, const std::atomic<bool>* ending = nullptr) {
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
    if (ending && *ending) return {};
    if (!peer.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) continue;
    char bytes[4096];
    const int got = peer.receiveBytes(bytes, sizeof bytes);
    if (got <= 0) return {};
    held.append(bytes, static_cast<size_t>(got));
  }
  return {};
}

std::string http(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Answers by the statement's first word; a later call for a query by the word of its start.
class Engine : public StandIn {
 public:
  Engine() : StandIn([this](StreamSocket& peer) { serve(peer); }) {}
  int calls(const std::string& start) {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(calls_.begin(), calls_.end(), [&](const auto& c) { return c.starts_with(start); }));
  }

 private:
  void serve(StreamSocket& peer) {
    std::string held;
    if (resets_due_.exchange(0) > 0) return reset(peer);
    for (std::string call = read_message(peer, held, &ending); !call.empty();
         call = read_message(peer, held, &ending)) {
      std::string word;
      {
        const std::lock_guard lock(mutex_);
        calls_.push_back(call.substr(0, call.find("\r\n")));
        const size_t field = call.find("Call-Id: "), path = call.find("/v1/store/");
        const std::string id =
            field != std::string::npos ? call.substr(field + 9, 16) : call.substr(path + 10, 16);
        if (call.starts_with("POST")) words_[id] = call.substr(call.find("\r\n\r\n") + 4, 4);
        word = words_[id];
      }
      std::string answer = http("500 Error", "", "");
      if (call.starts_with("DELETE")) answer = "HTTP/1.1 204 No Content\r\n\r\n";
      if (call.starts_with("POST") && word == "late")
        answer = http("202 Accepted", "Detail: share\r\nX-Val: 0.5\r\n", "");
      else if (word == "good" || word == "late")
        answer = call.find("/1 HTTP") != std::string::npos ? http("200 OK", "X-Sheet: 1\r\n", "c\td\te\n")
                                                           : http("200 OK", "X-Sheets: 2\r\n", "a\tb\tc\n");
      if (word == "junk" && !call.starts_with("DELETE")) answer = "junk\r\n\r\n";
      // Two connections are reset, the first under the start of the query, the next when new.
      if (word == "rset" && ++resets_ <= 1) resets_due_ = 1;
      if (word == "rset" && resets_ <= 1) return reset(peer);
      if (word == "rset") answer = http("200 OK", "X-Sheets: 1\r\n", "a\tb\tc\n") + "noise";
      if (word == "mute" && !call.starts_with("DELETE")) continue;
      peer.sendBytes(answer.data(), static_cast<int>(answer.size()));
    }
  }

  static void reset(StreamSocket& peer) {
    peer.setLinger(true, 0);
    peer.close();
  }

  std::atomic<int> resets_ = 0, resets_due_ = 0;
  std::mutex mutex_;
  std::vector<std::string> calls_;
  std::map<std::string, std::string> words_;
};

std::string listing(const std::string& name, const std::string& address, const std::string& state) {
  return R"({"id":")" + name + R"(","addr":")" + address + R"(","zone":"z","kind":"std","cell":0,"state":")" +
         state + R"(","weight":1,"started_ms":0})";
}

std::string topology(int offset, bool full, const std::string& listings) {
  return R"({"offset":)" + std::to_string(offset) + R"(,"topology":{"version":1,"full":)" +
         (full ? "true" : "false") + R"(,"servers":[)" + listings + "]}}";
}

class Gateway : public testing::Test {
 protected:
  void SetUp() override {
    ServerSocket free;
    free.bind(SocketAddress("127.0.0.1", 0), true);
    address_ = free.address().toString();
    free.close();
    start(
        R"({"name":"n1","listen":")" + address_ +
        R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bus":")" +
        bus_.address() + R"(","known":{"offset":1,"batch":[)" +
        topology(1, true, listing("s-0000000a", engine_.address(), "SERVING")) +
        R"(]},"settings":{"peers_total":1,"shapes":["std"],"specifics":{"cores_by_kind":[8],"memory_by_kind_mb":[1000],"class_threads":[1,1]},)"
        R"("ceilings":{"cancel":true,"try_limit":1,"dial_timeout":250000000,"conn_idle":15000000000},"profiles":[)"
        R"({"name":"quick","semantics":"idempotent","slo":800000000,"credit":1.0,"deadline":4000000000},)"
        R"({"name":"once","semantics":"at_most_once","slo":800000000,"credit":1.0,"deadline":4000000000}]}})");
  }
  void TearDown() override {
    if (process_ > 0) ::kill(process_, SIGKILL), ::waitpid(process_, nullptr, 0);
    std::remove(path_.c_str());
  }
  void write(const std::string& config) {
    path_ = testing::TempDir() + "firvalve-" + std::to_string(::getpid()) + ".json";
    std::ofstream(path_) << config;
  }
  void start(const std::string& config) {
    config_ = config;
    write(config);
    process_ = ::fork();
    if (process_ == 0) {
      ::setenv("NODE_CONFIG", path_.c_str(), 1);
      ::execl(FIRVALVE_PROGRAM, FIRVALVE_PROGRAM, nullptr);
      ::_exit(127);
    }
  }
  int exit_code() {
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  StreamSocket connect() {
    for (int tries = 0;; ++tries) {
      try {
        StreamSocket client;
        client.connect(SocketAddress(address_), kPatience);
        return client;
      } catch (const Poco::Exception&) {
        if (tries == 1000) throw;
        ::usleep(10000);
      }
    }
  }
  static void send(StreamSocket& client, const std::string& body) {
    const std::string message = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    client.sendBytes(message.data(), static_cast<int>(message.size()));
  }
  static std::string command(int id, const std::string& statement, int timeout = 4000,
                             const char* profile = "quick") {
    std::string bytes;
    proto::append_base64(bytes, statement);
    char req[17];
    std::snprintf(req, sizeof req, "%016x", id);
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" + profile +
           R"(","params":{"req":")" + req + R"(","timeout":)" + std::to_string(timeout) +
           R"(,"ms":100,"mem":10,"bytes":")" + bytes + R"("}})";
  }
  std::string ask(const std::string& body) {
    StreamSocket client = connect();
    send(client, body);
    std::string held;
    return read_message(client, held);
  }
  static bool has(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  }

  Engine engine_;
  StandIn bus_{[this](StreamSocket& peer) {
    char bytes[64];
    const int got = peer.receiveBytes(bytes, sizeof bytes);
    const std::string said(bytes, static_cast<size_t>(std::max(got, 0)));
    const int time = ++bus_calls_;
    // The first connection ends with a line that cannot be read; the next tells of a gone engine.
    const std::string line =
        time == 1 ? "junk\n" : topology(2, false, listing("s-0000000b", "127.0.0.1:1", "DELETED")) + "\n";
    if (said != "from 1\n") return;
    peer.sendBytes(line.data(), static_cast<int>(line.size()));
    while (!bus_.ending && !peer.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ)) {
    }
  }};
  std::atomic<int> bus_calls_ = 0;
  std::string address_, path_, config_;
  pid_t process_ = 0;
};

TEST_F(Gateway, AnswersWithAllRowsOfAllPages) {
  std::string rows;
  proto::append_base64(rows, "a\tb\tc\nc\td\te\n");
  EXPECT_TRUE(has(ask(command(1, "good select * from a_1.b")), R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(has(ask(command(2, "late select * from a_1.b")), R"("result":{"bytes":")" + rows));
  EXPECT_TRUE(has(ask(R"({"jsonrpc":"2.0","id":3,"method":"heartbeat","params":{}})"), R"("healthy":true)"));
}

TEST_F(Gateway, FailsWhatItsEngineGarbles) {
  const std::string answer = ask(command(1, "junk", 4000, "once"));
  EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;
}

TEST_F(Gateway, AResetConnectionOrNoiseBehindAnAnswerCostsNoQuery) {
  const std::string answer = ask(command(1, "rset", 4000, "once"));
  EXPECT_TRUE(has(answer, R"("code":-32000)")) << answer;  // its engine never gives it without noise
  EXPECT_EQ(engine_.calls("POST"), 1);
  EXPECT_GT(engine_.calls("GET"), 1);
}

TEST_F(Gateway, ASilentEngineCostsNoAnswer) {
  const std::string answer = ask(command(1, "mute", 400));
  EXPECT_TRUE(has(answer, R"("error")")) << answer;
}

TEST_F(Gateway, BadInputGetsOneErrorAndBrokenFramingEndsItsConnectionAlone) {
  StreamSocket other = connect();
  EXPECT_TRUE(has(ask("{}"), R"("code":-32600)"));
  EXPECT_TRUE(has(ask(command(1, "good", 4000, "odd")), R"("code":-32601)"));
  StreamSocket broken = connect();
  broken.sendBytes("Length: 1\r\n\r\n", 13);
  std::string held;
  EXPECT_TRUE(has(read_message(broken, held), R"("id":null,"error":{"code":-32700)"));
  EXPECT_EQ(read_message(broken, held), "");
  send(other, command(2, "good"));
  EXPECT_TRUE(has(read_message(other, held), R"("result")"));
}

TEST_F(Gateway, ARevokedCommandIsGivenUpAtItsEngine) {
  StreamSocket client = connect();
  send(client, command(1, "mute"));
  for (int i = 0; i < 5000 && engine_.calls("POST") == 0; ++i) ::usleep(1000);
  send(client, R"({"jsonrpc":"2.0","method":"revoke","params":{"id":1,"req":"0000000000000001"}})");
  for (int i = 0; i < 5000 && engine_.calls("DELETE /v1/store/0000000000000001") == 0; ++i) ::usleep(1000);
  EXPECT_EQ(engine_.calls("DELETE /v1/store/0000000000000001"), 1);
}

TEST_F(Gateway, AHalfClosedClientStillGetsItsAnswer) {
  StreamSocket client = connect();
  send(client, command(1, "late"));
  client.shutdownSend();
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("result")"));
}

TEST_F(Gateway, AnUnreadableBusLineRenewsTheConnectionFromTheLastGoodEvent) {
  for (int i = 0; i < 5000 && bus_calls_ < 2; ++i) ::usleep(1000);
  EXPECT_GE(bus_calls_, 2);
  EXPECT_TRUE(has(ask(command(1, "good")), R"("result")"));
}

TEST_F(Gateway, AtItsEndEverythingTakenIsAnswered) {
  StreamSocket client = connect();
  send(client, command(1, "mute", 8000));
  for (int i = 0; i < 5000 && engine_.calls("POST") == 0; ++i) ::usleep(1000);
  ::kill(process_, SIGTERM);
  EXPECT_TRUE(has(ask(command(2, "good")), R"("id":2)"));
  std::string held;
  EXPECT_TRUE(has(read_message(client, held), R"("id":1,"error")"));
  EXPECT_EQ(exit_code(), 0);
}

TEST_F(Gateway, ANewConfigurationMovesTheBusAndItsNumbersGoOn) {
  ask(command(1, "good"));  // it is ready
  std::atomic<bool> asked = false;
  StandIn moved([&](StreamSocket& peer) {
    char bytes[64];
    const int got = peer.receiveBytes(bytes, sizeof bytes);
    asked = std::string(bytes, static_cast<size_t>(std::max(got, 0))).starts_with("from ");
  });
  std::ofstream(path_) << "{";
  ::kill(process_, SIGHUP);  // cannot be read: the one before stays in force
  EXPECT_TRUE(has(ask(command(2, "good")), R"("result")"));
  std::string config = config_;
  config.replace(config.find(bus_.address()), bus_.address().size(), moved.address());
  write(config);
  ::kill(process_, SIGHUP);
  for (int i = 0; i < 5000 && !asked; ++i) ::usleep(1000);
  EXPECT_TRUE(asked);
  EXPECT_TRUE(has(ask(command(3, "good")), R"("result")"));
}

TEST_F(Gateway, WithoutAConfigurationItEndsAtOnce) {
  TearDown();
  start("{");
  EXPECT_EQ(exit_code(), 1);
}

}  // namespace
}  // namespace firvalve
