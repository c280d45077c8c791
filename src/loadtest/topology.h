// The placement of a cluster's gateways and replicas (`keepers`) in regions, their zones and the zones'
// racks.
#pragma once

#include <cstddef>
#include <vector>

namespace firvalve::loadtest {

// A rack holds a tenth of its zone's gateways; they fail together.
constexpr size_t kRacksPerZone = 10;

// The location of a gateway or replica.
struct Place {
  size_t region = 0;
  size_t zone = 0;  // number among the zones of all regions
  size_t rack = 0;  // number within its zone
  bool operator==(const Place&) const = default;
};

struct TopologyOptions {
  int gateways = 1, regions = 1, zones = 1, keepers = 3;
};

// Spreads gateways evenly over zones, zones over regions, and replicas over regions.
class Topology {
 public:
  // Throws ScaleError if a size is below one, or there are more zones than gateways or regions than zones.
  explicit Topology(const TopologyOptions& options);

  size_t regions() const { return regions_; }
  size_t zones() const { return zones_; }
  const std::vector<Place>& gateways() const { return gateways_; }
  const std::vector<Place>& keepers() const { return keepers_; }

  size_t region_of_zone(size_t zone) const { return zone % regions_; }
  std::vector<size_t> gateways_in_zone(size_t zone) const;
  std::vector<size_t> gateways_in_rack(size_t zone, size_t rack) const;
  std::vector<size_t> keepers_in_region(size_t region) const;
  // The first regions, as few as hold a majority of the replicas: one side of a partition of the cluster.
  std::vector<size_t> majority_side() const;

 private:
  size_t regions_ = 1, zones_ = 1;
  std::vector<Place> gateways_, keepers_;
};

}  // namespace firvalve::loadtest
