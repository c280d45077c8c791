// Changes, and consensus as a fake that answers at once, for tests of the registry.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "schema/registry.h"

namespace firvalve::schema {

inline BootClock::time_point at(double ms) { return time_point_of<BootClock>(ms); }
inline const BootClock::time_point kDeadline = at(1000);

inline Schema with(std::vector<std::string> names) {
  Schema s;
  for (size_t i = 0; i < names.size(); ++i) {
    Field f;
    f.number = static_cast<uint32_t>(i + 1);
    f.name = names[i];
    f.type = Type::kText;
    if (!f.name.empty()) s.fields.push_back(f);
  }
  return s;
}

inline Change propose(const Schema& s) {
  Change c;
  c.kind = Change::Kind::kPropose;
  c.topic = "cabins";
  c.schema = s;
  return c;
}

inline Change declare(const std::string& who, std::set<uint32_t> versions, std::set<uint32_t> reads) {
  Change c;
  c.kind = Change::Kind::kDeclare;
  c.topic = "cabins";
  c.declaration.subscriber = who;
  c.declaration.versions = std::move(versions);
  c.declaration.reads = std::move(reads);
  return c;
}

// The record at a distance: each wish is answered when a test says so.
struct FakeRegister {
  consensus::Register fact;
  consensus::ProposalResult answer(const consensus::Proposal& w) {
    consensus::ProposalResult end{consensus::ProposalResult::Kind::kRead, w, {}, {}};
    if (w.id != 0 && w.expected_change == fact.change_id) {
      ++fact.version;
      fact.change_id = w.id;
      fact.value = w.value;
      end.kind = consensus::ProposalResult::Kind::kCommitted;
    } else if (w.id != 0) {
      end.kind = consensus::ProposalResult::Kind::kConflict;
    }
    end.current = fact;
    return end;
  }
};

inline Registry::Result settle(Registry& r, FakeRegister& fact) {
  for (;;) {
    for (const consensus::Proposal& w : r.take_proposals()) r.handle_result(fact.answer(w));
    auto ends = r.take_results();
    if (!ends.empty()) return ends.front();
  }
}

}  // namespace firvalve::schema
