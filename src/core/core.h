// The core connects clients' calls, the admission policy, and attempts on engines. It owns the policy's state
// and executes the policy's decisions. It does no I/O and reads no clock: it reaches clients through
// ResponseSink and engines through EngineTransport, and the caller passes in the time. Not thread-safe: used
// only on the reactor's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/admission_limits.h"
#include "core/command_event.h"
#include "core/command_request.h"
#include "core/engine_directory.h"
#include "core/engine_health.h"
#include "core/engine_transport.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/paged_results.h"
#include "core/pending_commands.h"
#include "core/response_sink.h"
#include "core/result_store.h"
#include "policy/policy.h"

namespace firvalve {

// The result of an admission request. Only a call that was admitted gets a response through the ResponseSink.
enum class AdmissionResult {
  kAdmitted,
  kUnknownProfile,
  kDuplicateId,  // a command with this id is pending
  kAlreadyRan,   // a command with this id may have run and must not run again
  kOutOfRange,   // the timeout or an estimate exceeds the admission limits
  kNoCapacity,   // the pending commands would exceed their limit on memory
  kResultFound,  // a retry whose result is stored: see Core::found_result(); nothing runs
};

// An engine of the endpoint list. The core sets `info.engine`, its number.
struct NamedEngineInfo {
  std::string name, address;  // as listed; address: host:port
  EngineInfo info;
};

class Core {
 public:
  // All references must outlive the core. `seed` initialises the policy's random numbers. `on_engine_health`
  // must not be empty.
  Core(const Settings& settings, uint64_t seed, ResponseSink& responses, EngineTransport& engines,
       Metrics& metrics, EngineHealthObserver on_engine_health);

  // Limits the memory of pending commands with their statements; a command that would exceed it is rejected.
  void set_max_pending_bytes(size_t bytes) { commands_.set_max_bytes(bytes); }
  // Optional. The observer receives each event of each command and attempt.
  void set_observer(CommandObserver observer) { observer_ = std::move(observer); }
  // Without a store no result is paged. The store must outlive the core.
  void set_result_store(ResultStore& store) { results_.set_store(store); }

  // ---- Clients
  // `call` must differ for each request.
  AdmissionResult admit(TimePoint now, CallId call, CommandRequest&& request);
  // The result to answer with after kResultFound.
  std::optional<ResultHandle> found_result() const { return found_result_; }
  // The client has revoked the call or disconnected, so the call gets no response. Ignores unknown calls.
  void client_gone(TimePoint now, CallId call);
  // The client has closed its sending side, seen at `since`, but may still read. Ignores unknown calls.
  void client_half_closed(TimePoint now, CallId call, TimePoint since);
  // The first call that waits for this command, if any.
  std::optional<CallId> find_call(std::string_view command) const;

  // ---- Engines
  // `is_complete`: `engines` is the whole list, not a change. `current_at`: when the list before this update
  // was last known to be current; nothing if it never was.
  void update_engine_list(TimePoint now, bool is_complete, std::vector<NamedEngineInfo> engines,
                          std::optional<TimePoint> current_at = std::nullopt);
  // The transport calls this right before it writes the start of an attempt to the engine. If false, it must
  // not start the attempt.
  bool may_start_attempt(TimePoint now, AttemptId attempt) const;
  // An engine has reported the status of an attempt in flight. Ignores unknown attempts.
  void attempt_status_received(TimePoint now, AttemptId attempt, AttemptStatusKind kind, double value);
  // Stores the next page of a paged attempt. Returns kOutOfSpace also if the attempt has finished.
  ResultStore::AppendResult append_page(TimePoint now, AttemptId attempt, std::string_view rows);
  // Ignores unknown attempts. `rows` is the result of an attempt that is not paged.
  void attempt_finished(TimePoint now, AttemptId attempt, Outcome outcome, std::string_view rows = {});

  // ---- The result store
  void result_space_available(TimePoint now);  // retries the reservations of waiting commands

  // ---- The process
  // The gateway shuts down at `ends_at`: every admitted call gets its response before then.
  void begin_shutdown(TimePoint now, TimePoint ends_at);
  // To be called once after the events of each reactor iteration. Asks the policy for decisions and executes
  // them, at most once per tick (a setting): the events of a tick are decided together at its end. Attempts
  // past their deadline are cancelled and timers fire without waiting for the tick.
  void decide(TimePoint now);
  std::optional<TimePoint> next_due() const;  // when decide() must be called at the latest
  // Pending commands, including answered ones that still have an attempt in flight.
  size_t active_command_count() const { return commands_.command_count(); }
  // Memory of the pending commands with their statements.
  size_t pending_command_bytes() const { return commands_.bytes(); }
  size_t unanswered_call_count() const { return commands_.call_count(); }

 private:
  // ---- Admission
  bool join_pending(TimePoint now, CallId call, const CommandRequest& request, int profile);
  void notify_policy_admitted(TimePoint now, const PendingCommand& command, const CommandRequest& request);
  // ---- End of a command
  void answer(TimePoint now, PendingCommand& command, std::string_view rows);
  void shed_or_fail(TimePoint now, PendingCommand& command, const Action& action);
  void fail_out_of_space(TimePoint now, PendingCommand& command);
  void finish(PendingCommand& command);
  void update_half_closed(TimePoint now, PendingCommand& command, TimePoint since);
  // ---- Decisions
  void handle_event(TimePoint now, const Event& event);
  void cancel_past_deadline(TimePoint now);
  void fire_timers(TimePoint now);
  void execute(TimePoint now, const Action& action);
  void start_attempt(TimePoint now, PendingCommand& command, EngineId engine);
  void cancel_attempt(TimePoint now, PendingCommand& command, const Action& action);
  void set_priority(TimePoint now, PendingCommand& command, int priority);

  const std::string& profile_name(const PendingCommand& command) const;
  // Passes an event to the observer, after filling in the fields that describe the command.
  void notify_observer(TimePoint now, const PendingCommand& command, CommandEvent event) const;

  // Policy.
  State state_;
  Actions actions_;
  std::set<TimePoint> timers_;  // set by the policy
  // Whether events have arrived since the last decision; initially true, so that the policy decides once at
  // start.
  bool has_new_events_ = true;
  TimePoint decided_at_{};  // the last decision; the clock's epoch before the first one
  TimePoint last_event_at_{};
  const Duration tick_;
  // Settings.
  const std::vector<std::string> profiles_;
  const AdmissionLimits limits_;
  const bool may_cancel_;
  // Commands, results and engines.
  PendingCommands commands_;
  PagedResults results_;
  EngineDirectory directory_;
  std::optional<ResultHandle> found_result_;
  std::optional<TimePoint> shutdown_ends_at_;
  // No attempt in flight has an earlier deadline. Nothing if none is in flight.
  std::optional<TimePoint> deadline_check_at_;
  // Dependencies.
  ResponseSink& responses_;
  EngineTransport& engines_;
  Metrics& metrics_;
  EngineHealthObserver on_engine_health_;
  CommandObserver observer_;
};

}  // namespace firvalve
