#include "loadtest/topology.h"

#include <fmt/format.h>

#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

void check(const TopologyOptions& options) {
  if (options.gateways < 1 || options.regions < 1 || options.zones < 1 || options.keepers < 1)
    throw ScaleError("a fleet needs at least one gateway, region, zone and keeper");
  if (options.zones > options.gateways)
    throw ScaleError(fmt::format("{} zones are more than {} gateways", options.zones, options.gateways));
  if (options.regions > options.zones)
    throw ScaleError(fmt::format("{} regions are more than {} zones", options.regions, options.zones));
}

std::vector<size_t> indices_where(const std::vector<Place>& places, const auto& matches) {
  std::vector<size_t> out;
  for (size_t i = 0; i < places.size(); ++i)
    if (matches(places[i])) out.push_back(i);
  return out;
}

}  // namespace

Topology::Topology(const TopologyOptions& options) {
  check(options);
  regions_ = static_cast<size_t>(options.regions);
  zones_ = static_cast<size_t>(options.zones);
  for (size_t i = 0; i < static_cast<size_t>(options.gateways); ++i) {
    const size_t zone = i % zones_;
    gateways_.push_back({region_of_zone(zone), zone, i / zones_ % kRacksPerZone});
  }
  for (size_t i = 0; i < static_cast<size_t>(options.keepers); ++i) {
    const size_t zone = i % zones_;
    keepers_.push_back({region_of_zone(zone), zone, 0});
  }
}

std::vector<size_t> Topology::gateways_in_zone(size_t zone) const {
  return indices_where(gateways_, [&](const Place& p) { return p.zone == zone; });
}

std::vector<size_t> Topology::gateways_in_rack(size_t zone, size_t rack) const {
  return indices_where(gateways_, [&](const Place& p) { return p.zone == zone && p.rack == rack; });
}

std::vector<size_t> Topology::keepers_in_region(size_t region) const {
  return indices_where(keepers_, [&](const Place& p) { return p.region == region; });
}

std::vector<size_t> Topology::majority_side() const {
  std::vector<size_t> side;
  size_t keepers = 0;
  for (size_t region = 0; region < regions_ && keepers * 2 <= keepers_.size(); ++region) {
    side.push_back(region);
    keepers += keepers_in_region(region).size();
  }
  return side;
}

}  // namespace firvalve::loadtest
