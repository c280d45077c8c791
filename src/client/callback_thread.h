// Thread that runs user code, one function at a time: the callbacks of ended calls and the log function.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "client/call_state.h"
#include "client/client.h"

namespace firvalve::client {

class CallbackThread {
 public:
  using Log = std::function<void(LogLevel, std::string_view)>;
  // An empty `log` discards log lines. `on_callback_returned` runs on this thread after each callback.
  CallbackThread(Log log, std::function<void()> on_callback_returned)
      : log_(std::move(log)), on_callback_returned_(std::move(on_callback_returned)) {}

  // `owner` is kept alive until the thread has ended.
  void start(std::shared_ptr<void> owner);
  // Thread-safe. Callbacks run in the order in which they were posted.
  void post_callback(CallStatePtr ended_call);
  void post_log(LogLevel level, std::string line);
  void finish();  // the thread ends once it has run everything posted
  void join() { thread_.join(); }
  void detach() { thread_.detach(); }
  bool is_current() const { return std::this_thread::get_id() == thread_id_; }

 private:
  void run();

  const Log log_;
  const std::function<void()> on_callback_returned_;
  std::thread thread_;
  std::atomic<std::thread::id> thread_id_{};

  std::mutex mutex_;  // guards the members below
  std::condition_variable posted_;
  std::deque<CallStatePtr> calls_;
  std::deque<std::pair<LogLevel, std::string>> logs_;
  bool is_finished_ = false;
};

}  // namespace firvalve::client
