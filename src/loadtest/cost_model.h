// What the fleet's roles cost and which limits they meet: which measurement carries each figure, by which
// mechanism, and against what it is held. Data, and the arithmetic over it.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loadtest/quantity.h"

namespace firvalve::loadtest {

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

// One figure of a role at the planned size.
struct Cost {
  Role role;
  Resource resource;
  const char* what;
  const char* unit;
  Quantity quantity;
  const char* mechanism;   // that carries it
  const char* assumption;  // empty: none
};

// The lines of the planned size.
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

struct Limit {
  Bound bound = Bound::kAtMost;
  double (*value)(const FleetSize& fleet);
  bool is_assumed;  // not one of the planned sizes
};

enum class Owner { kProgram, kOperators };

// One thing that may give way.
struct Check {
  PlannedLine line;
  const char* what;
  const char* unit;
  Quantity quantity;
  Limit limit;
  const char* mechanism;
  Owner owner;
  const char* would_tell;  // where it was not measured
};

const std::vector<Cost>& role_costs();
const std::vector<Check>& planned_checks();

std::string_view role_name(Role role);
std::string_view resource_name(Resource resource);
std::string_view owner_name(Owner owner);
std::string planned_line_text(PlannedLine line, const PlannedSize& planned);

struct Verdict {
  Evaluation evaluation;
  double limit = 0;
  std::optional<bool> is_kept;  // nothing: not known
};

Verdict evaluate_check(const Check& check, const CapacityFile& file, const FleetSize& fleet);

// Gateways of the smallest and the largest fleet that is looked at.
constexpr double kSmallestFleet = 10;
constexpr double kLargestFleet = 1e6;

// The smallest number of gateways, with engines, connections and commands in proportion, at which a check is
// not kept.
struct BreakingSize {
  enum class Kind {
    kAt,       // `gateways`
    kBeyond,   // kept at every size that is known of, which ends at `gateways`
    kNever,    // kept at every size up to kLargestFleet
    kUnknown,  // not measured
  };
  Kind kind = Kind::kUnknown;
  double gateways = 0;
};

BreakingSize breaking_size(const Check& check, const CapacityFile& file);

}  // namespace firvalve::loadtest
