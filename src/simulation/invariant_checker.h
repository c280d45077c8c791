// Checks what many gateways did together, from their histories alone. It knows nothing of how the record,
// the leases or the merges work and shares no line with them; times are those of one clock that all histories
// were taken with.
//
// Rules, by the names that a verdict gives:
//  one_holder    never two that may act for one lease at one moment
//  epochs_grow   each new holder of a lease has a greater epoch than all before
//  acts_in_order whoever receives acts takes none of an older epoch than one it has taken
//  once          a named load is begun at most once
//  compatible    every version of a bulletin that is published has each field that a declaration of that
//  moment reads linearizable  changes and readings of the record can be put in one order, a key, that agrees
//  with time
#pragma once

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

struct HeldSpan {  // a gateway may act
  std::string lease, holder;
  uint64_t epoch = 0;
  Ms from = 0, until = 0;
};

struct TakenAct {  // at whoever receives it, in the order of time
  std::string lease, receiver;
  uint64_t epoch = 0;
  Ms at = 0;
};

struct Begun {  // at the engine
  std::string name;
  Ms at = 0;
};

struct RecordOp {
  enum class Kind : uint8_t { kChange, kRead };
  Kind kind = Kind::kRead;
  std::string key;
  Ms asked = 0, ended = 0;
  uint64_t version = 0;  // that it made or read
  uint64_t id = 0;       // of the change that made that version; 0: none has been made
  uint64_t on = 0;       // kChange: the change that it was to build on
};

struct AgreedTopic {  // as it stood at some moment
  std::string name;
  Ms at = 0;
  std::map<uint64_t, std::set<std::string>> published;        // fields of each version that may be published
  std::map<std::string, std::set<std::string>> declarations;  // fields that each subscriber reads
};

struct FleetHistory {
  std::vector<HeldSpan> held;
  std::vector<TakenAct> acts;
  std::vector<Begun> begun;
  std::vector<AgreedTopic> bulletins;
  std::vector<RecordOp> ops;  // those that ended and told what stands
};

struct FleetViolation {
  std::string rule, text;
};

std::vector<FleetViolation> check_invariants(const FleetHistory& history);

// Reads the logs of processes, JSON a line: `lease.acquired`, `lease.renewed`, `lease.released` and
// `lease.lost` with `lease`, `epoch`, `at_ms` and, of the first two, `until_ms`, into spans. Lines of other
// events are passed over.
void read_spans(const std::string& holder, const std::string& log, FleetHistory& into);

// Reads a bulletin as gateways tell it: JSON with `versions` and `declarations`.
AgreedTopic read_agreed(const std::string& name, Ms at, const std::string& json);

}  // namespace firvalve::simulation
