// A program, usually the gateway, as a child process that can be started, signalled and waited for.
#pragma once

#include <sys/types.h>

#include <string>
#include <string_view>
#include <vector>

namespace firvalve::fakes {

class Process {
 public:
  // `config` is written to a temporary file that NODE_CONFIG names; empty: no file.
  // Standard error is appended to the file `log`; empty: standard error is inherited.
  // `environment`: NAME=VALUE entries that are added to the inherited environment or replace variables in it.
  // kWithItsStarter: the kernel kills the child when the thread that started it ends, even by SIGKILL.
  enum class Ends { kByItself, kWithItsStarter };
  Process(std::string program, const std::string& config, std::vector<std::string> arguments = {},
          std::string log = {}, Ends ends = Ends::kByItself, std::vector<std::string> environment = {});
  ~Process();  // sends SIGKILL if it is still running
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void start();  // starts it again after it has ended
  void signal(int number);
  int wait();  // returns its exit code; -1: ended by a signal
  void stop(int number) { signal(number), wait(); }
  pid_t id() const { return process_id_; }
  bool running() const;  // does not reap an ended process: wait() still returns its exit code
  void rewrite(const std::string& config);
  const std::string& config_path() const { return config_path_; }
  // Waits until a connection to `address` succeeds, 10 s if it is refused each time; returns false if none
  // did.
  static bool listens(const std::string& address);

 private:
  bool is_replaced(std::string_view variable) const;  // environment_ has a variable of the same name

  std::string program_, config_path_;
  std::vector<std::string> arguments_, environment_;
  const std::string log_;
  const Ends ends_;
  pid_t process_id_ = 0;
};

}  // namespace firvalve::fakes
