// Starts a program with fork() and execve(), and controls it by signals.
#include "fakes/process.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace firvalve::fakes {

Process::Process(std::string program, const std::string& config, std::vector<std::string> arguments,
                 std::string log, Ends ends, std::vector<std::string> environment)
    : program_(std::move(program)),
      arguments_(std::move(arguments)),
      environment_(std::move(environment)),
      log_(std::move(log)),
      ends_(ends) {
  environment_.push_back("NODE_CONFIG=");
  if (!config.empty()) {
    char name[] = "/tmp/firvalve-XXXXXX";
    const int descriptor = ::mkstemp(name);
    if (descriptor < 0) throw std::runtime_error("could not create a temporary file for the configuration");
    ::close(descriptor);
    config_path_ = name;
    rewrite(config);
  }
  start();
}

Process::~Process() {
  if (process_id_ > 0) stop(SIGKILL);
  if (!config_path_.empty()) std::remove(config_path_.c_str());
}

void Process::rewrite(const std::string& config) { std::ofstream(config_path_, std::ios::trunc) << config; }

bool Process::is_replaced(std::string_view variable) const {
  const std::string_view name = variable.substr(0, variable.find('=') + 1);
  return std::any_of(environment_.begin(), environment_.end(),
                     [&](const std::string& other) { return other.starts_with(name); });
}

void Process::start() {
  std::vector<char*> argv{program_.data()};
  for (std::string& a : arguments_) argv.push_back(a.data());
  argv.push_back(nullptr);
  // Allocates before the fork only: in the child, another thread's allocator lock could be held forever.
  environment_.back() = "NODE_CONFIG=" + config_path_;
  std::vector<char*> environment;
  for (char** e = environ; *e; ++e)
    if (!is_replaced(*e)) environment.push_back(*e);
  for (std::string& variable : environment_)
    if (variable != "NODE_CONFIG=") environment.push_back(variable.data());
  environment.push_back(nullptr);
  const pid_t starter = ::getpid();
  process_id_ = ::fork();
  if (process_id_ != 0) return;
  if (ends_ == Ends::kWithItsStarter) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != starter) ::_exit(127);  // the parent ended before prctl() took effect
  }
  if (!log_.empty()) {
    const int log_file = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log_file >= 0) ::dup2(log_file, STDERR_FILENO);
  }
  // The child must not inherit connections: they would stay open there after they are closed here.
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  ::execve(program_.c_str(), argv.data(), environment.data());
  ::_exit(127);
}

void Process::signal(int number) {
  if (process_id_ > 0) ::kill(process_id_, number);
}

bool Process::running() const {
  if (process_id_ <= 0) return false;
  siginfo_t ended{};
  if (::waitid(P_PID, static_cast<id_t>(process_id_), &ended, WEXITED | WNOHANG | WNOWAIT) != 0) return false;
  return ended.si_pid == 0;
}

int Process::wait() {
  int status = 0;
  if (process_id_ > 0) ::waitpid(process_id_, &status, 0);
  process_id_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool Process::listens(const std::string& address) {
  for (int tries = 0; tries < 1000; ++tries) {
    try {
      Poco::Net::StreamSocket socket;
      socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(1, 0));
      return true;
    } catch (const Poco::Exception&) {
      ::usleep(10000);
    }
  }
  return false;
}

}  // namespace firvalve::fakes
