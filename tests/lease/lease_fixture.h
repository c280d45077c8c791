// Shared by the lease tests: fake registers that commit at once, and fake gateways with a lease manager and
// run-once jobs.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "lease/lease_manager.h"
#include "lease/run_once_jobs.h"

namespace firvalve::lease {

constexpr BootTime at(Ms ms) { return time_point_of<BootClock>(ms); }

// Applies the proposal to the register if its compare-and-set condition holds, as consensus would.
inline consensus::ProposalResult::Kind compare_and_set(consensus::Register& current,
                                                       const consensus::Proposal& proposal) {
  using Kind = consensus::ProposalResult::Kind;
  if (current.version > 0 && current.includes_change(proposal.id)) return Kind::kCommitted;
  if (current.change_id != proposal.expected_change) return Kind::kConflict;
  if (current.version > 0) current.earlier_changes.insert(current.earlier_changes.begin(), current.change_id);
  ++current.version;
  current.change_id = proposal.id;
  current.value = proposal.value;
  return Kind::kCommitted;
}

// Registers that commit each proposal at once.
struct FakeRegisters {
  std::map<std::string, consensus::Register> stored;
  size_t max_value_bytes = SIZE_MAX;  // there is no space for a longer value
  consensus::ProposalResult change(BootTime now, const consensus::Proposal& proposal) {
    if (proposal.value.size() > max_value_bytes)
      return {consensus::ProposalResult::Kind::kUnknown, proposal, {}, now, true};
    consensus::Register& current = stored[proposal.key];
    const consensus::ProposalResult::Kind kind = compare_and_set(current, proposal);
    return {kind, proposal, current, now};
  }
};

struct FakeGateway {
  FakeGateway(const std::string& name, Incarnation incarnation, Duration duration = 1000ms)
      : options{name, incarnation, duration}, leases(at(1), options), jobs(leases, incarnation) {
    leases.on_synced(at(1));
  }
  // Ticks the gateway, applies its proposals to the registers and collects its events and actions.
  void tick(FakeRegisters& registers, BootTime now) {
    leases.on_tick(now);
    jobs.on_tick(now);
    for (bool made_progress = true; made_progress;) {
      made_progress = false;
      for (const consensus::Proposal& proposal : leases.take_proposals()) {
        made_progress = true;
        leases.on_result(now, registers.change(now, proposal));
      }
      for (Event& event : leases.take_events()) {
        made_progress = true;
        jobs.handle(now, event);
        events.push_back(event);
      }
    }
    for (RunOnceJobs::Action& action : jobs.take_actions()) actions.push_back(action);
  }
  void observe_and_tick(FakeRegisters& registers, BootTime now) {
    for (const auto& [key, value] : registers.stored) leases.observe(now, key, value);
    tick(registers, now);
  }
  int count(Event::Kind kind) const {
    return static_cast<int>(
        std::count_if(events.begin(), events.end(), [&](const Event& e) { return e.kind == kind; }));
  }
  int count(RunOnceJobs::Action::Kind kind) const {
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [&](const auto& a) { return a.kind == kind; }));
  }
  LeaseOptions options;
  LeaseManager leases;
  RunOnceJobs jobs;
  std::vector<Event> events;
  std::vector<RunOnceJobs::Action> actions;
};

// Ticks the given gateways at every step; a gateway that is not given is paused.
inline void run(FakeRegisters& registers, std::vector<FakeGateway*> gateways, BootTime from, BootTime until,
                Duration step = 10ms) {
  for (BootTime now = from; now <= until; now += step)
    for (FakeGateway* gateway : gateways) gateway->observe_and_tick(registers, now);
}

// Two gateways, a_ and b_, that share registers.
class LeaseFixture : public testing::Test {
 protected:
  FakeRegisters registers_;
  FakeGateway a_{"a", 1001}, b_{"b", 2002};
};

}  // namespace firvalve::lease
