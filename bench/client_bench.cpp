// Measures the client library on loopback: reconnects after a gateway restart, an overload of three times the
// engines' capacity, CPU per call, memory with many open calls. A plain client that retries at once after
// each failure serves as the baseline.
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <fstream>
#include <mutex>
#include <thread>

#include "client/client.h"
#include "fakes/fake_deployment.h"
#include "fakes/fake_gateway.h"
#include "fakes/process.h"
#include "proto/jsonrpc/reply.h"

namespace {

using namespace firvalve;
using Clock = std::chrono::steady_clock;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

// The times of events, in ms since the start of a run. Thread-safe.
class EventTimes {
 public:
  explicit EventTimes(Clock::time_point start) : start_(start) {}
  void add(size_t count = 1) {
    const double at = ms_since(start_);
    const std::lock_guard lock(mutex_);
    all_.insert(all_.end(), count, at);
  }
  std::vector<double> after(double from) {
    const std::lock_guard lock(mutex_);
    std::vector<double> selected;
    std::copy_if(all_.begin(), all_.end(), std::back_inserter(selected), [&](double t) { return t >= from; });
    std::sort(selected.begin(), selected.end());
    return selected;
  }

 private:
  const Clock::time_point start_;
  std::mutex mutex_;
  std::vector<double> all_;
};

// A client with one connection and one call at a time. It retries a failed call at once until the call's
// timeout.
class PlainClient {
 public:
  PlainClient(SocketAddress address, EventTimes& attempts) : address_(address), attempts_(attempts) {}

  bool call(const std::string& profile, const std::string& statement, double timeout) {
    const auto began = Clock::now();
    while (ms_since(began) < timeout) {
      try {
        if (!is_connected_) {
          attempts_.add();
          socket_ = StreamSocket();
          socket_.connect(address_, Poco::Timespan(1, 0));
          is_connected_ = true;
          read_buffer_ = {};
          frames_ = proto::RpcFrames();
        }
        std::string out;
        const std::string request_id = fmt::format("{:016x}", last_request_.fetch_add(1) + 1);
        proto::append_command(out,
                              {++id_, profile, statement, request_id, {}, timeout - ms_since(began), 20, 1});
        ++sends;
        socket_.sendBytes(out.data(), static_cast<int>(out.size()));
        const proto::RpcReply reply = read(timeout - ms_since(began));
        if (reply.kind == proto::RpcReply::Kind::kRows) return true;
      } catch (const Poco::Exception&) {
        is_connected_ = false;
      }
    }
    is_connected_ = false;
    return false;
  }

  static inline std::atomic<uint64_t> sends = 0;

 private:
  proto::RpcReply read(double timeout) {
    const auto began = Clock::now();
    std::span<char> body;
    for (;;) {
      const proto::ReadResult result = frames_.next(read_buffer_, body);
      if (result == proto::ReadResult::kMalformed) throw Poco::Net::NetException("broken");
      if (result == proto::ReadResult::kComplete) {
        proto::RpcReply reply = proto::read_reply(body);
        if (reply.id == id_) return reply;
        continue;
      }
      const double left = std::max(1.0, timeout - ms_since(began));
      if (!socket_.poll(Poco::Timespan(static_cast<long>(left * 1000)), Poco::Net::Socket::SELECT_READ))
        throw Poco::TimeoutException();
      const auto space = read_buffer_.prepare(65536);
      const int received = socket_.receiveBytes(space.data(), static_cast<int>(space.size()));
      if (received <= 0) throw Poco::Net::NetException("closed");
      read_buffer_.commit(static_cast<size_t>(received));
    }
  }

  SocketAddress address_;
  EventTimes& attempts_;
  StreamSocket socket_;
  proto::ReadBuffer read_buffer_;
  proto::RpcFrames frames_;
  bool is_connected_ = false;
  int64_t id_ = 0;
  static inline std::atomic<uint64_t> last_request_ = 0;
};

client::Options options_for(const std::string& gateway, uint64_t seed) {
  client::Options o;
  o.gateways = {gateway};
  o.seed = seed;
  return o;
}

client::Command lookup(const std::string& statement, double timeout) {
  return {"lookup", statement, timeout, 20, 1, client::Effect::kReplayable};
}

void print_attempts(std::string_view who, const std::vector<double>& at, uint64_t answered, uint64_t asked) {
  std::map<int64_t, int> bins;
  for (const double t : at) ++bins[static_cast<int64_t>(t / 100)];
  int busiest = 0;
  for (const auto& [bin, count] : bins) busiest = std::max(busiest, count);
  const auto percentile = [&](double q) {
    return at.empty() ? 0 : at[static_cast<size_t>(q * double(at.size() - 1))];
  };
  fmt::print("{}: {} attempts, busiest 100 ms {}, 5th to 95th percentile {:.0f} ms; answered {} of {}\n", who,
             at.size(), busiest, percentile(0.95) - percentile(0.05), answered, asked);
}

// ---- Restart of the gateway ---------------------------------------------------------------------

void run_restart(const std::string& program, bool plain, int clients) {
  constexpr double kRunMs = 14000, kKillAtMs = 3000, kDownMs = 1000, kCallIntervalMs = 200, kTimeoutMs = 1500;
  fakes::FakeDeployment fleet(4);
  const std::string address = fakes::free_address();
  fakes::Process gateway(program, fleet.config(address));
  fakes::Process::listens(address);
  const auto start = Clock::now();
  EventTimes attempts(start);
  std::atomic<uint64_t> asked = 0, answered = 0;
  std::vector<std::unique_ptr<client::Client>> library;
  std::vector<std::thread> threads;
  const auto sleep_until = [&](double at) {
    std::this_thread::sleep_until(start + std::chrono::microseconds(static_cast<int64_t>(at * 1000)));
  };
  for (int i = 0; i < clients; ++i) {
    const double phase = kCallIntervalMs * i / clients;
    if (!plain) library.push_back(std::make_unique<client::Client>(options_for(address, uint64_t(i) + 1)));
    threads.emplace_back([&, i, phase] {
      PlainClient one(SocketAddress(address), attempts);
      for (double at = phase; at < kRunMs; at += kCallIntervalMs) {
        sleep_until(at);
        if (ms_since(start) > at + kCallIntervalMs && plain) continue;  // still busy with the previous call
        ++asked;
        if (plain)
          answered += one.call("lookup", "select 1 /*! delay=5 */", kTimeoutMs);
        else
          library[static_cast<size_t>(i)]->send(
              lookup("select 1 /*! delay=5 */", kTimeoutMs),
              [&](const client::Result& r) { answered += r.outcome == client::Outcome::kAnswered; });
      }
    });
  }
  std::thread connect_counter([&] {
    if (plain) return;
    uint64_t seen = 0;
    for (double at = 0; at < kRunMs; at += 10) {
      sleep_until(at);
      uint64_t all = 0;
      for (const auto& c : library) all += c->stats().connects;
      attempts.add(all - seen);
      seen = all;
    }
  });
  sleep_until(kKillAtMs);
  gateway.stop(SIGKILL);
  sleep_until(kKillAtMs + kDownMs);
  gateway.start();
  for (std::thread& t : threads) t.join();
  connect_counter.join();
  for (const auto& c : library) c->close(2000);
  print_attempts(plain ? "plain client" : "library", attempts.after(kKillAtMs), answered, asked);
}

// ---- Overload: three times the engines' capacity ------------------------------------------------

void run_overload(const std::string& program, bool plain, bool advice) {
  constexpr double kRunMs = 20000, kTimeoutMs = 1000, kTargetMs = 800, kCallsPerSecond = 2400;
  fakes::FakeEngine::Options engine_options;
  engine_options.slots = 8;  // two engines with 8 slots, 20 ms per query: 800 queries per second
  engine_options.max_queue_wait = 200;
  fakes::FakeDeployment fleet(2, engine_options);
  const std::string address = fakes::free_address();
  std::string config = fleet.config(address);
  const std::string retry_after = R"("retry_after":true)";
  if (!advice) config.replace(config.find(retry_after), retry_after.size(), R"("retry_after":false)");
  fakes::Process gateway(program, config);
  fakes::Process::listens(address);
  const auto start = Clock::now();
  EventTimes attempts(start);
  std::atomic<uint64_t> asked = 0, in_target = 0, sends = 0;
  const int clients = plain ? 600 : 100;
  const double every = 1000.0 * clients / kCallsPerSecond;
  std::vector<std::thread> threads;
  for (int i = 0; i < clients; ++i)
    threads.emplace_back([&, i] {
      PlainClient one(SocketAddress(address), attempts);
      std::unique_ptr<client::Client> library;
      if (!plain) library = std::make_unique<client::Client>(options_for(address, uint64_t(i) + 1));
      for (double at = every * i / clients; at < kRunMs; at += every) {
        const auto due = start + std::chrono::microseconds(static_cast<int64_t>(at * 1000));
        std::this_thread::sleep_until(due);
        ++asked;
        if (plain) {
          in_target +=
              one.call("lookup", "select 1 /*! delay=20 */", kTimeoutMs) && ms_since(due) <= kTargetMs;
        } else {
          library->send(lookup("select 1 /*! delay=20 */", kTimeoutMs), [&, due](const client::Result& r) {
            in_target += r.outcome == client::Outcome::kAnswered && ms_since(due) <= kTargetMs;
          });
        }
      }
      if (plain) return;
      library->close(2000);
      sends += library->stats().attempts;
    });
  for (std::thread& t : threads) t.join();
  if (plain) sends = PlainClient::sends.load();
  fmt::print("{}: {} asked, {} sent to the gateway, {} started at the engines, {} answered within {} ms\n",
             plain ? "plain client" : "library", asked.load(), sends.load(), fleet.started(),
             in_target.load(), kTargetMs);
}

// ---- CPU and memory -----------------------------------------------------------------------------

double cpu_ms() {
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto ms = [](const timeval& t) { return 1000.0 * double(t.tv_sec) + double(t.tv_usec) / 1000.0; };
  return ms(used.ru_utime) + ms(used.ru_stime);
}

double resident_mb() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * double(::sysconf(_SC_PAGESIZE)) / 1e6;
}

// A fake gateway in a child process, so that its CPU and memory are not measured.
class GatewayProcess {
 public:
  explicit GatewayProcess(bool is_mute) {
    int ends[2];
    if (::pipe(ends) != 0) throw std::runtime_error("could not create a pipe");
    process_ = ::fork();
    if (process_ == 0) {
      {
        fakes::FakeHost host;
        fakes::FakeGateway gateway(host);
        gateway.set_mute(is_mute);
        const std::string address = gateway.address();
        [[maybe_unused]] const ssize_t n = ::write(ends[1], address.data(), address.size());
        ::close(ends[1]);
        ::pause();
      }
      ::_exit(0);
    }
    ::close(ends[1]);
    char bytes[64];
    const ssize_t received = ::read(ends[0], bytes, sizeof bytes);
    address.assign(bytes, static_cast<size_t>(std::max<ssize_t>(received, 0)));
    ::close(ends[0]);
  }
  ~GatewayProcess() {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
  std::string address;

 private:
  pid_t process_ = 0;
};

void run_cpu(int calls, int window) {
  GatewayProcess gateway(false);
  {
    client::Options o = options_for(gateway.address, 1);
    o.max_connections = 1;
    client::Client client(o);
    std::atomic<int> ended = 0, answered = 0;
    const double before = cpu_ms();
    const auto start = Clock::now();
    std::function<void(const client::Result&)> next;
    std::atomic<int> sent = 0;
    next = [&](const client::Result& r) {
      answered += r.outcome == client::Outcome::kAnswered;
      ++ended;
      if (sent++ < calls - window) client.send(lookup("select 1", 10000), next);
    };
    for (int i = 0; i < window; ++i) client.send(lookup("select 1", 10000), next);
    while (ended < calls) ::usleep(1000);
    const double elapsed_ms = ms_since(start), cpu = cpu_ms() - before;
    fmt::print(
        "library: {} calls, {} answered, {:.1f} us of CPU a call, {:.0f} a second of one core, {:.0f} a "
        "second met\n",
        calls, answered.load(), 1000 * cpu / calls, 1000 * calls / cpu, 1000 * calls / elapsed_ms);
  }
  StreamSocket socket;
  socket.connect(SocketAddress(gateway.address));
  proto::ReadBuffer read_buffer;
  proto::RpcFrames frames;
  int sent = 0, ended = 0;
  const auto send = [&](int count) {
    std::string out;
    for (int i = 0; i < count && sent < calls; ++i)
      proto::append_command(out,
                            {++sent, "lookup", "select 1", fmt::format("{:016x}", sent), {}, 10000, 20, 1});
    if (!out.empty()) socket.sendBytes(out.data(), static_cast<int>(out.size()));
  };
  const double before = cpu_ms();
  const auto start = Clock::now();
  send(window);
  while (ended < calls) {
    const auto space = read_buffer.prepare(65536);
    const int received = socket.receiveBytes(space.data(), static_cast<int>(space.size()));
    read_buffer.commit(static_cast<size_t>(std::max(received, 0)));
    int replies = 0;
    for (std::span<char> body; frames.next(read_buffer, body) == proto::ReadResult::kComplete; ++replies)
      proto::read_reply(body);
    ended += replies;
    send(replies);
  }
  const double elapsed_ms = ms_since(start), cpu = cpu_ms() - before;
  fmt::print(
      "bare loop: {} calls, {:.1f} us of CPU a call, {:.0f} a second of one core, {:.0f} a second met\n",
      calls, 1000 * cpu / calls, 1000 * calls / cpu, 1000 * calls / elapsed_ms);
}

void run_memory(int calls) {
  GatewayProcess gateway(true);
  client::Options o = options_for(gateway.address, 1);
  o.max_open_calls = static_cast<size_t>(calls);
  o.silence_timeout_ms = 600000;
  client::Client client(o);
  const double before = resident_mb();
  for (int i = 0; i < calls; ++i)
    client.send(lookup(std::string(100, 'x'), 60000), [](const client::Result&) {});
  while (client.stats().attempts < 128) ::usleep(1000);
  const double after = resident_mb();
  fmt::print("{} calls open: {:.1f} MB more than none, {:.0f} bytes a call\n", client.stats().open,
             after - before, 1e6 * (after - before) / calls);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures the client library on loopback.");
  app.require_subcommand(1);
  std::string program = "build-test/firvalve";
  bool advice = true;
  int clients = 100, calls = 200000, window = 32, open = 10000;
  CLI::App* const restart = app.add_subcommand("restart", "connection attempts during a gateway restart");
  restart->add_option("--program", program)->capture_default_str();
  restart->add_option("--clients", clients)->check(CLI::Range(1, 500))->capture_default_str();
  restart->callback([&] {
    run_restart(program, false, clients);
    run_restart(program, true, clients);
  });
  CLI::App* const overload = app.add_subcommand("overload", "load of three times the engines' capacity");
  overload->add_option("--program", program)->capture_default_str();
  overload->add_flag("!--no-advice", advice, "rejections carry no retry delay");
  overload->callback([&] {
    run_overload(program, false, advice);
    run_overload(program, true, advice);
  });
  CLI::App* const cpu = app.add_subcommand("cpu", "CPU per call, compared with a bare socket loop");
  cpu->add_option("--calls", calls)->check(CLI::Range(1000, 10000000))->capture_default_str();
  cpu->add_option("--window", window)->check(CLI::Range(1, 32))->capture_default_str();
  cpu->callback([&] { run_cpu(calls, window); });
  CLI::App* const memory = app.add_subcommand("memory", "memory used by many open calls");
  memory->add_option("--open", open)->check(CLI::Range(1000, 1000000))->capture_default_str();
  memory->callback([&] { run_memory(open); });
  CLI11_PARSE(app, argc, argv);
  return 0;
}
