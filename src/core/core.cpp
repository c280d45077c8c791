#include "core/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/settings.h"

namespace firvalve {
namespace {

CommandId command_id(std::string_view text) {
  CommandId id;
  std::copy_n(text.begin(), std::min(text.size(), id.text.size()), id.text.begin());
  return id;
}
std::string_view view(const std::array<char, 16>& id) { return {id.data(), id.size()}; }

}  // namespace

Core::Core(const Settings& settings, uint64_t seed, ResponseSink& responses, EngineTransport& engines,
           Metrics& metrics, PolicyLogSink log)
    : state_(open(settings, seed)),
      profiles_(names_of(settings, "profile")),
      responses_(responses),
      engines_(engines),
      metrics_(metrics),
      log_(std::move(log)),
      tick_(number(settings, "tick")),
      may_cancel_(number(settings, "may cancel") > 0) {
  double max_cores = 0, max_memory_mb = 0;
  for (const auto& [name, value] : settings) {
    if (name.starts_with("cores.")) max_cores = std::max(max_cores, number(settings, name));
    if (name.starts_with("memory.")) max_memory_mb = std::max(max_memory_mb, number(settings, name));
  }
  // Where the settings do not say what there is, any figure may be a client's.
  if (const std::optional<Duration> longest = longest_client_timeout(settings)) {
    max_timeout_ = 2 * *longest;
    if (max_cores > 0) max_estimate_ = kEstimateTolerance * *longest * max_cores;
  }
  if (max_memory_mb > 0) max_memory_mb_ = kEstimateTolerance * max_memory_mb;
}

std::optional<Duration> longest_client_timeout(const Settings& settings) {
  Duration longest{};
  for (size_t i = 0; i < names_of(settings, "profile").size(); ++i)
    longest = std::max(longest, duration_of(number(settings, fmt::format("profile.{}.client timeout", i))));
  return longest > Duration{} ? std::optional(longest) : std::nullopt;
}

std::string_view Core::engine_name(uint32_t engine) const {
  const auto at = listed_.find(engine);
  return at == listed_.end() ? std::string_view() : at->second;
}

const std::string& Core::profile_name(const PendingCommand& command) const {
  return profiles_[static_cast<size_t>(command.profile)];
}

void Core::notify_observer(TimePoint now, CommandEvent::Kind kind, const Id& id,
                           const PendingCommand& command, Reason reason, Outcome outcome,
                           std::optional<Duration> duration) const {
  if (!observer_) return;
  observer_(now, {kind, view(id), profile_name(command), engine_name(command.engine), command.attempts,
                  reason, outcome, duration});
}

void Core::handle_event(TimePoint now, const Event& event) {
  now_ = now;
  handle(state_, to_ms(now), event);
  has_new_events_ = true;
}

AdmissionResult Core::admit(TimePoint now, CallId call, CommandRequest&& request) {
  const auto profile = std::find(profiles_.begin(), profiles_.end(), request.profile);
  if (profile == profiles_.end()) return AdmissionResult::kUnknownProfile;
  const Duration estimate = request.estimated_work.value_or(Duration{});
  // Guards the policy's means against figures that no client of this deployment can have. It may reject one
  // whose settings are long out of date.
  if (request.timeout > max_timeout_ || estimate > max_estimate_ || request.memory_mb > max_memory_mb_)
    return AdmissionResult::kOutOfRange;
  const int profile_number = static_cast<int>(profile - profiles_.begin());
  const bool is_retry = !request.retry_of.empty();
  if (is_retry && join_pending(now, call, request, profile_number)) return AdmissionResult::kAdmitted;
  const bool paged = request.paged && result_store_;
  if (paged && is_retry) {
    found_result_ = result_store_->find(now, {request.owner, request.result_key, request.profile,
                                              request.statement, request.retry_of, request.table_group});
    if (found_result_) return AdmissionResult::kResultFound;
  }
  if (statement_bytes_ + request.statement.size() > max_statement_bytes_) return AdmissionResult::kNoCapacity;
  const CommandId id = command_id(request.command);
  const auto [at, is_new] = pending_.try_emplace(id.text);
  if (!is_new) return AdmissionResult::kDuplicateId;
  PendingCommand& command = at->second;
  command.call = call;
  command.statement = std::move(request.statement);
  statement_bytes_ += command.statement.size();
  command.profile = profile_number;
  command.retry_chain = is_retry ? command_id(request.retry_of).text : id.text;
  if (command.retry_chain != id.text) retry_chains_[command.retry_chain] = id.text;
  command.deadline = now + request.timeout;
  if (ends_at_) command.deadline = std::min(command.deadline, *ends_at_);
  calls_[call] = {id.text};
  metrics_.add("taken", *profile);
  Admitted admitted;
  admitted.id = id;
  admitted.profile = command.profile;
  admitted.gives_up_at = to_ms(command.deadline);
  admitted.estimate = to_ms(estimate);
  admitted.memory_mb = request.memory_mb;
  admitted.tables = request.table_group;
  admitted.repeat = is_retry;
  notify_observer(now, CommandEvent::Kind::kAdmitted, id.text, command);
  handle_event(now, admitted);
  if (paged) {
    command.paged = true;
    command.owner = request.owner;
    command.result_key = request.result_key;
    command.table_group = request.table_group;
    if (!try_reserve_result(now, command)) {
      awaiting_reservation_.push_back(id.text);
      handle_event(now, ResultReservation{id, false});
    }
  }
  return AdmissionResult::kAdmitted;
}

ResultStore::Reservation Core::reservation_of(const PendingCommand& command) const {
  return {command.owner,     command.result_key,        profile_name(command),
          command.statement, view(command.retry_chain), command.table_group};
}

bool Core::try_reserve_result(TimePoint now, PendingCommand& command) {
  command.result = result_store_->reserve(now, reservation_of(command));
  return command.result.has_value();
}

// In the order admitted. One whose owner has no space does not block those behind it.
void Core::result_space_available(TimePoint now) {
  std::erase_if(awaiting_reservation_, [&](const Id& id) {
    const auto at = pending_.find(id);
    if (at == pending_.end() || !at->second.call) return true;
    if (!try_reserve_result(now, at->second)) return false;
    handle_event(now, ResultReservation{CommandId{id}, true});
    return true;
  });
}

ResultStore::AppendResult Core::append_page(TimePoint now, AttemptId attempt, std::string_view rows) {
  const auto id = attempts_.find(attempt);
  if (id == attempts_.end()) return ResultStore::AppendResult::kOutOfSpace;
  const auto at = pending_.find(id->second);
  if (!at->second.result) return ResultStore::AppendResult::kOutOfSpace;
  const ResultStore::AppendResult appended = result_store_->append_page(now, *at->second.result, rows);
  if (appended == ResultStore::AppendResult::kOutOfSpace) {
    at->second.result.reset();
    fail_command(now, at, "the result has outgrown the spool");
  }
  return appended;
}

// Its clients get that response, and the policy cancels the attempt that is out.
void Core::fail_command(TimePoint now, PendingMap::iterator at, std::string_view reason) {
  metrics_.add("failed", profile_name(at->second));
  for_each_call(at->second, [&](CallId call) { responses_.fail(call, reason); });
  notify_observer(now, CommandEvent::Kind::kFailed, at->first, at->second);
  const CommandId id{at->first};
  finish(at);
  handle_event(now, ClientGone{id});
}

// Guards against a second run of what is still in hand, when a client lost sight of it and sends it again: it
// runs once and each call gets the answer. Only the same statement of the same profile is the same command;
// whoever can name both and the id could have read the answer anyway.
bool Core::join_pending(TimePoint now, CallId call, const CommandRequest& request, int profile) {
  const Id chain = command_id(request.retry_of).text;
  const auto latest = retry_chains_.find(chain);
  const auto at = pending_.find(latest != retry_chains_.end() ? latest->second : chain);
  if (at == pending_.end() || !at->second.call) return false;
  PendingCommand& command = at->second;
  if (command.profile != profile || command.statement != request.statement) return false;
  if (command.paged != (request.paged && result_store_) || command.result_key != request.result_key)
    return false;
  command.joined_retries.push_back(call);
  calls_[call] = {at->first};
  metrics_.add("joined", profile_name(command));
  update_half_closed(now, at->first);
  return true;
}

std::optional<CallId> Core::find_call(std::string_view command) const {
  const auto at = pending_.find(command_id(command).text);
  return at == pending_.end() ? std::nullopt : at->second.call;
}

void Core::client_gone(TimePoint now, CallId call) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) return;
  const CommandId id{at->second.id};
  PendingCommand& command = pending_.at(id.text);
  metrics_.add("given up by client", profile_name(command));
  if (!command.joined_retries.empty()) {  // the others still wait for it
    if (command.call == call) {
      command.call = command.joined_retries.back();
      command.joined_retries.pop_back();
    } else {
      std::erase(command.joined_retries, call);
    }
    calls_.erase(at);
    return update_half_closed(now, id.text);
  }
  notify_observer(now, CommandEvent::Kind::kClientGone, id.text, command);
  finish(pending_.find(id.text));
  handle_event(now, ClientGone{id});
}

void Core::client_half_closed(TimePoint now, CallId call) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) return;
  at->second.half_closed = true;
  update_half_closed(now, at->second.id);
}

// The policy learns whether any client is sure to be there still.
void Core::update_half_closed(TimePoint now, const Id& id) {
  PendingCommand& command = pending_.at(id);
  bool all_half_closed = true;
  for_each_call(command, [&](CallId call) { all_half_closed &= calls_.at(call).half_closed; });
  if (all_half_closed == command.half_closed) return;
  command.half_closed = all_half_closed;
  handle_event(now, ClientHalfClosed{CommandId{id}, all_half_closed});
}

bool Core::may_start_attempt(TimePoint now, AttemptId attempt) const {
  const auto id = attempts_.find(attempt);
  if (id == attempts_.end()) return false;
  const PendingCommand& command = pending_.at(id->second);
  return command.call && now < command.deadline &&
         firvalve::may_begin(state_, CommandId{id->second}, to_ms(now));
}

void Core::finish(PendingMap::iterator at) {
  PendingCommand& command = at->second;
  for_each_call(command, [&](CallId call) { calls_.erase(call); });
  command.call.reset();
  command.joined_retries.clear();
  if (command.result)
    result_store_->discard(now_, *std::exchange(command.result, std::nullopt));
  else if (command.paged)
    std::erase(awaiting_reservation_, at->first);
  const auto chain = retry_chains_.find(command.retry_chain);
  if (chain != retry_chains_.end() && chain->second == at->first) retry_chains_.erase(chain);
  if (!command.attempt) release(at);
}

// Its memory is freed at once, its id is free again after the next decisions.
void Core::release(PendingMap::iterator at) {
  statement_bytes_ -= at->second.statement.size();
  std::string().swap(at->second.statement);
  finished_.push_back(at->first);
}

// Gateways must agree on the order of engines, so the number comes from the name alone: its eight hex digits,
// or else a hash of it.
uint32_t Core::number_of(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known != numbers_.end()) return known->second;
  const std::string digits = name.substr(name.rfind('-') + 1);
  uint32_t number = 2166136261u;
  if (digits.size() == 8 && digits.find_first_not_of("0123456789abcdef") == std::string::npos) {
    number = static_cast<uint32_t>(std::stoul(digits, nullptr, 16));
  } else {
    for (const char c : name) number = (number ^ static_cast<unsigned char>(c)) * 16777619u;
  }
  while (!numbers_in_use_.insert(number).second) ++number;
  return numbers_[name] = number;
}

void Core::forget_number(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known == numbers_.end()) return;
  numbers_in_use_.erase(known->second);
  numbers_.erase(known);
}

void Core::update_engine_list(TimePoint now, bool full, std::vector<NamedEngineInfo> engines,
                              std::optional<TimePoint> current_at) {
  EngineListUpdate update;
  update.full = full;
  update.current_at = to_ms(current_at.value_or(TimePoint{}));
  std::map<uint32_t, std::string> present;
  for (NamedEngineInfo& engine : engines) {
    engine.info.engine = number_of(engine.name);
    update.listings.push_back(engine.info);
    engines_.update_engine(now, engine.info.engine, engine.address, engine.info.life);
    if (engine.info.life != EngineState::kGone) {
      present[engine.info.engine] = engine.name;
      continue;
    }
    listed_.erase(engine.info.engine);
    forget_number(engine.name);
  }
  if (full) {
    for (const auto& [engine, name] : listed_) {
      if (present.count(engine)) continue;
      engines_.update_engine(now, engine, {}, EngineState::kGone);
      forget_number(name);
    }
    listed_.clear();
  }
  listed_.insert(present.begin(), present.end());
  handle_event(now, update);
}

void Core::attempt_status_received(TimePoint now, AttemptId attempt, AttemptStatusKind kind, double value) {
  const auto id = attempts_.find(attempt);
  if (id == attempts_.end()) return;
  metrics_.add("noted");
  handle_event(now, AttemptStatus{CommandId{id->second}, pending_.at(id->second).attempts - 1, kind, value});
}

void Core::attempt_finished(TimePoint now, AttemptId attempt, Outcome outcome, std::string rows) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return;
  const Id id = found->second;
  attempts_.erase(found);
  const auto at = pending_.find(id);
  PendingCommand& command = at->second;
  metrics_.add("sends ended", name_of(outcome));
  const Duration duration = now - command.started_at;
  AttemptFinished event;
  event.id = CommandId{id};
  event.send = command.attempts - 1;
  event.outcome = outcome;
  event.took = to_ms(duration);
  command.attempt.reset();
  notify_observer(now, CommandEvent::Kind::kAttemptFinished, id, command, Reason::kNone, outcome, duration);
  if (outcome == Outcome::kOk && command.call) {
    metrics_.add("answered", profile_name(command));
    if (command.paged) {
      const ResultHandle result = command.result.value();
      result_store_->complete(now, result);
      for_each_call(command, [&](CallId call) { responses_.answer_paged(call, result); });
      command.result.reset();  // the store's own from here on
    } else {
      for_each_call(command, [&](CallId call) { responses_.answer(call, rows); });
    }
    notify_observer(now, CommandEvent::Kind::kAnswered, id, command);
    finish(at);
    event.finished = true;
  } else if (!command.call) {
    event.finished = true;
    release(at);
  } else if (command.result) {
    // Nothing of it has been given out: another attempt may make it anew.
    result_store_->clear_pages(now, *command.result);
  }
  handle_event(now, event);
}

void Core::begin_shutdown(TimePoint now, TimePoint ends_at) {
  ends_at_ = ends_at;
  for (auto& [id, command] : pending_) command.deadline = std::min(command.deadline, ends_at);
  deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, ends_at);
  handle_event(now, ShutdownStarted{to_ms(ends_at)});
}

// An attempt ends at its client's deadline at the latest, whatever its engine says.
void Core::cancel_past_deadline(TimePoint now) {
  if (!deadline_check_at_ || now < *deadline_check_at_) return;
  deadline_check_at_.reset();
  for (auto& [id, command] : pending_) {
    if (!command.attempt || command.past_deadline) continue;
    if (now >= command.deadline) {
      command.past_deadline = true;
      notify_observer(now, CommandEvent::Kind::kAttemptCancelled, id, command, Reason::kDeadlineOver);
      engines_.cancel_attempt(now, *command.attempt, Outcome::kTimedOut);
    } else {
      deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, command.deadline);
    }
  }
}

void Core::fire_timers(TimePoint now) {
  for (; !timers_.empty() && timers_.begin()->first <= now; timers_.erase(timers_.begin()))
    handle_event(now, TimerFired{timers_.begin()->second});
}

void Core::decide(TimePoint now) {
  cancel_past_deadline(now);
  fire_timers(now);
  if (!has_new_events_ || now < decided_at_ + tick_) return;
  has_new_events_ = false;
  decided_at_ = now;
  actions_.clear();
  firvalve::decide(state_, to_ms(now), actions_);
  for (const Action& action : actions_) carry_out(now, action);
  for (const Id& id : finished_) pending_.erase(id);
  finished_.clear();
}

void Core::carry_out(TimePoint now, const Action& action) {
  if (action.kind == Action::Kind::kBell) {
    timers_.emplace(now + duration_of(action.wait), static_cast<uint64_t>(action.number));
    return;
  }
  if (action.kind == Action::Kind::kLog) return log_({action.text, engine_name(action.engine)});
  const auto at = pending_.find(action.id.text);
  if (at == pending_.end()) return;
  PendingCommand& command = at->second;
  const std::string& profile = profile_name(command);
  switch (action.kind) {
    case Action::Kind::kSend: {
      metrics_.add(command.attempts > 0 ? "sent again" : "sent", profile);
      last_attempt_ = next_after(last_attempt_);
      command.attempt = last_attempt_;
      command.attempts += 1;
      command.started_at = now;
      command.past_deadline = false;
      command.engine = action.engine;
      notify_observer(now, CommandEvent::Kind::kAttemptStarted, at->first, command);
      attempts_[last_attempt_] = at->first;
      deadline_check_at_ = earlier_of<TimePoint>(deadline_check_at_, command.deadline);
      engines_.start_attempt(now, {last_attempt_, action.engine, view(at->first), profile, command.statement,
                                   command.deadline, command.priority, command.paged, may_cancel_});
      break;
    }
    case Action::Kind::kWithdraw:
      if (!command.attempt || action.number != command.attempts - 1) break;
      metrics_.add("withdrawn", profile);
      metrics_.add("attempts cancelled:", name_of(action.reason));
      notify_observer(now, CommandEvent::Kind::kAttemptCancelled, at->first, command, action.reason);
      engines_.cancel_attempt(now, *command.attempt, Outcome::kCancelled);
      break;
    case Action::Kind::kRank:
      command.priority = action.number;
      if (command.attempt) engines_.set_priority(now, *command.attempt, action.number);
      break;
    case Action::Kind::kShed:
    case Action::Kind::kFail: {
      const bool is_shed = action.kind == Action::Kind::kShed;
      metrics_.add(is_shed ? "shed" : "failed", profile);
      metrics_.add("commands ended unserved:", name_of(action.reason));
      notify_observer(now, is_shed ? CommandEvent::Kind::kShed : CommandEvent::Kind::kFailed, at->first,
                      command, action.reason);
      const auto retry_after = action.wait > 0 ? std::optional(duration_of(action.wait)) : std::nullopt;
      for_each_call(command, [&](CallId call) {
        is_shed ? responses_.shed(call, retry_after) : responses_.fail(call, "failed");
      });
      if (command.call) finish(at);
      break;
    }
    default:
      break;
  }
}

std::optional<TimePoint> Core::next_due() const {
  std::optional<TimePoint> due = deadline_check_at_;
  if (!timers_.empty()) due = earlier_of<TimePoint>(due, timers_.begin()->first);
  if (has_new_events_) due = earlier_of<TimePoint>(due, decided_at_ + tick_);
  return due;
}

}  // namespace firvalve
