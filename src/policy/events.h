// What comes into the policy: everything that happens to commands, attempts and engines, one struct an event.
//
// A command is a client's query. An attempt is one execution of it on one engine; attempts of a command are
// numbered from 0, and the second and all after it are retries. A command has at most one attempt in flight.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace firvalve {

struct CommandId {
  std::array<char, 16> text{};
  bool operator==(const CommandId&) const = default;
};

// An engine's number. All gateways derive the same one from an engine's name, so that its order means the
// same to each of them.
enum class EngineId : uint32_t {};
constexpr uint32_t to_number(EngineId id) { return static_cast<uint32_t>(id); }

// How an attempt ended.
enum class Outcome {
  kOk,
  kFailed,                // the engine answered with an error
  kQueueFull,             // the engine rejected it: it did not start
  kTimedOut,              // its client's deadline came first
  kConnectFailed,         // no connection came up: it did not start
  kReset,                 // the connection was lost after the start was written: it may have run
  kCancelled,             // it was cancelled, and may have run
  kCancelledBeforeStart,  // it was cancelled, and did not start
  kIndeterminate,         // it may have run, and what came back says nothing about its engine
};

// What the endpoint list says of an engine.
enum class EngineState { kRemoved, kReady, kDraining };

// ---- The endpoint list --------------------------------------------------------------------------

struct EngineInfo {
  EngineId engine{};
  std::string zone;
  std::string machine_type;  // what kind of machine it runs on; settings name its cores and who may use it
  int cell = 0;              // failure domain within the zone
  EngineState state = EngineState::kReady;
  std::optional<TimePoint> started_at;  // by the clock of the list's writer; none: long ago
};

struct EngineListUpdate {
  bool is_complete = false;  // the whole list: engines that it omits are removed
  std::vector<EngineInfo> engines;
  std::optional<TimePoint> current_at = {};  // the list was known to be current then, before this change
};

// An active health check has ended. Nothing is decided from its outcome.
struct ProbeResult {
  EngineId engine{};
  Outcome outcome = Outcome::kOk;
};

// ---- Commands and their clients -----------------------------------------------------------------

// A command was admitted. The policy answers for it until it is shed, failed or its last attempt has
// finished.
struct Admitted {
  CommandId id;
  std::optional<int> profile;  // its place among the settings' profiles; none: an unknown profile
  std::optional<uint64_t>
      ordering_key;    // commands of one key run one at a time, where the profile asks for it
  TimePoint deadline;  // its client waits no longer
  std::optional<Duration> estimated_work;  // of all threads together, as its client estimates it
  double estimated_memory_mb = 0;          // 0: no estimate
  std::optional<int64_t> table_group;      // the tables that it reads, or loads
};

// Nobody waits for the command any more: its client cancelled it or is known to have left.
struct ClientGone {
  CommandId id;
};

// Its client has ended its sending direction. It may still read, or have closed altogether: that looks the
// same. `is_half_closed` false: some client waits for it again.
struct ClientHalfClosed {
  CommandId id;
  bool is_half_closed = true;
};

// Whether the rows of a command have storage reserved. A command without such an event needs none.
struct ResultReservation {
  CommandId id;
  bool is_granted = true;
};

// ---- Attempts -----------------------------------------------------------------------------------

enum class AttemptStatusKind { kProgress = 1, kSpilling = 2, kWaiting = 3 };

// The values of AttemptStatusKind::kWaiting that the policy acts on.
constexpr double kWaitingForMemory = 1;  // queued on the engine for memory
constexpr double kWaitingForLoad = 2;    // blocked: a load holds the tables

// An engine reports on an attempt in flight.
struct AttemptStatus {
  CommandId id;
  int attempt = 0;
  AttemptStatusKind kind = AttemptStatusKind::kProgress;
  double value = 0;  // of kProgress: the share done, 0 to 1; of kWaiting: what for, as above
};

struct AttemptFinished {
  CommandId id;
  int attempt = 0;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};                // since the attempt was started
  bool is_command_finished = false;  // its client has its answer, or waits no longer
  std::optional<Duration> work;      // what the answer says that it cost, all threads together
  std::optional<double> memory_mb;   // what the answer says that it needed
};

// ---- The gateway itself -------------------------------------------------------------------------

// The timer that was set last (Action::Kind::kSetTimer) has expired.
struct TimerFired {};

// This gateway ends at that time: every command must have its answer before.
struct ShutdownStarted {
  TimePoint ends_at;
};

using Event = std::variant<EngineListUpdate, Admitted, AttemptStatus, AttemptFinished, ProbeResult,
                           ClientGone, ClientHalfClosed, TimerFired, ShutdownStarted, ResultReservation>;

}  // namespace firvalve
