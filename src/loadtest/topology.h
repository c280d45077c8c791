// Where the gateways and keepers of a fleet stand: regions hold zones, zones hold racks.
#pragma once

#include <cstddef>
#include <vector>

namespace firvalve::loadtest {

// A zone's tenth stands in one rack and is lost with it.
constexpr size_t kRacksPerZone = 10;

struct Place {
  size_t region = 0;
  size_t zone = 0;  // over all regions
  size_t rack = 0;  // within its zone
  bool operator==(const Place&) const = default;
};

struct TopologyOptions {
  int gateways = 1, regions = 1, zones = 1, keepers = 3;
};

// Spreads gateways evenly over zones, zones over regions, and keepers over regions.
class Topology {
 public:
  // Throws ScaleError: a size below one, more zones than gateways, more regions than zones.
  explicit Topology(const TopologyOptions& options);

  size_t regions() const { return regions_; }
  size_t zones() const { return zones_; }
  const std::vector<Place>& gateways() const { return gateways_; }
  const std::vector<Place>& keepers() const { return keepers_; }

  size_t region_of_zone(size_t zone) const { return zone % regions_; }
  std::vector<size_t> gateways_in_zone(size_t zone) const;
  std::vector<size_t> gateways_in_rack(size_t zone, size_t rack) const;
  std::vector<size_t> keepers_in_region(size_t region) const;
  // The regions of a cut through the fleet: the side that a majority of the keepers is on, and the other.
  std::vector<size_t> majority_side() const;

 private:
  size_t regions_ = 1, zones_ = 1;
  std::vector<Place> gateways_, keepers_;
};

}  // namespace firvalve::loadtest
