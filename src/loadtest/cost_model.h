// The cost model: the cost of each role in the cluster and the limits that it must meet. For each figure it
// names the measurements, the mechanism behind them and the limit, and computes the figure for a cluster
// size.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loadtest/quantity.h"

namespace firvalve::loadtest {

// A part of the system whose costs are listed. `kKeeper` is an acceptor of the replicated registers;
// `kDistribution` distributes configuration and the engine list.
enum class Role {
  kGatewayData,
  kGatewayControl,
  kKeeper,
  kDistribution,
  kEventBus,
  kEngine,
  kClientLibrary,
};

enum class Resource { kState, kMessages, kProcessor, kMemory };

// The cost of a role in one resource.
struct Cost {
  Role role;
  Resource resource;
  const char* what;
  const char* unit;
  Quantity quantity;
  const char* mechanism;   // the mechanism that causes the cost, and its package
  const char* assumption;  // on which the figure rests; empty: none
};

// The requirements of the planned size, each a line of the capacity page.
enum class PlannedLine {
  kMachines,
  kPlaces,
  kConnections,
  kCommands,
  kPrimaryChanges,
  kConfigurationChanges,
  kControlMeans,
  kControlMachines,
  kFailures,
};

enum class Bound { kAtMost, kAtLeast };

// The bound that a check's value must stay within.
struct Limit {
  Bound bound = Bound::kAtMost;
  double (*value)(const FleetSize& fleet);
  bool is_assumed;  // chosen, not one of the planned sizes
};

// Who is responsible for meeting the limit of a check.
enum class Owner { kProgram, kOperators };

// One limit that may be exceeded as the cluster grows.
struct Check {
  PlannedLine line;
  const char* what;
  const char* unit;
  Quantity quantity;
  Limit limit;
  const char* mechanism;
  Owner owner;
  const char* would_tell;  // the measurement that would give the value, if there is none
};

// The costs and checks, in the order of the capacity page.
const std::vector<Cost>& role_costs();
const std::vector<Check>& planned_checks();

std::string_view role_name(Role role);
std::string_view resource_name(Resource resource);
std::string_view owner_name(Owner owner);
std::string planned_line_text(PlannedLine line, const PlannedSize& planned);

// The result of a check at one cluster size.
struct Verdict {
  Evaluation evaluation;
  double limit = 0;
  std::optional<bool> is_kept;  // true: the limit is met; std::nullopt: the value is unknown
};

// Computes the value of a check at the size `fleet` and compares it with the limit.
Verdict evaluate_check(const Check& check, const CapacityFile& file, const FleetSize& fleet);

// Gateways of the smallest and the largest cluster that breaking_size() considers.
constexpr double kSmallestFleet = 10;
constexpr double kLargestFleet = 1e6;

// The smallest number of gateways at which a check fails, with engines, connections and commands scaled in
// proportion.
struct BreakingSize {
  enum class Kind {
    kAt,       // fails at `gateways`
    kBeyond,   // passes at every size with a known value; the largest such size is `gateways`
    kNever,    // passes at every size with a known value, up to kLargestFleet
    kUnknown,  // not measured
  };
  Kind kind = Kind::kUnknown;
  double gateways = 0;
};

// Searches the cluster sizes from kSmallestFleet to kLargestFleet for the first one at which `check` fails.
BreakingSize breaking_size(const Check& check, const CapacityFile& file);

}  // namespace firvalve::loadtest
