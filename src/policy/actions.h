// Output actions of the policy, which its host performs in the given order.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

// Why an attempt is cancelled, or a command is shed or fails; used in logs and metrics.
enum class Reason {
  kNone,
  kEngineUnresponsive,  // a response of the engine is overdue
  kBlocked,             // it waits for memory or behind a load, and has not begun
  kNoProgress,          // no progress was reported for several times the usual runtime
  kBadPlan,             // at its current speed it would run several times its predicted runtime
  kClientGone,          // no client waits for it any more
  kDeadlineTooClose,    // it could not finish before the client's deadline
  kDeadlineExceeded,    // the client's deadline passed while it ran
  kAttemptsExhausted,   // it has used all attempts that the settings allow
  kUnsafeToRetry,       // it may have run and must not run again
  kPoolOverloaded,      // a heavy command waited its maximum time while the pool was overloaded
  kUnknownProfile,
};
std::string_view name_of(Reason reason);

// Changes that outlier detection reports about an engine.
enum class EngineHealth {
  kReinstated,
  kUnresponsive,   // ejected
  kFailingOrSlow,  // ejected
};

// One output action. Each kind lists the members that it sets.
struct Action {
  enum class Kind {
    kStartAttempt,        // command, engine
    kCancelAttempt,       // command, attempt, reason
    kShedCommand,         // command, reason, retry_after
    kFailCommand,         // command, reason
    kSetSchedulingHints,  // command, priority, memory_grant_mb: for the attempt in flight and later ones
    kSetTimer,            // timer_delay: replaces the previous timer
    kLogEngineHealth,     // engine, health
  };
  Kind kind = Kind::kLogEngineHealth;
  CommandId command;
  EngineId engine{};
  int attempt = 0;
  int priority = 0;
  double memory_grant_mb = 0;           // 0: the engine decides
  std::optional<Duration> retry_after;  // time that the client is advised to wait before a retry
  Duration timer_delay{};
  Reason reason = Reason::kNone;
  EngineHealth health = EngineHealth::kReinstated;
};
using Actions = std::vector<Action>;

// Describes an Action::Kind::kLogEngineHealth in words, for hosts that log plain text.
std::string engine_health_text(EngineId engine, EngineHealth health);

}  // namespace firvalve
