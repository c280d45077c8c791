// Input events of the policy: everything that happens to commands, attempts and engines, one struct per
// event.
//
// A command is a client's query. An attempt is one execution of it on one engine. The attempts of a command
// are numbered from 0; all after the first are retries. A command has at most one attempt in flight.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace firvalve {

// The id of a command, as chosen by the client.
struct CommandId {
  std::array<char, 16> text{};
  bool operator==(const CommandId&) const = default;
};

// The number of an engine. All gateways derive the same number from an engine's name, so the order of engines
// is the same on every gateway.
enum class EngineId : uint32_t {};
constexpr uint32_t to_number(EngineId id) { return static_cast<uint32_t>(id); }

// How an attempt ended.
enum class Outcome {
  kOk,
  kFailed,                // the engine answered with an error
  kQueueFull,             // the engine rejected the attempt: it did not start
  kTimedOut,              // the client's deadline passed first
  kConnectFailed,         // no connection was established: it did not start
  kReset,                 // the connection was lost after the start was written: it may have run
  kCancelled,             // cancelled; it may have run
  kCancelledBeforeStart,  // cancelled; it did not start
  kIndeterminate,         // it may have run; the response says nothing about the engine
};

// The state of an engine in the endpoint list.
enum class EngineState { kRemoved, kReady, kDraining };

// ---- The endpoint list --------------------------------------------------------------------------

// An engine as the endpoint list describes it.
struct EngineInfo {
  EngineId engine{};
  std::string zone;
  std::string machine_type;  // the settings give its cores and which profiles may use it
  int cell = 0;              // failure domain within the zone
  EngineState state = EngineState::kReady;
  std::optional<TimePoint> started_at;  // by the clock of the list's writer; empty: long ago
};

// The endpoint list or a part of it has changed.
struct EngineListUpdate {
  bool is_complete = false;  // the full list: engines missing from it are removed
  std::vector<EngineInfo> engines;
  std::optional<TimePoint> current_at = {};  // when the list was last known to be current, before this change
};

// The end of an active health check. The policy ignores its outcome.
struct ProbeResult {
  EngineId engine{};
  Outcome outcome = Outcome::kOk;
};

// ---- Commands and their clients -----------------------------------------------------------------

// A command was admitted. The policy is responsible for it until the command is shed or fails, or its last
// attempt has finished.
struct Admitted {
  CommandId id;
  std::optional<int> profile;  // index among the profiles of the settings; empty: an unknown profile
  std::optional<uint64_t> ordering_key;  // if its profile is ordered, commands with one key run one at a time
  TimePoint deadline;                    // the client stops waiting at this time
  std::optional<Duration> estimated_work;  // the client's estimate, summed over all threads
  double estimated_memory_mb = 0;          // 0: no estimate
  std::optional<int64_t> table_group;      // the tables that it reads or loads
};

// No client waits for the command any more: the client cancelled it or is known to have left.
struct ClientGone {
  CommandId id;
};

// The client closed its sending direction. It may still read, or may have closed the connection altogether;
// the two cannot be told apart. `is_half_closed` is false when a client waits for the command again.
struct ClientHalfClosed {
  CommandId id;
  bool is_half_closed = true;
  TimePoint since{};  // when the end was first seen; may precede the command, which was read behind it
};

// Whether storage is reserved for the rows of a command. A command without this event needs no reservation.
struct ResultReservation {
  CommandId id;
  bool is_granted = true;
};

// ---- Attempts -----------------------------------------------------------------------------------

// Kinds of status reports.
enum class AttemptStatusKind { kProgress = 1, kSpilling = 2, kWaiting = 3 };

// Values of AttemptStatusKind::kWaiting that the policy acts on.
constexpr double kWaitingForMemory = 1;  // queued for memory on the engine
constexpr double kWaitingForLoad = 2;    // blocked by a load that holds the tables

// A status report of an engine about an attempt in flight.
struct AttemptStatus {
  CommandId id;
  int attempt = 0;
  AttemptStatusKind kind = AttemptStatusKind::kProgress;
  double value = 0;  // kProgress: the fraction done, 0 to 1; kWaiting: what it waits for, as above
};

// An attempt has ended.
struct AttemptFinished {
  CommandId id;
  int attempt = 0;
  Outcome outcome = Outcome::kOk;
  Duration elapsed{};                // since the start of the attempt
  bool is_command_finished = false;  // the client has its answer or no longer waits
  std::optional<Duration> work;      // cost as reported in the answer, summed over all threads
  std::optional<double> memory_mb;   // memory needed, as reported in the answer
};

// ---- The gateway itself -------------------------------------------------------------------------

// The timer of the last Action::Kind::kSetTimer has expired.
struct TimerFired {};

// This gateway shuts down at `ends_at`: every command must have its answer before.
struct ShutdownStarted {
  TimePoint ends_at;
};

using Event = std::variant<EngineListUpdate, Admitted, AttemptStatus, AttemptFinished, ProbeResult,
                           ClientGone, ClientHalfClosed, TimerFired, ShutdownStarted, ResultReservation>;

}  // namespace firvalve
