// firvalve_simulated_gateways: a child process of the scale run. It receives its options and commands over
// its standard input, a socket to its parent, and answers on it; it exits at the end of that stream.
#include <Poco/Exception.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <exception>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>

#include "fakes/fake_event_bus.h"
#include "loadtest/gateway_process_wire.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

constexpr double kMegabyte = 1024 * 1024;

double process_cpu_us() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto microseconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
  };
  return microseconds(usage.ru_utime) + microseconds(usage.ru_stime);
}

double resident_mb() {
  long whole = 0, resident = 0;
  std::ifstream("/proc/self/statm") >> whole >> resident;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kMegabyte;
}

int open_descriptors() {
  int count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd")) ++count;
  return count;
}

// The event bus and the thread that runs it.
class EventBus {
 public:
  explicit EventBus(const std::string& address)
      : bus_(std::make_unique<fakes::FakeEventBus>(host_, 1, address)) {}
  void announce(const std::string& listings, bool whole) {
    report_.accepted_at = read_report_clock();
    ++report_.updates;
    bus_->announce(listings, whole);
  }
  EventBusReport report() {
    const fakes::BusTraffic traffic = bus_->traffic();
    report_.connections_open = traffic.connections_open;
    report_.connections_made = traffic.connections_made;
    report_.lines_in = traffic.lines_in;
    report_.lines_out = traffic.lines_out;
    report_.bytes_in = traffic.bytes_in;
    report_.bytes_out = traffic.bytes_out;
    report_.cpu_us = process_cpu_us();  // the process runs only the bus and the channel to the parent
    return report_;
  }

 private:
  fakes::FakeHost host_;
  std::unique_ptr<fakes::FakeEventBus> bus_;
  EventBusReport report_;
};

// The simulated gateways or the event bus of this process.
class Child {
 public:
  explicit Child(const GatewayProcessOptions& options) {
    if (!options.bus_address.empty()) {
      try {
        bus_.emplace(options.bus_address);
      } catch (const Poco::Exception& error) {
        throw ScaleError(fmt::format("event bus {}: {}", options.bus_address, error.displayText()));
      }
    }
    for (const SimulatedGatewayOptions& one : options.gateways)
      gateways_.push_back(std::make_unique<SimulatedGateway>(one));
    for (const auto& gateway : gateways_) gateway->start();
  }

  GatewayProcessReport execute(const GatewayProcessCommand& command) {
    using Kind = GatewayProcessCommand::Kind;
    if (command.kind == Kind::kReport) return report();
    if (command.kind == Kind::kAnnounce) {
      if (!bus_) throw ScaleError("no event bus in this process");
      bus_->announce(command.listings, command.whole);
      return {};
    }
    std::vector<SimulatedGateway*> meant;
    for (const size_t place : command.gateways) {
      if (place >= gateways_.size()) throw ScaleError("no such simulated gateway in this process");
      meant.push_back(gateways_[place].get());
    }
    if (command.kind == Kind::kStartGateways)
      for (SimulatedGateway* const gateway : meant) gateway->start();
    if (command.kind == Kind::kEndGateways)
      for (SimulatedGateway* const gateway : meant) gateway->begin_end();
    if (command.kind == Kind::kEndGateways)
      for (SimulatedGateway* const gateway : meant) gateway->wait_ended();
    if (command.kind == Kind::kKillGateways)
      for (SimulatedGateway* const gateway : meant) gateway->kill();
    return {};
  }

 private:
  GatewayProcessReport report() {
    GatewayProcessReport out;
    for (const auto& gateway : gateways_) out.gateways.push_back(gateway->report());
    if (bus_) out.bus = bus_->report();
    out.cpu_us = process_cpu_us();
    out.resident_mb = resident_mb();
    out.descriptors = open_descriptors();
    out.at = read_report_clock();
    return out;
  }

  std::optional<EventBus> bus_;
  std::vector<std::unique_ptr<SimulatedGateway>> gateways_;
};

// The socket to the parent process, read and written by lines.
class Channel {
 public:
  // None: the parent closed the channel.
  std::optional<std::string> read_line() {
    for (;;) {
      if (const size_t end = unread_.find('\n'); end != std::string::npos) {
        std::string line = unread_.substr(0, end);
        unread_.erase(0, end + 1);
        return line;
      }
      std::array<char, 65536> bytes;
      const ssize_t count = ::read(STDIN_FILENO, bytes.data(), bytes.size());
      if (count < 0 && errno == EINTR) continue;
      if (count <= 0) return {};
      unread_.append(bytes.data(), static_cast<size_t>(count));
    }
  }
  void write(const std::string& line) {
    for (size_t sent = 0; sent < line.size();) {
      const ssize_t count = ::send(STDIN_FILENO, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return;  // the next read_line() reports the closed channel
      sent += static_cast<size_t>(count);
    }
  }

 private:
  std::string unread_;
};

int run() {
  ::signal(SIGINT, SIG_IGN);  // a terminal sends it to all processes; the parent shuts this one down
  Channel channel;
  const std::optional<std::string> first = channel.read_line();
  if (!first) return 0;
  try {
    Child child(read_options(*first));
    channel.write(to_line(GatewayProcessReport{}));
    while (const std::optional<std::string> line = channel.read_line())
      channel.write(to_line(child.execute(read_command(*line))));
  } catch (const std::exception& error) {
    channel.write(error_line(error.what()));
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace firvalve::loadtest

int main() { return firvalve::loadtest::run(); }
