// What goes out of the policy: everything that its host is to carry out, in the order given.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "policy/events.h"

namespace firvalve {

// Why an attempt is cancelled, or a command is shed or fails: for the log and the metrics.
enum class Reason {
  kNone,
  kEngineUnresponsive,  // its engine owes a sign of life
  kBlocked,             // it waits for memory or behind a load, and has not begun
  kNoProgress,          // no progress was reported for several times its usual time
  kBadPlan,             // at its pace it would run several times its predicted time
  kClientGone,          // nobody waits for it any more
  kDeadlineTooClose,    // it could not end before its client's deadline
  kDeadlineExceeded,    // its client's deadline came while it ran
  kAttemptsExhausted,   // all attempts that the settings allow were made
  kUnsafeToRetry,       // it may have run, and must not run again
  kPoolOverloaded,      // a heavy command was held as long as such are while the pool is overloaded
  kUnknownProfile,
};
std::string_view name_of(Reason reason);

// What outlier detection has found out about an engine.
enum class EngineHealth {
  kReinstated,
  kUnresponsive,   // ejected
  kFailingOrSlow,  // ejected
};

struct Action {
  enum class Kind {
    kStartAttempt,        // command, engine
    kCancelAttempt,       // command, attempt, reason
    kShedCommand,         // command, reason, retry_after
    kFailCommand,         // command, reason
    kSetSchedulingHints,  // command, priority, memory_grant_mb: of the attempts to come and the one in flight
    kSetTimer,            // timer_delay; it stands in for the timer before it
    kLogEngineHealth,     // engine, health
  };
  Kind kind = Kind::kLogEngineHealth;
  CommandId command;
  EngineId engine{};
  int attempt = 0;
  int priority = 0;
  double memory_grant_mb = 0;           // 0: the engine's own choice
  std::optional<Duration> retry_after;  // how long the client is advised to stay away
  Duration timer_delay{};
  Reason reason = Reason::kNone;
  EngineHealth health = EngineHealth::kReinstated;
};
using Actions = std::vector<Action>;

// Action::Kind::kLogEngineHealth in words, for hosts whose log takes plain text.
std::string engine_health_text(EngineId engine, EngineHealth health);

}  // namespace firvalve
