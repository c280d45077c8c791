// Seeded soak over real processes: gateways with small limits, usual clients, and at random times crowds of
// bad clients, floods, clients that leave and send their ids again, engines replaced at their address, and
// signals in series. The checks use only what clients, engines and the kernel saw, never the gateways' logs.
//
// FIRVALVE_SOAK_SEEDS=FIRST-LAST plays other seeds than the few of each run of the tests.
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/process_memory.h"
#include "fakes/fake_deployment.h"
#include "fakes/process.h"
#include "framed.h"
#include "gateway/crowd.h"
#include "gateway/request_text.h"
#include "sanitized.h"

namespace firvalve {
namespace {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr int kEngines = 5, kGateways = 2, kClientsPerGateway = 6, kMaxOpen = 8;
constexpr int kTimeoutMs = 1500;
constexpr Ms kLongestDeadline = 2000;              // of the settings
constexpr Ms kKillAfter = kLongestDeadline + 700;  // SIGKILL after SIGTERM, at the protocol's earliest
constexpr Ms kLoadTime = 4000, kTermAt = 2500;
constexpr Ms kAnswerSlack = 500, kCrossing = 50;  // a request may cross the end of its connection
constexpr size_t kBytesPerMegabyte = size_t{1024} * 1024;

struct Gateway {
  std::string address = fakes::free_address();
  int memory_mb = 0;
  std::unique_ptr<fakes::Process> process;
  Ms term_at = 0;  // 0: not yet
  bool has_ended = false;
};

struct OpenRequest {
  Ms sent_at = 0;
};

// A client that keeps to the protocol. It uses its connection for as long as that is open.
class UsualClient {
 public:
  explicit UsualClient(const Gateway& gateway) : gateway_(gateway) {}

  void send(int id, const std::string& statement, const char* profile) {
    if (!connect() || open_.size() >= kMaxOpen) return;
    const std::string message = framed(command_request(id, statement, kTimeoutMs, profile));
    const ssize_t sent = ::send(descriptor(), message.data(), message.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent == static_cast<ssize_t>(message.size())) open_[id] = {monotonic_ms()};
  }
  void read(std::vector<std::string>& faults) {
    if (!socket_) return;
    char bytes[65536];
    for (;;) {
      const ssize_t got = ::recv(descriptor(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (got < 0 && errno == EAGAIN) break;
      if (got <= 0) return handle_end(got < 0, faults);
      buffer_.append(bytes, static_cast<size_t>(got));
    }
    take_answers(faults);
  }
  void report_overdue(std::vector<std::string>& faults) const {
    for (const auto& [id, request] : open_)
      if (monotonic_ms() > request.sent_at + kTimeoutMs + kAnswerSlack)
        faults.push_back(fmt::format("request {} has no answer in time", id));
  }
  bool has_open() const { return !open_.empty(); }
  size_t answered() const { return answered_; }

 private:
  int descriptor() const { return socket_->impl()->sockfd(); }
  bool connect() {
    if (socket_) return true;
    try {
      socket_ = std::make_unique<StreamSocket>();
      socket_->connect(SocketAddress(gateway_.address), Poco::Timespan(0, 100000));
      socket_->setNoDelay(true);
      return true;
    } catch (const Poco::Exception&) {
      socket_.reset();
      return false;
    }
  }
  void take_answers(std::vector<std::string>& faults) {
    for (size_t head = buffer_.find("\r\n\r\n"); head != std::string::npos; head = buffer_.find("\r\n\r\n")) {
      const size_t length = std::stoul(buffer_.substr(buffer_.find(": ") + 2));
      if (buffer_.size() < head + 4 + length) return;
      const std::string body = buffer_.substr(head + 4, length);
      buffer_.erase(0, head + 4 + length);
      const size_t id_at = body.find(R"("id":)") + 5;
      const int id = body[id_at] == 'n' ? 0 : std::stoi(body.substr(id_at));
      const auto request = open_.find(id);
      if (request == open_.end()) {
        faults.push_back(fmt::format("an answer that nobody waits for: {}", body.substr(0, 200)));
        continue;
      }
      if (monotonic_ms() > request->second.sent_at + kTimeoutMs + kAnswerSlack)
        faults.push_back(fmt::format("request {} is answered late", id));
      open_.erase(request);
      ++answered_;
    }
  }
  void handle_end(bool is_reset, std::vector<std::string>& faults) {
    const Ms now = monotonic_ms();
    take_answers(faults);
    for (const auto& [id, request] : open_)
      if (now - request.sent_at > kCrossing)
        faults.push_back(
            fmt::format("request {}, sent {:.0f} ms before, is lost with its connection ({}), {}", id,
                        now - request.sent_at, is_reset ? "reset" : "closed",
                        gateway_.term_at > 0 ? "after SIGTERM" : "before SIGTERM"));
    open_.clear();
    buffer_.clear();
    socket_.reset();
  }

  const Gateway& gateway_;
  std::unique_ptr<StreamSocket> socket_;
  std::string buffer_;
  std::map<int, OpenRequest> open_;
  size_t answered_ = 0;
};

class Soak : public testing::TestWithParam<unsigned> {
 protected:
  void SetUp() override {
    for (int i = 0; i < kEngines; ++i) names_.push_back(deployment_.name_of(i));
    for (int i = 0; i < kGateways; ++i) start_gateway();
  }

  int below(int bound) { return static_cast<int>(random_() % static_cast<unsigned>(bound)); }
  bool one_in(int count) { return below(count) == 0; }

  void start_gateway() {
    Gateway& gateway = *gateways_.emplace_back(std::make_unique<Gateway>());
    gateway.memory_mb = one_in(2) ? 32 : 64;
    std::string config = deployment_.config(gateway.address, gateway.memory_mb, one_in(4) ? 256 : 1024);
    for (const char* const deadline : {"4000000000", "20000000000", "20000000000"})
      config = replace_first(config, fmt::format(R"("deadline":{})", deadline), R"("deadline":2000000000)");
    config = replace_first(config, R"("try_limit":1)", R"("try_limit":3)");
    gateway.process = std::make_unique<fakes::Process>(FIRVALVE_PROGRAM, config, std::vector<std::string>{},
                                                       "/dev/null", fakes::Process::Ends::kWithItsStarter);
    ASSERT_TRUE(fakes::Process::listens(gateway.address));
    for (int i = 0; i < kClientsPerGateway; ++i) clients_.push_back(std::make_unique<UsualClient>(gateway));
  }

  Gateway& some_gateway() { return *gateways_[static_cast<size_t>(below(kGateways))]; }

  // A crowd of clients that do not finish large messages, or send many fields; runs beside the load.
  void start_crowd() {
    const std::string address = some_gateway().address;
    const auto count = static_cast<size_t>(400 + below(400));
    const size_t piece = one_in(2) ? 3000 : 200000;
    std::string text =
        framed(command_request(1, "select 3 /* " + std::string(95000, 'x') + " */")).substr(0, 120000);
    if (one_in(3)) text = framed(std::string(100001, '['));
    helpers_.emplace_back([address, count, piece, text] {
      try {
        Crowd crowd(address, count);
        crowd.write({text}, piece, std::chrono::milliseconds(1500));
      } catch (const Poco::Exception&) {
      }
    });
  }

  // One client that sends messages which open no call, and leaves with much unread.
  void start_flood() {
    const std::string address = some_gateway().address;
    std::string text;
    for (int i = 0; i < 20000; ++i) text += framed("{}");
    helpers_.emplace_back([address, text] {
      try {
        Crowd crowd(address, 1);
        crowd.write({text}, text.size(), std::chrono::milliseconds(1000));
      } catch (const Poco::Exception&) {
      }
    });
  }

  // A client that sends a load and leaves; another one sends the same id later.
  void send_and_leave() {
    const int id = ++last_id_;
    const std::string statement =
        fmt::format("insert into a_1.b values ({}) /*! delay={} */", id, below(300));
    loads_.push_back(statement);
    const std::string message = framed(command_request(id, statement, kTimeoutMs, "load"));
    try {
      const std::string address = some_gateway().address;
      StreamSocket first{SocketAddress(address)};
      first.sendBytes(message.data(), static_cast<int>(message.size()));
      if (one_in(2)) first.setLinger(true, 0);
      ::usleep(static_cast<useconds_t>(below(20000)));
      first.close();
      again_.push_back({monotonic_ms() + below(500), address, message});
    } catch (const Poco::Exception&) {
    }
  }
  void send_again() {
    for (auto at = again_.begin(); at != again_.end();) {
      if (monotonic_ms() < at->at) {
        ++at;
        continue;
      }
      try {
        left_.emplace_back(SocketAddress(at->address));
        left_.back().sendBytes(at->message.data(), static_cast<int>(at->message.size()));
      } catch (const Poco::Exception&) {
      }
      at = again_.erase(at);
    }
  }

  // The engine's process dies; a new one with another name comes up at its address and is listed.
  void replace_engine() {
    const auto index = static_cast<size_t>(below(kEngines));
    fakes::FakeEngine& old =
        replaced_[index] ? *replaced_[index] : deployment_.engine(static_cast<int>(index));
    const std::string address = old.address();
    old.kill();
    if (replaced_[index]) retired_.push_back(std::move(replaced_[index]));
    replaced_[index] =
        std::make_unique<fakes::FakeEngine>(deployment_.host(), fakes::FakeEngine::Options{}, address);
    const std::string name = fmt::format("s-{:08x}", 0x1000 + ++last_engine_);
    deployment_.bus().announce(fakes::listing(names_[index], address, "DELETED") + "," +
                               fakes::listing(name, address, "SERVING"));
    names_[index] = name;
  }

  void send_signals() {
    for (int i = 0; i < 3; ++i) some_gateway().process->signal(one_in(2) ? SIGHUP : SIGUSR1);
  }

  void disturb() {
    switch (below(60)) {
      case 0:
        return start_flood();
      case 1:
        return one_in(3) ? replace_engine() : void();
      case 2:
        return send_signals();
      case 3:
      case 4:
        return send_and_leave();
      default:
        return;
    }
  }

  void send_usual() {
    for (const auto& client : clients_) {
      if (!one_in(3)) continue;
      const int id = ++last_id_;
      const bool is_load = one_in(5);
      const std::string statement = fmt::format(
          "{} {} /*! delay={} */", is_load ? "insert into a_1.b values" : "select", id, below(60));
      if (is_load) loads_.push_back(statement);
      client->send(id, statement, is_load ? "load" : "lookup");
    }
  }

  void read_all() {
    for (const auto& client : clients_) client->read(faults_);
  }

  void check_memory() {
    if (kIsSanitized) return;
    for (const auto& gateway : gateways_) {
      if (gateway->has_ended || !gateway->process->running()) continue;
      const auto memory = read_process_memory(std::to_string(gateway->process->id()));
      if (memory && memory->peak_bytes > static_cast<size_t>(gateway->memory_mb) * kBytesPerMegabyte)
        faults_.push_back(
            fmt::format("a gateway of {} MB peaked at {} bytes", gateway->memory_mb, memory->peak_bytes));
    }
  }

  // SIGTERM in a series with other signals; the process must have ended by itself when SIGKILL would come.
  void terminate(Gateway& gateway) {
    gateway.term_at = monotonic_ms();
    gateway.process->signal(SIGTERM);
    if (one_in(2)) gateway.process->signal(SIGHUP);
    if (one_in(2)) gateway.process->signal(SIGTERM);
  }
  void check_end(Gateway& gateway) {
    if (gateway.term_at == 0 || gateway.has_ended) return;
    if (!gateway.process->running()) {
      gateway.has_ended = true;
      const int code = gateway.process->wait();
      if (code != 0) faults_.push_back(fmt::format("a gateway ended with {} after SIGTERM", code));
    } else if (monotonic_ms() > gateway.term_at + kKillAfter) {
      faults_.push_back("a gateway was still running when SIGKILL came");
      gateway.process->stop(SIGKILL);
      gateway.has_ended = true;
    }
  }

  void run() {
    const Ms started_at = monotonic_ms();
    if (one_in(2)) start_crowd();
    for (Ms now = started_at; now < started_at + kLoadTime; now = monotonic_ms()) {
      read_all();
      send_usual();
      send_again();
      disturb();
      check_memory();
      if (gateways_[0]->term_at == 0 && now > started_at + kTermAt) terminate(*gateways_[0]);
      check_end(*gateways_[0]);
      ::usleep(10000);
    }
  }
  void finish() {
    const Ms stopped_at = monotonic_ms();
    const auto is_any_open = [&] {
      return std::any_of(clients_.begin(), clients_.end(),
                         [](const auto& client) { return client->has_open(); });
    };
    while (is_any_open() && monotonic_ms() < stopped_at + kTimeoutMs + kAnswerSlack) {
      read_all();
      check_end(*gateways_[0]);
      ::usleep(5000);
    }
    for (const auto& client : clients_) client->report_overdue(faults_);
    check_memory();
    terminate(*gateways_[1]);
    while (!gateways_[0]->has_ended || !gateways_[1]->has_ended) {
      for (const auto& gateway : gateways_) check_end(*gateway);
      read_all();
      ::usleep(5000);
    }
  }
  void check_runs() {
    for (const std::string& load : loads_) {
      int runs = deployment_.runs(load);
      for (const auto& engine : replaced_) runs += engine ? engine->runs(load) : 0;
      for (const auto& engine : retired_) runs += engine->runs(load);
      if (runs > 1) faults_.push_back(fmt::format("{} ran {} times", load, runs));
    }
  }

  struct SendAgain {
    Ms at = 0;
    std::string address, message;
  };

  fakes::FakeDeployment deployment_{kEngines};
  std::vector<std::unique_ptr<fakes::FakeEngine>> replaced_{kEngines}, retired_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::vector<std::unique_ptr<UsualClient>> clients_;
  std::vector<std::thread> helpers_;
  std::vector<SendAgain> again_;
  std::vector<StreamSocket> left_;
  std::mt19937 random_{GetParam()};
  std::vector<std::string> loads_, faults_;
  int last_id_ = 0, last_engine_ = 0;
};

TEST_P(Soak, EachRequestIsAnsweredOnceInTimeWithinTheLimits) {
  run();
  finish();
  for (std::thread& helper : helpers_) helper.join();
  check_runs();
  size_t answered = 0;
  for (const auto& client : clients_) answered += client->answered();
  EXPECT_GT(answered, 500u);
  for (size_t i = 0; i < faults_.size() && i < 10; ++i) ADD_FAILURE() << faults_[i];
  EXPECT_EQ(faults_.size(), 0u);
}

std::vector<unsigned> seeds() {
  unsigned first = 1, last = 6;
  if (const char* const range = std::getenv("FIRVALVE_SOAK_SEEDS"))
    std::sscanf(range, "%u-%u", &first, &last);
  std::vector<unsigned> all;
  for (unsigned seed = first; seed <= last; ++seed) all.push_back(seed);
  return all;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::ValuesIn(seeds()), testing::PrintToStringParamName());

}  // namespace
}  // namespace firvalve
