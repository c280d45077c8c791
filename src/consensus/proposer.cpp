#include "consensus/proposer.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::consensus {

namespace {

// Returns the register as it is after the proposal's change.
Register apply_change(const Register& current, const Proposal& proposal) {
  Register next = current;
  if (current.version > 0) next.earlier_changes.insert(next.earlier_changes.begin(), current.change_id);
  if (next.earlier_changes.size() > kMaxEarlierChanges) next.earlier_changes.resize(kMaxEarlierChanges);
  ++next.version;
  next.change_id = proposal.id;
  next.value = proposal.value;
  next.is_urgent = proposal.is_urgent;
  return next;
}

// Returns the result of a proposal for which `current` is the committed register. A change that `current`
// already includes was committed by an earlier attempt.
ProposalResult::Kind outcome_of(const Proposal& proposal, const Register& current) {
  if (proposal.is_read()) return ProposalResult::Kind::kRead;
  const bool is_applicable =
      current.includes_change(proposal.id) || current.change_id == proposal.expected_change;
  return is_applicable ? ProposalResult::Kind::kCommitted : ProposalResult::Kind::kConflict;
}

}  // namespace

Proposer::Proposer(const ProposerOptions& options) : options_(options) {}

void Proposer::propose(BootTime now, Proposal proposal) {
  const uint64_t seed = options_.seed + ++backoff_seeds_used_;
  const Backoff backoff(to_ms(options_.min_backoff), to_ms(options_.max_backoff), seed);
  start_attempt(now, Round(now, std::move(proposal), backoff));
}

void Proposer::start_attempt(BootTime now, Round round) {
  round.phase = Round::Phase::kPrepare;
  round.ballot = {++highest_ballot_number_, options_.proposer_id};
  start_phase(now, std::move(round));
}

void Proposer::start_phase(BootTime now, Round round) {
  round.responses.clear();
  round.rejections = round.out_of_space_rejections = 0;
  round.resends = 0;
  round.deadline = now + options_.response_timeout;
  const RequestId id = ++last_request_id_;
  const auto it = rounds_.emplace(id, std::move(round)).first;
  for (PeerId replica = 0; replica < options_.replica_count; ++replica) send_request(id, it->second, replica);
}

void Proposer::send_request(RequestId id, const Round& round, PeerId to) {
  Message request;
  request.request_id = id;
  request.key = round.proposal.key;
  request.ballot = round.ballot;
  if (round.phase == Round::Phase::kAccept) {
    request.type = MessageType::kAccept;
    request.register_state = round.proposed;
  }
  messages_.push_back({to, std::move(request)});
}

// Waits before the next attempt, so that concurrent proposers do not preempt each other indefinitely.
void Proposer::back_off(BootTime now, Rounds::iterator it) {
  Round round = std::move(it->second);
  rounds_.erase(it);
  round.phase = Round::Phase::kBackoff;
  round.deadline = now + duration_of(round.backoff.next_delay());
  round.responses.clear();
  rounds_.emplace(++last_request_id_, std::move(round));
}

// Returns the responses that count towards a quorum. A response does not count if another one comes from a
// replica that has recorded a later incarnation of the first one's sender: the sender has lost its storage
// since, and no longer keeps what it promised or accepted.
Proposer::Responses Proposer::countable_responses(const Round& round) const {
  Responses countable;
  for (const auto& entry : round.responses) {
    const PeerId replica = entry.first;
    const Response& response = entry.second;
    const bool is_outdated =
        std::any_of(round.responses.begin(), round.responses.end(), [&](const auto& other) {
          const std::vector<Incarnation>& known = other.second.known_incarnations;
          return replica < known.size() && known[replica] > response.incarnation;
        });
    if (!is_outdated || is_injected(InjectedBug::kIgnoreIncarnations)) countable.push_back(&response);
  }
  return countable;
}

bool Proposer::is_expecting(const Message& message) const {
  const auto it = rounds_.find(message.request_id);
  if (it == rounds_.end()) return false;
  if (message.type == MessageType::kRejected) return true;
  const Round::Phase phase = it->second.phase;
  return message.ballot == it->second.ballot &&
         ((message.type == MessageType::kPromise && phase == Round::Phase::kPrepare) ||
          (message.type == MessageType::kAccepted && phase == Round::Phase::kAccept));
}

void Proposer::handle(BootTime now, PeerId replica, const Message& message) {
  const auto it = rounds_.find(message.request_id);
  if (it == rounds_.end() || replica >= options_.replica_count) return;
  if (message.type == MessageType::kRejected) return handle_rejected(now, it, message);
  if (!is_expecting(message)) return;
  Round& round = it->second;
  Response& response = round.responses[replica];
  if (response.incarnation > message.incarnation) return;  // delayed response of an earlier incarnation
  response = {message.incarnation, message.known_incarnations, message.accepted_ballot,
              message.register_state};
  const Responses countable = countable_responses(round);
  if (countable.size() < quorum_size(options_.replica_count)) return;
  if (round.phase == Round::Phase::kPrepare) return on_prepared(now, it, countable);
  finish(round, round.outcome, round.proposed);
  rounds_.erase(it);
}

void Proposer::handle_rejected(BootTime now, Rounds::iterator it, const Message& message) {
  highest_ballot_number_ = std::max(highest_ballot_number_, message.ballot.number);
  const uint32_t max_rejections = options_.replica_count - quorum_size(options_.replica_count);
  Round& round = it->second;
  round.out_of_space_rejections += message.is_out_of_space ? 1 : 0;
  if (++round.rejections <= max_rejections) return;
  round.is_out_of_space = round.out_of_space_rejections > max_rejections;
  back_off(now, it);
}

void Proposer::on_prepared(BootTime now, Rounds::iterator it, const Responses& responses) {
  Round& round = it->second;
  const Response* highest = responses.front();
  for (const Response* const response : responses)
    if (response->accepted_ballot > highest->accepted_ballot) highest = response;
  const Register current = highest->accepted;
  // A register that a quorum has accepted under one ballot is committed. That is not enough if this proposal
  // has sent an accept request under a later ballot: it may still be accepted.
  const bool is_committed = highest->accepted_ballot >= round.highest_sent_accept &&
                            std::all_of(responses.begin(), responses.end(), [&](const Response* response) {
                              return response->accepted_ballot == highest->accepted_ballot;
                            });
  round.outcome = outcome_of(round.proposal, current);
  const bool adds_change =
      round.outcome == ProposalResult::Kind::kCommitted && !current.includes_change(round.proposal.id);
  round.proposed = adds_change ? apply_change(current, round.proposal) : current;
  round.has_sent_own_change |= adds_change;
  const bool skips_write_back =
      is_injected(InjectedBug::kSkipConflictWriteBack) && round.outcome == ProposalResult::Kind::kConflict;
  if ((is_committed && !adds_change) || skips_write_back) {
    finish(round, round.outcome, current);
    rounds_.erase(it);
    return;
  }
  Round next = std::move(round);
  rounds_.erase(it);
  next.phase = Round::Phase::kAccept;
  next.highest_sent_accept = next.ballot;
  start_phase(now, std::move(next));
}

void Proposer::finish(const Round& round, ProposalResult::Kind kind, const Register& current) {
  results_.push_back({kind, round.proposal, current, round.proposed_at});
}

void Proposer::on_tick(BootTime now) {
  std::vector<RequestId> expired;
  for (const auto& [id, round] : rounds_)
    if (now >= round.deadline || now >= round.proposal.deadline) expired.push_back(id);
  for (const RequestId id : expired) on_phase_timeout(now, rounds_.find(id));
}

void Proposer::on_phase_timeout(BootTime now, Rounds::iterator it) {
  Round& round = it->second;
  if (now >= round.proposal.deadline) {
    using Kind = ProposalResult::Kind;
    finish(round, round.has_sent_own_change ? Kind::kUnknown : Kind::kNoQuorum, {});
    results_.back().is_out_of_space = round.is_out_of_space;
    rounds_.erase(it);
    return;
  }
  if (round.phase == Round::Phase::kBackoff) {
    Round next = std::move(round);
    rounds_.erase(it);
    return start_attempt(now, std::move(next));
  }
  if (++round.resends > options_.max_resends) return back_off(now, it);
  round.deadline = now + options_.response_timeout;
  for (PeerId replica = 0; replica < options_.replica_count; ++replica)
    if (!round.responses.count(replica)) send_request(it->first, round, replica);
}

std::optional<BootTime> Proposer::next_deadline() const {
  std::optional<BootTime> next;
  for (const auto& [id, round] : rounds_)
    next = earlier_of(next, std::optional(std::min(round.deadline, round.proposal.deadline)));
  return next;
}

std::string Proposer::digest() const {
  Digest digest;
  digest.add(highest_ballot_number_);
  for (const auto& [id, round] : rounds_) {
    const Proposal& proposal = round.proposal;
    digest.add(id).add(proposal.id).add(proposal.key).add(proposal.expected_change).add(proposal.value);
    digest.add(round.phase).add(round.ballot).add(round.highest_sent_accept).add(round.has_sent_own_change);
    digest.add(round.proposed).add(round.outcome).add(round.rejections).add(round.resends);
    digest.add(round.out_of_space_rejections).add(round.is_out_of_space);
    for (const auto& [replica, response] : round.responses)
      digest.add(replica)
          .add(response.incarnation)
          .add(response.known_incarnations)
          .add(response.accepted_ballot)
          .add(response.accepted);
  }
  return digest.text();
}

}  // namespace firvalve::consensus
