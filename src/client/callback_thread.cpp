// Queues and runs the callbacks of ended calls and the log lines.
#include "client/callback_thread.h"

namespace firvalve::client {
namespace {

constexpr size_t kMaxQueuedLogLines = 1000;  // further lines are dropped

}  // namespace

void CallbackThread::start(std::shared_ptr<void> owner) {
  thread_ = std::thread([this, owner = std::move(owner)] { run(); });
}

void CallbackThread::post_callback(CallStatePtr ended_call) {
  {
    const std::lock_guard lock(mutex_);
    calls_.push_back(std::move(ended_call));
  }
  posted_.notify_one();
}

void CallbackThread::post_log(LogLevel level, std::string line) {
  if (!log_) return;
  {
    const std::lock_guard lock(mutex_);
    if (logs_.size() >= kMaxQueuedLogLines) return;
    logs_.emplace_back(level, std::move(line));
  }
  posted_.notify_one();
}

void CallbackThread::finish() {
  {
    const std::lock_guard lock(mutex_);
    is_finished_ = true;
  }
  posted_.notify_all();
}

void CallbackThread::run() {
  thread_id_ = std::this_thread::get_id();
  std::unique_lock lock(mutex_);
  for (;;) {
    posted_.wait(lock, [this] { return is_finished_ || !calls_.empty() || !logs_.empty(); });
    if (calls_.empty() && logs_.empty()) return;
    const auto logs = std::exchange(logs_, {});
    CallStatePtr call;
    if (!calls_.empty()) {
      call = std::move(calls_.front());
      calls_.pop_front();
    }
    lock.unlock();
    for (const auto& [level, line] : logs) log_(level, line);
    if (call) {
      call->callback(call->result);
      call->callback = {};  // free its captures now, not with the last handle
      call.reset();
      on_callback_returned_();
    }
    lock.lock();
  }
}

}  // namespace firvalve::client
