// What a client's figures may be. Guards the policy's running means against figures that no client of this
// deployment can have; a client may be rejected whose settings are long out of date.
#pragma once

#include <optional>

#include "base/time.h"
#include "core/command_request.h"
#include "policy/settings.h"

namespace firvalve {

class AdmissionLimits {
 public:
  // From the client timeouts and the machines of the settings. Where they do not say what there is, any
  // figure may be a client's.
  explicit AdmissionLimits(const Settings& settings);
  bool allow(const CommandRequest& request) const;

 private:
  // Estimates are rough. One above this many times what the largest engine can do within the longest client
  // timeout is out of range.
  static constexpr double kEstimateTolerance = 10;
  static constexpr Duration kUnboundedTime{1e12};
  static constexpr double kUnboundedMemoryMb = 1e12;

  Duration max_timeout_ = kUnboundedTime, max_estimated_work_ = kUnboundedTime;
  double max_memory_mb_ = kUnboundedMemoryMb;
};

// The longest client timeout of any profile. Nothing: the settings name none.
std::optional<Duration> longest_client_timeout(const Settings& settings);

}  // namespace firvalve
