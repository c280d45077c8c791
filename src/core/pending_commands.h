// The commands in hand, with the calls that wait for them and the attempts that are out: bookkeeping alone,
// no decision and no I/O.
//
// A command's life: add() -> any number of attempts, one at a time -> finish() once its clients have their
// response or have gone -> released when no attempt of it is out -> erased by erase_released(), after the
// policy has decided again. Until then its id counts as a duplicate: a client that sends the same id again at
// once would make the policy take the one command for the other and count an attempt as out for good.
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
  std::optional<CallId> call;          // none: it is finished, no client waits for it any more
  std::vector<CallId> joined_retries;  // further calls that wait for it: retries of the same command
  CommandId retry_chain;  // the id of the first command of its retry chain; its own if it is that
  std::string statement;
  int profile = 0;              // its place in the settings
  TimePoint deadline{};         // its client's, or this gateway's own end if that is sooner
  std::optional<int> priority;  // as the policy last set it
  bool half_closed = false;     // all clients that wait for it are
  // Attempts: one at a time.
  int attempt_count = 0;
  std::optional<AttemptId> attempt;  // the one that is out
  EngineId engine{};                 // of the last attempt
  TimePoint attempt_started_at{};    // the last one
  bool past_deadline = false;        // the attempt that is out was cancelled for its deadline
  // Of a paged command: its reserved result (none: it waits for a reservation), and what to reserve it with.
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

// References to commands stay good until erase_released().
class PendingCommands {
 public:
  void set_max_statement_bytes(size_t bytes) { max_statement_bytes_ = bytes; }
  bool has_capacity_for(const std::string& statement) const {
    return statement_bytes_ + statement.size() <= max_statement_bytes_;
  }

  // Null: a command with that id is in hand.
  PendingCommand* add(const CommandId& id, CallId call, const CommandId& retry_chain, std::string statement);
  PendingCommand* find(const CommandId& id);
  const PendingCommand* find(const CommandId& id) const;
  // The command in hand of a retry chain that clients wait for. Null: there is none.
  PendingCommand* find_in_chain(const CommandId& first);

  // ---- Calls
  void add_call(PendingCommand& command, CallId call);
  PendingCommand* find_by_call(CallId call);
  // One of several calls waits no longer.
  void remove_call(PendingCommand& command, CallId call);
  void half_close(CallId call) { calls_.at(call).half_closed = true; }
  bool is_half_closed(CallId call) const { return calls_.at(call).half_closed; }

  // ---- Attempts
  AttemptId start_attempt(TimePoint now, PendingCommand& command, EngineId engine);
  PendingCommand* find_by_attempt(AttemptId attempt);
  const PendingCommand* find_by_attempt(AttemptId attempt) const;
  // The attempt is over. Gives its command; null: there is no such attempt.
  PendingCommand* end_attempt(AttemptId attempt);

  // ---- The end
  // No call waits for it any more. It is released at once, or with the attempt that is out.
  void finish(PendingCommand& command);
  void release(PendingCommand& command);  // its memory is freed at once
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
  // Of retries that are not finished: the latest by the id of its chain's first command.
  std::map<CommandId, PendingCommand*, CommandIdLess> retry_chains_;
  std::map<AttemptId, PendingCommand*> attempts_;
  std::vector<CommandId> released_;
  AttemptId last_attempt_{};
  size_t max_statement_bytes_ = SIZE_MAX, statement_bytes_ = 0;
};

}  // namespace firvalve
