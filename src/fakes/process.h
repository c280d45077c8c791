// The gateway's program as a child process: started with a configuration, signalled, waited for.
#pragma once

#include <sys/types.h>

#include <string>
#include <string_view>
#include <vector>

namespace firvalve::fakes {

class Process {
 public:
  // `config` is written to a file of its own, which NODE_CONFIG then names; empty: none.
  // Its standard error is added to `log`; empty: it goes where this process's goes.
  // `environment`: NAME=VALUE each, beside this process's own or in place of what that has.
  // kWithItsStarter: the kernel ends it where the thread that started it ends, also by SIGKILL.
  enum class Ends { kByItself, kWithItsStarter };
  Process(std::string program, const std::string& config, std::vector<std::string> arguments = {},
          std::string log = {}, Ends ends = Ends::kByItself, std::vector<std::string> environment = {});
  ~Process();  // SIGKILL, where it still runs
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start();  // again, after its end
  void signal(int number);
  int wait();  // its exit code; -1: ended by a signal
  void stop(int number) { signal(number), wait(); }
  pid_t id() const { return process_; }
  bool running() const;  // started, and not ended by itself; its exit code is still wait()'s to tell
  void rewrite(const std::string& config);
  const std::string& config_path() const { return path_; }
  // Waits until something listens there, for at most 10 s; false: nothing does.
  static bool listens(const std::string& address);

 private:
  bool is_replaced(std::string_view variable) const;  // by one of environment_

  std::string program_, path_;
  std::vector<std::string> arguments_, environment_;
  const std::string log_;
  const Ends ends_;
  pid_t process_ = 0;
};

}  // namespace firvalve::fakes
