#include "core/pending_commands.h"

#include <utility>

namespace firvalve {

PendingCommand* PendingCommands::add(const CommandId& id, CallId call, const CommandId& retry_chain,
                                     std::string statement) {
  const auto [at, is_new] = commands_.try_emplace(id);
  if (!is_new) return nullptr;
  PendingCommand& command = at->second;
  command.id = id;
  command.call = call;
  command.retry_chain = retry_chain;
  command.statement = std::move(statement);
  statement_bytes_ += command.statement.size();
  if (retry_chain != id) retry_chains_[retry_chain] = &command;
  calls_[call] = {&command};
  return &command;
}

PendingCommand* PendingCommands::find(const CommandId& id) {
  const auto at = commands_.find(id);
  return at == commands_.end() ? nullptr : &at->second;
}

const PendingCommand* PendingCommands::find(const CommandId& id) const {
  const auto at = commands_.find(id);
  return at == commands_.end() ? nullptr : &at->second;
}

PendingCommand* PendingCommands::find_in_chain(const CommandId& first) {
  const auto latest = retry_chains_.find(first);
  PendingCommand* const command = latest != retry_chains_.end() ? latest->second : find(first);
  return command && !command->is_finished() ? command : nullptr;
}

void PendingCommands::add_call(PendingCommand& command, CallId call) {
  command.joined_retries.push_back(call);
  ++joined_calls_;
  calls_[call] = {&command};
}

PendingCommand* PendingCommands::find_by_call(CallId call) {
  const auto at = calls_.find(call);
  return at == calls_.end() ? nullptr : at->second.command;
}

void PendingCommands::remove_call(PendingCommand& command, CallId call) {
  if (command.call == call) {
    command.call = command.joined_retries.back();
    command.joined_retries.pop_back();
  } else {
    std::erase(command.joined_retries, call);
  }
  --joined_calls_;
  calls_.erase(call);
}

AttemptId PendingCommands::start_attempt(TimePoint now, PendingCommand& command, EngineId engine) {
  last_attempt_ = next_after(last_attempt_);
  command.attempt = last_attempt_;
  command.attempt_count += 1;
  command.attempt_started_at = now;
  command.past_deadline = false;
  command.engine = engine;
  attempts_[last_attempt_] = &command;
  return last_attempt_;
}

PendingCommand* PendingCommands::find_by_attempt(AttemptId attempt) {
  const auto at = attempts_.find(attempt);
  return at == attempts_.end() ? nullptr : at->second;
}

const PendingCommand* PendingCommands::find_by_attempt(AttemptId attempt) const {
  const auto at = attempts_.find(attempt);
  return at == attempts_.end() ? nullptr : at->second;
}

PendingCommand* PendingCommands::end_attempt(AttemptId attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end()) return nullptr;
  PendingCommand* const command = at->second;
  attempts_.erase(at);
  command->attempt.reset();
  return command;
}

void PendingCommands::finish(PendingCommand& command) {
  command.for_each_call([&](CallId call) { calls_.erase(call); });
  command.call.reset();
  joined_calls_ -= command.joined_retries.size();
  command.joined_retries.clear();
  const auto chain = retry_chains_.find(command.retry_chain);
  if (chain != retry_chains_.end() && chain->second == &command) retry_chains_.erase(chain);
  if (!command.attempt) release(command);
}

void PendingCommands::release(PendingCommand& command) {
  statement_bytes_ -= command.statement.size();
  std::string().swap(command.statement);
  released_.push_back(command.id);
}

void PendingCommands::erase_released() {
  for (const CommandId& id : released_) commands_.erase(id);
  released_.clear();
}

}  // namespace firvalve
