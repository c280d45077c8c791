#include "schema/registry.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "schema/topic_codec.h"

namespace firvalve::schema {

namespace {

// Used by InjectedBug::kCheckStaleDeclarations: merges a change that was checked against an older value into
// the current value without checking it again.
Topic merge_unchecked(const Topic& checked, const Topic& current) {
  Topic out = current;
  for (const Version& version : checked.versions)
    if (!out.find(version.number)) out.versions.push_back(version);
  for (const Declaration& declaration : checked.declarations)
    if (std::none_of(current.declarations.begin(), current.declarations.end(),
                     [&](const Declaration& other) { return other.subscriber == declaration.subscriber; }))
      out.declarations.push_back(declaration);
  return out;
}

}  // namespace

uint64_t Registry::submit(Change change, consensus::BootTime deadline) {
  const uint64_t number = ++last_change_number_;
  Pending& pending = pending_[number];
  pending.change = std::move(change);
  pending.deadline = deadline;
  propose_read(pending);
  return number;
}

void Registry::propose_read(Pending& pending) {
  consensus::Proposal proposal;
  proposal.key = key_of(pending.change.topic);
  proposal.deadline = pending.deadline;
  pending.proposal_id = 0;
  proposals_.push_back(std::move(proposal));
}

void Registry::propose_change(Pending& pending, const consensus::ProposalResult& result) {
  consensus::Proposal proposal;
  proposal.id = pending.proposal_id = next_proposal_id();
  proposal.key = result.proposal.key;
  proposal.expected_change = result.current.change_id;
  proposal.value = encode(pending.applied.after);
  proposal.is_urgent = true;
  proposal.deadline = pending.deadline;
  proposals_.push_back(std::move(proposal));
}

// Mixes the incarnation and a counter as SplitMix64 does, so that ids of different gateways are unlikely to
// collide. The lowest bit is set because id 0 stands for a read.
uint64_t Registry::next_proposal_id() {
  uint64_t id = incarnation_ + ++proposal_count_ * 0x9e3779b97f4a7c15ull;
  id = (id ^ (id >> 30)) * 0xbf58476d1ce4e5b9ull;
  id = (id ^ (id >> 27)) * 0x94d049bb133111ebull;
  return (id ^ (id >> 31)) | 1;
}

void Registry::finish(uint64_t number, Result::Kind kind) {
  const auto finished = pending_.find(number);
  Pending& pending = finished->second;
  results_.push_back({number, kind, std::move(pending.applied), pending.change.topic, pending.change.kind});
  pending_.erase(finished);
}

void Registry::handle_result(const consensus::ProposalResult& result) {
  // One read result serves every change that waits for a read of the same key, including changes submitted
  // after the read began: if the value read is outdated for one of them, the compare-and-set of its change
  // fails and the change is checked again.
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : pending_)
    if (result.proposal.key == key_of(pending.change.topic) && pending.proposal_id == result.proposal.id)
      numbers.push_back(number);
  using Kind = consensus::ProposalResult::Kind;
  for (const uint64_t number : numbers) {
    switch (result.kind) {
      case Kind::kNoQuorum:
        finish(number, Result::Kind::kNoQuorum);
        break;
      case Kind::kUnknown:
        finish(number, Result::Kind::kUnknown);
        break;
      case Kind::kCommitted:
        finish(number, Result::Kind::kAgreed);
        break;
      case Kind::kRead:
      case Kind::kConflict:
        handle_current(number, result);
        break;
    }
  }
}

// Called after a read, or when another change was committed first. Checks the change against the current
// value and proposes it as the direct successor of that value.
void Registry::handle_current(uint64_t number, const consensus::ProposalResult& result) {
  Pending& pending = pending_[number];
  std::string error;
  const std::optional<Topic> topic =
      result.current.version == 0 ? Topic{} : decode_topic(result.current.value, error);
  if (!topic) return finish(number, Result::Kind::kUnreadable);
  if (is_injected(InjectedBug::kCheckStaleDeclarations) && pending.applied.has_changed)
    pending.applied.after = merge_unchecked(pending.applied.after, *topic);
  else
    pending.applied = apply(*topic, pending.change);
  if (!pending.applied.verdict.is_compatible()) return finish(number, Result::Kind::kRejected);
  if (!pending.applied.has_changed) return finish(number, Result::Kind::kAgreed);
  propose_change(pending, result);
}

}  // namespace firvalve::schema
