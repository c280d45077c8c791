// Bookkeeping of the pending commands, the calls that wait for them, and the attempts in flight. Makes no
// decisions and does no I/O.
//
// Lifecycle of a command: add() -> any number of attempts, one at a time -> finish() once its clients have
// their response or have disconnected -> released when it has no attempt in flight -> erased by
// erase_released() after the policy's next decision. Until it is erased, its id counts as a duplicate. If the
// id were free earlier, a client that reuses it at once would make the policy confuse the two commands and
// count an attempt as in flight forever.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/command_id.h"
#include "core/ids.h"
#include "core/result_store.h"

namespace firvalve {

struct PendingCommand {
  CommandId id;
  std::optional<CallId> call;          // none: finished, no client waits any more
  std::vector<CallId> joined_retries;  // further calls that wait: retries of the same command
  CommandId retry_chain;  // id of the first command of its retry chain; its own id if it is the first
  std::string statement;
  int profile = 0;              // index in the settings
  TimePoint deadline{};         // its client's deadline, or the gateway's shutdown if that is sooner
  std::optional<int> priority;  // last set by the policy
  bool half_closed = false;     // all waiting clients are half-closed
  // Attempts, one at a time.
  int attempt_count = 0;
  std::optional<AttemptId> attempt;  // the attempt in flight
  EngineId engine{};                 // the last attempt's
  TimePoint attempt_started_at{};    // the last attempt's
  bool past_deadline = false;        // the attempt in flight was cancelled at the deadline
  // Paged commands only: the reserved result (none: waiting for a reservation) and the reservation's
  // parameters.
  bool paged = false;
  std::optional<ResultHandle> result;
  std::string result_owner, result_key;
  int64_t table_group = -1;

  bool is_finished() const { return !call; }
  template <class Respond>
  void for_each_call(Respond&& respond) const {
    if (call) respond(*call);
    for (const CallId retry : joined_retries) respond(retry);
  }
};

// References to commands stay valid until erase_released().
class PendingCommands {
 public:
  // What one command takes besides its statement: its records here, in the policy and at its client's
  // connection.
  static constexpr size_t kRecordBytes = 1024;
  static constexpr size_t kJoinedCallBytes = 256;  // the same for each further call that waits for it

  void set_max_bytes(size_t bytes) { max_bytes_ = bytes; }
  bool has_capacity_for(const std::string& statement) const {
    return bytes() + kRecordBytes + statement.size() <= max_bytes_;
  }
  // Whether one more call may join a command.
  bool has_capacity_for_call() const { return bytes() + kJoinedCallBytes <= max_bytes_; }
  // Memory of all commands until they are erased.
  size_t bytes() const {
    return commands_.size() * kRecordBytes + joined_calls_ * kJoinedCallBytes + statement_bytes_;
  }

  // Returns null if a command with that id is pending.
  PendingCommand* add(const CommandId& id, CallId call, const CommandId& retry_chain, std::string statement);
  PendingCommand* find(const CommandId& id);
  const PendingCommand* find(const CommandId& id) const;
  // Returns the unfinished command of the retry chain that starts with `first`, or null.
  PendingCommand* find_in_chain(const CommandId& first);

  // ---- Calls
  void add_call(PendingCommand& command, CallId call);
  PendingCommand* find_by_call(CallId call);
  // Removes one of several calls that wait for the command.
  void remove_call(PendingCommand& command, CallId call);
  void half_close(CallId call) { calls_.at(call).half_closed = true; }
  bool is_half_closed(CallId call) const { return calls_.at(call).half_closed; }

  // ---- Attempts
  AttemptId start_attempt(TimePoint now, PendingCommand& command, EngineId engine);
  PendingCommand* find_by_attempt(AttemptId attempt);
  const PendingCommand* find_by_attempt(AttemptId attempt) const;
  // Ends the attempt and returns its command, or null if there is no such attempt.
  PendingCommand* end_attempt(AttemptId attempt);

  // ---- End of a command
  // Removes all calls of the command. Releases it at once if it has no attempt in flight; otherwise the
  // caller does once the attempt has ended.
  void finish(PendingCommand& command);
  // Frees the statement and marks the command for erase_released().
  void release(PendingCommand& command);
  void erase_released();

  template <class Visit>
  void for_each(Visit&& visit) {
    for (auto& [id, command] : commands_) visit(command);
  }
  size_t command_count() const { return commands_.size() - released_.size(); }
  size_t call_count() const { return calls_.size(); }

 private:
  struct Call {
    PendingCommand* command = nullptr;
    bool half_closed = false;
  };
  std::map<CommandId, PendingCommand, CommandIdLess> commands_;
  std::map<CallId, Call> calls_;
  // The latest unfinished retry of each chain, by the id of the chain's first command.
  std::map<CommandId, PendingCommand*, CommandIdLess> retry_chains_;
  std::map<AttemptId, PendingCommand*> attempts_;
  std::vector<CommandId> released_;
  AttemptId last_attempt_{};
  size_t max_bytes_ = SIZE_MAX, statement_bytes_ = 0, joined_calls_ = 0;
};

}  // namespace firvalve
