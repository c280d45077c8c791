// Plausibility limits for the timeout and the estimates in a client's request. They protect the policy's
// running means from values that no client of this deployment can send. A client whose settings are long out
// of date may be rejected.
#pragma once

#include <optional>

#include "base/time.h"
#include "core/command_request.h"
#include "policy/settings.h"

namespace firvalve {

class AdmissionLimits {
 public:
  // Derives the limits from the client timeouts and machine types in the settings. A value that the settings
  // do not bound is unlimited.
  explicit AdmissionLimits(const Settings& settings);
  bool allow(const CommandRequest& request) const;

 private:
  // Estimates are rough, so a limit is this many times what the largest engine can do within the longest
  // client timeout.
  static constexpr double kEstimateTolerance = 10;
  static constexpr Duration kUnboundedTime{1e12};
  static constexpr double kUnboundedMemoryMb = 1e12;

  Duration max_timeout_ = kUnboundedTime, max_estimated_work_ = kUnboundedTime;
  double max_memory_mb_ = kUnboundedMemoryMb;
};

// The longest client timeout of any profile; nothing if the settings define none.
std::optional<Duration> longest_client_timeout(const Settings& settings);

}  // namespace firvalve
