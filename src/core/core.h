// The core: owns the policy's state, ties commands to clients' calls and attempts to engines. It does no I/O
// and reads no clock: clients stand behind ResponseSink, engines behind EngineTransport, and the time comes
// in with every call. One thread: the reactor's.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "core/command_event.h"
#include "core/command_request.h"
#include "core/engine_transport.h"
#include "core/ids.h"
#include "core/metrics.h"
#include "core/response_sink.h"
#include "core/result_store.h"
#include "policy/rules.h"

namespace firvalve {

// Estimates of clients are rough. One above this many times what the largest engine can do within the longest
// client timeout is rejected.
constexpr double kEstimateTolerance = 10;
// The limit where the settings do not say what engines and timeouts there are.
constexpr Duration kUnboundedTime{1e12};
constexpr double kUnboundedMemoryMb = 1e12;

// The sooner of two moments, where 0 is none. For callers that do not use optional time points yet.
inline Ms sooner(Ms a, Ms b) { return a == 0 || (b > 0 && b < a) ? b : a; }

enum class AdmissionResult {
  kAdmitted,
  kUnknownProfile,
  kDuplicateId,  // a command with this id is in hand
  kOutOfRange,   // a timeout or an estimate that no client of this deployment can have
  kNoCapacity,   // the statements in hand have reached their bytes
  kResultFound,  // a retry whose result is stored: Core::found_result(), nothing runs
};

// The longest client timeout of any profile. Nothing: the settings name none.
std::optional<Duration> longest_client_timeout(const Settings& settings);

struct NamedEngineInfo {
  std::string name, address;
  EngineInfo info;
};

// A message of the policy about an engine, by its listed name (empty: about none). The views are good for the
// call alone.
struct PolicyMessage {
  std::string_view text, engine;
};
using PolicyLogSink = std::function<void(const PolicyMessage& message)>;

class Core {
 public:
  Core(const Settings& settings, uint64_t seed, ResponseSink& responses, EngineTransport& engines,
       Metrics& metrics, PolicyLogSink log);

  // Bytes of the statements of all commands in hand; commands beyond them are not admitted.
  void set_max_statement_bytes(size_t bytes) { max_statement_bytes_ = bytes; }
  void set_observer(CommandObserver observer) { observer_ = std::move(observer); }
  // Without a store no result is paged. It must outlive the core.
  void set_result_store(ResultStore& store) { result_store_ = &store; }

  // ---- Clients
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
  void attempt_status_received(TimePoint now, AttemptId attempt, AttemptStatusKind kind, double value);
  // One more page of a paged attempt's rows. kOutOfSpace also for an attempt that has finished.
  ResultStore::AppendResult append_page(TimePoint now, AttemptId attempt, std::string_view rows);
  // Unknown attempts are ignored. `rows`: of an attempt that is not paged.
  void attempt_finished(TimePoint now, AttemptId attempt, Outcome outcome, std::string rows = {});

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
  size_t active_command_count() const { return pending_.size() - finished_.size(); }
  size_t unanswered_call_count() const { return calls_.size(); }

 private:
  using Id = std::array<char, 16>;
  // A command from its admission until it has its answer, no attempt of it is out, and the policy has decided
  // since. Until then its id is a duplicate: a client that sends the same id again at once would make the
  // policy take the one command for the other and count an attempt as out for good.
  struct PendingCommand {
    std::optional<CallId> call;          // none: no client waits for it any more
    std::vector<CallId> joined_retries;  // further calls that wait for it: retries of the same command
    Id retry_chain{};                    // the first id of its retry chain: its own, or that of the first
    std::string statement;
    int profile = 0, attempts = 0;
    std::optional<int> priority;         // as the policy last set it
    uint32_t engine = 0;                 // of the last attempt
    std::optional<AttemptId> attempt;    // out now
    TimePoint deadline{}, started_at{};  // the client's; the last attempt's start
    bool past_deadline = false;          // the attempt out was cancelled for its deadline
    bool half_closed = false;            // all clients that wait for it are
    // Of a paged one: its reserved result (none: it waits for a reservation) and what to reserve it with.
    bool paged = false;
    std::optional<ResultHandle> result;
    std::string owner, result_key;
    int64_t table_group = -1;
  };
  using PendingMap = std::map<Id, PendingCommand>;

  void handle_event(TimePoint now, const Event& event);
  void cancel_past_deadline(TimePoint now);
  void fire_timers(TimePoint now);
  void carry_out(TimePoint now, const Action& action);
  void notify_observer(TimePoint now, CommandEvent::Kind kind, const Id& id, const PendingCommand& command,
                       Reason reason = Reason::kNone, Outcome outcome = Outcome::kOk,
                       std::optional<Duration> duration = std::nullopt) const;
  std::string_view engine_name(uint32_t engine) const;  // empty: it is no longer listed
  const std::string& profile_name(const PendingCommand& command) const;
  void release(PendingMap::iterator at);
  void finish(PendingMap::iterator at);  // answered: it stays for as long as an attempt is out
  bool try_reserve_result(TimePoint now, PendingCommand& command);
  ResultStore::Reservation reservation_of(const PendingCommand& command) const;
  void fail_command(TimePoint now, PendingMap::iterator at, std::string_view reason);
  void update_half_closed(TimePoint now, const Id& id);
  bool join_pending(TimePoint now, CallId call, const CommandRequest& request, int profile);
  template <class Respond>
  void for_each_call(const PendingCommand& command, Respond&& respond) const {
    if (command.call) respond(*command.call);
    for (const CallId call : command.joined_retries) respond(call);
  }
  uint32_t number_of(const std::string& name);
  void forget_number(const std::string& name);

  State state_;
  std::vector<std::string> profiles_;
  ResponseSink& responses_;
  EngineTransport& engines_;
  Metrics& metrics_;
  PolicyLogSink log_;
  CommandObserver observer_;
  PendingMap pending_;
  struct Call {
    Id id{};
    bool half_closed = false;
  };
  std::map<CallId, Call> calls_;
  std::map<Id, Id> retry_chains_;  // of retries, while a client waits: by the first id, the one in hand
  std::map<AttemptId, Id> attempts_;
  ResultStore* result_store_ = nullptr;
  std::optional<ResultHandle> found_result_;
  std::vector<Id> awaiting_reservation_;  // paged ones without a reservation, in the order admitted
  std::vector<Id> finished_;              // erased after the next decisions
  std::map<std::string, uint32_t> numbers_;
  std::set<uint32_t> numbers_in_use_;       // of numbers_
  std::map<uint32_t, std::string> listed_;  // names by number, of engines not gone
  std::map<TimePoint, uint64_t> timers_;    // the policy's, with its reference
  Actions actions_;
  AttemptId last_attempt_{};
  const Duration tick_;
  const bool may_cancel_;
  Duration max_timeout_ = kUnboundedTime, max_estimate_ = kUnboundedTime;
  double max_memory_mb_ = kUnboundedMemoryMb;
  size_t max_statement_bytes_ = SIZE_MAX, statement_bytes_ = 0;
  TimePoint now_{};                             // of the last event
  TimePoint decided_at_{};                      // the clock's start until the first decisions
  std::optional<TimePoint> ends_at_;            // this gateway's own end, once it is known
  std::optional<TimePoint> deadline_check_at_;  // no attempt out reaches its deadline before; none is out
  bool has_new_events_ = true;                  // the policy is asked once at start
};

}  // namespace firvalve
