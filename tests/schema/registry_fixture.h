// Helpers for tests of the registry: changes, and a fake consensus register.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "schema/registry.h"

namespace firvalve::schema {

inline BootClock::time_point at(double ms) { return time_point_of<BootClock>(ms); }
inline const BootClock::time_point kDeadline = at(1000);

inline Schema make_text_schema(std::vector<std::string> names) {
  Schema schema;
  for (size_t i = 0; i < names.size(); ++i) {
    Field field;
    field.number = static_cast<uint32_t>(i + 1);
    field.name = names[i];
    field.type = Type::kText;
    if (!field.name.empty()) schema.fields.push_back(field);
  }
  return schema;
}

inline Change make_proposal(const Schema& schema) {
  Change change;
  change.kind = Change::Kind::kPropose;
  change.topic = "cabins";
  change.schema = schema;
  return change;
}

inline Change make_declaration(const std::string& subscriber, std::set<uint32_t> versions,
                               std::set<uint32_t> reads) {
  Change change;
  change.kind = Change::Kind::kDeclare;
  change.topic = "cabins";
  change.declaration.subscriber = subscriber;
  change.declaration.versions = std::move(versions);
  change.declaration.reads = std::move(reads);
  return change;
}

// One consensus register. A test decides when each proposal is answered.
struct FakeRegister {
  consensus::Register current;
  consensus::ProposalResult answer(const consensus::Proposal& proposal) {
    consensus::ProposalResult result{consensus::ProposalResult::Kind::kRead, proposal, {}, {}};
    if (proposal.id != 0 && proposal.expected_change == current.change_id) {
      ++current.version;
      current.change_id = proposal.id;
      current.value = proposal.value;
      result.kind = consensus::ProposalResult::Kind::kCommitted;
    } else if (proposal.id != 0) {
      result.kind = consensus::ProposalResult::Kind::kConflict;
    }
    result.current = current;
    return result;
  }
};

// Answers the registry's proposals until it has a result, and returns that.
inline Registry::Result run_to_result(Registry& registry, FakeRegister& fake) {
  for (;;) {
    for (const consensus::Proposal& proposal : registry.take_proposals())
      registry.handle_result(fake.answer(proposal));
    auto results = registry.take_results();
    if (!results.empty()) return results.front();
  }
}

}  // namespace firvalve::schema
