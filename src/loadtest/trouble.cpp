#include "loadtest/trouble.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "loadtest/quantity.h"

namespace firvalve::loadtest {
namespace {

std::string a_year(double count) { return number_text(count) + " a year"; }
std::string a_day(double count) { return number_text(count) + " a day"; }

std::string whole(double value) { return number_text(std::round(value)); }

std::string figure_text(const CapacityFile& file, const std::string& series, const char* what,
                        const char* unit) {
  const Term term = {
      SeriesQuery{series.c_str(), "gateways"}, Part::kWhole, {"", [](const FleetSize&) { return 1.0; }}};
  const Evaluation evaluation = evaluate({term}, file, file.fleet);
  if (!evaluation.value) return fmt::format("; {}: not measured", what);
  const Evidence& evidence = evaluation.terms.front().evidence;
  const std::string weak =
      evidence.is_extrapolated ? fmt::format(" (calculated past {})", number_text(evidence.measured_to)) : "";
  return fmt::format("; {}: {} {}{}", what, number_text(*evaluation.value), unit, weak);
}

// The loss part's measurements of one loss ("holder", "zone", ...) at the planned size.
std::string measured_text(const CapacityFile& file, const std::string& loss) {
  const std::string prefix = "loss." + loss + ".";
  return figure_text(file, prefix + "recovery", "until served as before", "ms") +
         figure_text(file, prefix + "keeper.peak_messages", "peak at the busiest keeper",
                     "messages a second") +
         figure_text(file, prefix + "keeper.peak_connects", "connects there", "a second") +
         figure_text(file, prefix + "return.until_rest", "at rest after the return within", "ms") +
         figure_text(file, prefix + "return.bytes", "the return costs all keepers", "bytes");
}

std::string moved_text(const MovedClients& moved) {
  return fmt::format(
      "{} gone: {} client connections go to {} others, {} to each, {} connects a second there over "
      "the "
      "clients' spread (assumed: drawn evenly); commands at each rise from {} to {} a second",
      moved.gateways_lost == 1 ? "a gateway" : whole(moved.gateways_lost) + " gateways",
      whole(moved.connections_moved), whole(moved.survivors), whole(moved.connections_per_survivor),
      number_text(moved.connects_per_second), whole(moved.commands_per_second_before),
      whole(moved.commands_per_second_after));
}

std::string replaced_text(const FleetSize& fleet) {
  const double machines = fleet.planned.gateways + fleet.planned.engines + fleet.planned.control_machines;
  const double share = fleet.planned.gateways / machines;
  const double gateways = fleet.planned.machines_replaced_per_day * share;
  const double moves = gateways * fleet.connections_per_gateway();
  return fmt::format(
      "{} in 100 of them gateways, where all machines are alike in this (assumed): {} a day, {} client "
      "connections "
      "move a day, {} a second",
      whole(share * 100), whole(gateways), whole(moves), number_text(moves / kSecondsPerDay));
}

std::string region_cut_text(const FleetSize& fleet) {
  const KeeperPlacement placement = place_keepers(fleet);
  const double others = placement.keepers - placement.most_in_one_region;
  std::string out = fmt::format("a region cut off from all others has {} of {} keepers, the others {}: ",
                                whole(placement.most_in_one_region), whole(placement.keepers), whole(others));
  if (others >= placement.majority)
    out += fmt::format("these are a majority ({}) and agree; ", whole(placement.majority));
  else
    out += fmt::format("fewer than a majority ({}): no side agrees; ", whole(placement.majority));
  out +=
      "the region that is cut off serves what its engines can, holds its duties to the end of their leases, "
      "and "
      "begins no named load. Two regions that lose only each other both see the keepers of the rest: both "
      "sides agree";
  return out;
}

}  // namespace

MovedClients move_clients(const FleetSize& fleet, double gateways_lost) {
  MovedClients out;
  out.gateways_lost = gateways_lost;
  out.survivors = fleet.planned.gateways - gateways_lost;
  out.connections_moved = gateways_lost * fleet.connections_per_gateway();
  out.connections_per_survivor = out.connections_moved / out.survivors;
  out.connects_per_second = out.connections_per_survivor / fleet.assumed.client_spread_s;
  out.commands_per_second_before = fleet.commands_per_gateway();
  out.commands_per_second_after = fleet.planned.commands_per_second / out.survivors;
  return out;
}

KeeperPlacement place_keepers(const FleetSize& fleet) {
  KeeperPlacement out;
  out.keepers = fleet.assumed.keepers;
  out.majority = std::floor(out.keepers / 2) + 1;
  out.may_be_lost = out.keepers - out.majority;
  out.regions_with_keepers = std::min(out.keepers, fleet.planned.regions);
  out.most_in_one_region = std::ceil(out.keepers / fleet.planned.regions);
  return out;
}

std::vector<Trouble> troubles(const CapacityFile& file) {
  const FleetSize& fleet = file.fleet;
  const PlannedSize& planned = fleet.planned;
  const double zone = fleet.gateways_per_zone();
  const double rack = std::max(1.0, zone / fleet.assumed.racks_per_zone);
  const double region = planned.gateways / planned.regions;
  std::vector<Trouble> out;
  out.push_back(
      {"a machine fails", a_day(planned.machines_failing_per_day), moved_text(move_clients(fleet, 1))});
  out.push_back(
      {"machines restarted or replaced", a_day(planned.machines_replaced_per_day), replaced_text(fleet)});
  out.push_back({"a duty's holder lost", a_day(planned.primary_changes_per_day),
                 "its duties are followed after the lease" + measured_text(file, "holder")});
  out.push_back({"a keeper lost", "with its machine",
                 fmt::format("{} of {} may be lost", whole(place_keepers(fleet).may_be_lost),
                             whole(place_keepers(fleet).keepers)) +
                     measured_text(file, "keeper")});
  out.push_back({"a rack or switch", a_year(planned.racks_lost_per_year),
                 moved_text(move_clients(fleet, rack)) + measured_text(file, "rack")});
  if (planned.zones > 1)
    out.push_back({"a zone", a_year(planned.zones_lost_per_year),
                   moved_text(move_clients(fleet, zone)) + measured_text(file, "zone")});
  if (planned.regions > 1) {
    out.push_back({"regions lose each other", a_year(planned.region_cuts_per_year),
                   region_cut_text(fleet) + measured_text(file, "split")});
    out.push_back({"a region, with its clients", "not told", moved_text(move_clients(fleet, region))});
  }
  return out;
}

std::vector<ControlPlace> control_places(const CapacityFile& file) {
  const FleetSize& fleet = file.fleet;
  const KeeperPlacement placement = place_keepers(fleet);
  const double machines = fleet.planned.control_machines;
  const double others = machines - placement.keepers;
  std::vector<ControlPlace> out;
  out.push_back(
      {"keeper", whole(placement.keepers),
       fmt::format("in {} of {} regions, {} at most in one (assumed)", whole(placement.regions_with_keepers),
                   whole(fleet.planned.regions), whole(placement.most_in_one_region)),
       fmt::format("{}; the list of keepers cannot change in service", whole(placement.may_be_lost))});
  out.push_back({"event bus with the engine list", "the operators'", "one address a gateway, asked by itself",
                 "not known: a gateway goes on with the list it has"});
  out.push_back({"configuration", "0 today", "a file at each gateway", "nothing hands it out"});
  if (others >= 0)
    out.push_back({"free", whole(others),
                   fmt::format("{} machines a region on average, less its keepers",
                               number_text(machines / fleet.planned.regions)),
                   "all"});
  else
    out.push_back({"missing", whole(-others), "-", "the keepers do not fit"});
  return out;
}

}  // namespace firvalve::loadtest
