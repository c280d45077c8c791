#include "schema/registry.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "schema/topic_codec.h"

namespace firvalve::schema {

namespace {

// The injected bug: what was checked before is put on top of what stands now.
Topic merged_unchecked(const Topic& checked, const Topic& current) {
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
  const uint64_t number = ++last_change_;
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
  pending.proposal = 0;
  proposals_.push_back(std::move(proposal));
}

void Registry::propose_change(Pending& pending, const consensus::ProposalResult& result) {
  consensus::Proposal proposal;
  proposal.id = pending.proposal = next_proposal_id();
  proposal.key = result.proposal.key;
  proposal.expected_change = result.current.change_id;
  proposal.value = encode(pending.applied.after);
  proposal.is_urgent = true;
  proposal.deadline = pending.deadline;
  proposals_.push_back(std::move(proposal));
}

uint64_t Registry::next_proposal_id() {
  uint64_t id = incarnation_ + ++proposal_ids_ * 0x9e3779b97f4a7c15ull;
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
  // A reading answers all that wait for one of that key: what it shows stood after each of them asked, or is
  // found to be older when the change is agreed on top of it.
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : pending_)
    if (result.proposal.key == key_of(pending.change.topic) && pending.proposal == result.proposal.id)
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

// It was read, or another change came first: it is checked against what stands now, and agreed on top of just
// that.
void Registry::handle_current(uint64_t number, const consensus::ProposalResult& result) {
  Pending& pending = pending_[number];
  std::string why;
  const std::optional<Topic> topic =
      result.current.version == 0 ? Topic{} : decode_topic(result.current.value, why);
  if (!topic) return finish(number, Result::Kind::kUnreadable);
  if (is_injected(InjectedBug::kCheckStaleDeclarations) && pending.applied.has_changed)
    pending.applied.after = merged_unchecked(pending.applied.after, *topic);
  else
    pending.applied = apply(*topic, pending.change);
  if (!pending.applied.verdict.is_compatible()) return finish(number, Result::Kind::kRejected);
  if (!pending.applied.has_changed) return finish(number, Result::Kind::kAgreed);
  propose_change(pending, result);
}

}  // namespace firvalve::schema
