// The core: owns the policy's state, ties commands to clients' calls and attempts to engines. It does no I/O
// and reads no clock: clients stand behind ResponseSink, engines behind EngineTransport, and the time comes
// in with every call. One thread: the reactor's.
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

// What became of a request. Only after kAdmitted does the call get a response through the ResponseSink.
enum class AdmissionResult {
  kAdmitted,
  kUnknownProfile,
  kDuplicateId,  // a command with this id is in hand
  kOutOfRange,   // a timeout or an estimate that no client of this deployment can have
  kNoCapacity,   // the statements in hand have reached their bytes
  kResultFound,  // a retry whose result is stored: Core::found_result(), nothing runs
};

// An engine of the endpoint list. The core fills in its number.
struct NamedEngineInfo {
  std::string name, address;  // as listed; address: host:port
  EngineInfo info;
};

class Core {
 public:
  // All references must outlive the core. `seed`: of the policy's random draws. `on_engine_health` must be
  // callable.
  Core(const Settings& settings, uint64_t seed, ResponseSink& responses, EngineTransport& engines,
       Metrics& metrics, EngineHealthObserver on_engine_health);

  // Bytes of the statements of all commands in hand; commands beyond them are not admitted.
  void set_max_statement_bytes(size_t bytes) { commands_.set_max_statement_bytes(bytes); }
  // Gets each event of each command and attempt; without one nobody does.
  void set_observer(CommandObserver observer) { observer_ = std::move(observer); }
  // Without a store no result is paged. It must outlive the core.
  void set_result_store(ResultStore& store) { results_.set_store(store); }

  // ---- Clients
  // `call` is new with each request.
  AdmissionResult admit(TimePoint now, CallId call, CommandRequest&& request);
  // After kResultFound: the result to answer with.
  std::optional<ResultHandle> found_result() const { return found_result_; }
  // Revoked, or its connection has ended: the call gets no response. Unknown calls are ignored.
  void client_gone(TimePoint now, CallId call);
  // The client has ended its stream: it may still read. Unknown calls are ignored.
  void client_half_closed(TimePoint now, CallId call);
  // The call that waits for this command.
  std::optional<CallId> find_call(std::string_view command) const;

  // ---- Engines
  // `current_at`: when the list was last known to be current, before this change. Nothing: it never was.
  void update_engine_list(TimePoint now, bool full, std::vector<NamedEngineInfo> engines,
                          std::optional<TimePoint> current_at = std::nullopt);
  // Asked right before the start of an attempt is written to its engine.
  bool may_start_attempt(TimePoint now, AttemptId attempt) const;
  // What an engine reports of an attempt that is out. Unknown attempts are ignored.
  void attempt_status_received(TimePoint now, AttemptId attempt, AttemptStatusKind kind, double value);
  // One more page of a paged attempt's rows. kOutOfSpace also for an attempt that has finished.
  ResultStore::AppendResult append_page(TimePoint now, AttemptId attempt, std::string_view rows);
  // Unknown attempts are ignored. `rows`: of an attempt that is not paged.
  void attempt_finished(TimePoint now, AttemptId attempt, Outcome outcome, std::string_view rows = {});

  // ---- The result store
  void result_space_available(TimePoint now);  // a reservation may succeed again

  // ---- The process
  // The gateway ends at that time: every call admitted gets its response before.
  void begin_shutdown(TimePoint now, TimePoint ends_at);
  // Once after the events of one iteration of the reactor: decides what they call for and carries it out.
  // Iterations that follow within a tick of the settings are decided together at its end.
  void decide(TimePoint now);
  std::optional<TimePoint> next_due() const;  // decide() must be called then at the latest
  // Commands in hand, with those answered that still have an attempt out.
  size_t active_command_count() const { return commands_.command_count(); }
  size_t unanswered_call_count() const { return commands_.call_count(); }

 private:
  // ---- Admission
  bool join_pending(TimePoint now, CallId call, const CommandRequest& request, int profile);
  void tell_policy_admitted(TimePoint now, const PendingCommand& command, const CommandRequest& request);
  // ---- The end of a command
  void answer(TimePoint now, PendingCommand& command, std::string_view rows);
  void end_unserved(TimePoint now, PendingCommand& command, const Action& action);
  void fail_out_of_space(TimePoint now, PendingCommand& command);
  void finish(PendingCommand& command);
  void update_half_closed(TimePoint now, PendingCommand& command);
  // ---- Decisions
  void handle_event(TimePoint now, const Event& event);
  void cancel_past_deadline(TimePoint now);
  void fire_timers(TimePoint now);
  void execute(TimePoint now, const Action& action);
  void start_attempt(TimePoint now, PendingCommand& command, EngineId engine);
  void cancel_attempt(TimePoint now, PendingCommand& command, const Action& action);
  void set_priority(TimePoint now, PendingCommand& command, int priority);

  const std::string& profile_name(const PendingCommand& command) const;
  // What happened to a command. The other fields of the event are the command's.
  void notify_observer(TimePoint now, const PendingCommand& command, CommandEvent event) const;

  // The policy.
  State state_;
  Actions actions_;
  std::set<TimePoint> timers_;  // that the policy has set
  bool has_new_events_ = true;  // since the last decisions; the policy is asked once at start
  TimePoint decided_at_{};      // the last decisions; the clock's start: there were none yet
  TimePoint last_event_at_{};
  const Duration tick_;
  // What the settings say.
  const std::vector<std::string> profiles_;
  const AdmissionLimits limits_;
  const bool may_cancel_;
  // What is in hand.
  PendingCommands commands_;
  PagedResults results_;
  EngineDirectory directory_;
  std::optional<ResultHandle> found_result_;
  std::optional<TimePoint> shutdown_ends_at_;
  std::optional<TimePoint> deadline_check_at_;  // no attempt out reaches its deadline before; none is out
  // What surrounds it.
  ResponseSink& responses_;
  EngineTransport& engines_;
  Metrics& metrics_;
  EngineHealthObserver on_engine_health_;
  CommandObserver observer_;
};

}  // namespace firvalve
