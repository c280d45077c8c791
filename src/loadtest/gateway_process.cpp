// Starts, controls and ends a child process of the scale run over a socket pair.
#include "loadtest/gateway_process.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

#include "loadtest/gateway_process_wire.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

constexpr int kAnswerMostMs = 30000;  // timeout of a child's answer; allows for a busy machine
constexpr int kEndMostMs = 3000;      // for a child to exit before it is killed
constexpr int kEndLookMs = 5;

// Waits up to `within_ms` for the process to exit. Returns true if it has exited and was reaped.
bool has_ended(pid_t id, int within_ms) {
  for (int waited = 0;; waited += kEndLookMs) {
    if (::waitpid(id, nullptr, WNOHANG) != 0) return true;
    if (waited >= within_ms) return false;
    ::usleep(kEndLookMs * 1000);
  }
}

}  // namespace

std::string sibling_program(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

GatewayProcess::GatewayProcess(GatewayProcessOptions options) : options_(std::move(options)) { start(); }

GatewayProcess::~GatewayProcess() {
  if (channel_ >= 0) ::close(channel_);
  if (id_ > 0 && !has_ended(id_, kEndMostMs)) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

void GatewayProcess::start() {
  // The child must not allocate between fork and exec: another thread may hold the allocator's lock at the
  // fork. So the program's path and arguments are built before it.
  std::string program = sibling_program("firvalve_simulated_gateways");
  std::array<char*, 2> words{program.data(), nullptr};
  int ends[2];
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) != 0)
    throw ScaleError(
        fmt::format("no channel to a child process: {}", std::generic_category().message(errno)));
  channel_ = ends[0];
  id_ = ::fork();
  if (id_ == 0) {
    ::dup2(ends[1], STDIN_FILENO);
    ::execv(program.c_str(), words.data());
    ::_exit(127);
  }
  const int error = errno;
  ::close(ends[1]);
  if (id_ < 0) {
    id_ = 0;
    ::close(std::exchange(channel_, -1));
    throw ScaleError(fmt::format("no further process: {}", std::generic_category().message(error)));
  }
  try {
    say(to_line(options_));
  } catch (...) {
    kill();
    throw;
  }
}

void GatewayProcess::say(const std::string& line) {
  if (channel_ < 0) throw ScaleError("a child process has ended");
  for (size_t sent = 0; sent < line.size();) {
    const ssize_t count = ::send(channel_, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) throw ScaleError("a child process has died");
    sent += static_cast<size_t>(count);
  }
}

std::string GatewayProcess::handle() {
  if (channel_ < 0) throw ScaleError("a child process has ended");
  for (;;) {
    if (const size_t end = unread_.find('\n'); end != std::string::npos) {
      std::string line = unread_.substr(0, end);
      unread_.erase(0, end + 1);
      return line;
    }
    pollfd waits{channel_, POLLIN, 0};
    const int ready = ::poll(&waits, 1, kAnswerMostMs);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) throw ScaleError("a child process does not answer");
    std::array<char, 65536> bytes;
    const ssize_t count = ::recv(channel_, bytes.data(), bytes.size(), 0);
    if (count <= 0) throw ScaleError("a child process has died");
    unread_.append(bytes.data(), static_cast<size_t>(count));
  }
}

void GatewayProcess::do_command(const std::string& line) {
  say(line);
  read_report_line(handle());
}

void GatewayProcess::wait_ready() { read_report_line(handle()); }

void GatewayProcess::ask_report() {
  say(to_line(GatewayProcessCommand{GatewayProcessCommand::Kind::kReport, {}, {}, false}));
}
GatewayProcessReport GatewayProcess::read_report() { return read_report_line(handle()); }

GatewayProcessReport GatewayProcess::report() {
  ask_report();
  return read_report();
}

void GatewayProcess::kill_gateways(const std::vector<size_t>& which) {
  do_command(to_line(GatewayProcessCommand{GatewayProcessCommand::Kind::kKillGateways, which, {}, false}));
}

void GatewayProcess::start_gateways(const std::vector<size_t>& which) {
  do_command(to_line(GatewayProcessCommand{GatewayProcessCommand::Kind::kStartGateways, which, {}, false}));
}

void GatewayProcess::end_gateways(const std::vector<size_t>& which) {
  do_command(to_line(GatewayProcessCommand{GatewayProcessCommand::Kind::kEndGateways, which, {}, false}));
}

void GatewayProcess::announce(const std::string& listings, bool whole) {
  do_command(to_line(GatewayProcessCommand{GatewayProcessCommand::Kind::kAnnounce, {}, listings, whole}));
}

void GatewayProcess::kill() {
  if (id_ > 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
  id_ = 0;
  if (channel_ >= 0) ::close(std::exchange(channel_, -1));
}

}  // namespace firvalve::loadtest
