#include "consensus/proposer.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::consensus {

Proposer::Proposer(const ProposerOptions& options) : options_(options) {}

void Proposer::ask(Ms now, Proposal wish) {
  const uint64_t seed = options_.seed + ++drawn_;
  Round round{std::move(wish),
              now,
              {},
              {},
              {},
              false,
              {},
              {},
              {},
              0,
              0,
              0,
              Backoff(options_.first_wait, options_.longest_wait, seed)};
  attempt(now, std::move(round));
}

void Proposer::attempt(Ms now, Round round) {
  round.phase = Round::Phase::kPrepares;
  round.ballot = {++number_, options_.asker};
  put(now, std::move(round));
}

void Proposer::put(Ms now, Round round) {
  round.answers.clear();
  round.refusals = 0;
  round.repeats = 0;
  round.again_at = now + options_.patience;
  const uint64_t op = ++last_op_;
  const auto at = rounds_.emplace(op, std::move(round)).first;
  for (PeerId p = 0; p < options_.keepers; ++p) send(op, at->second, p);
}

void Proposer::send(uint64_t op, const Round& round, PeerId to) {
  Message m;
  m.say = round.phase == Round::Phase::kPrepares ? MessageType::kPrepare : MessageType::kAccept;
  m.op = op;
  m.key = round.wish.key;
  m.ballot = round.ballot;
  if (m.say == MessageType::kAccept) m.fact = round.fact;
  sends_.push_back({to, std::move(m)});
}

// Guards against askers that outbid each other for ever: each waits for a drawn time before its next try.
void Proposer::back_off(Ms now, Rounds::iterator at) {
  Round round = std::move(at->second);
  rounds_.erase(at);
  round.phase = Round::Phase::kWaits;
  round.again_at = now + round.backoff.next_delay();
  round.answers.clear();
  rounds_.emplace(++last_op_, std::move(round));
}

// An answer counts unless another of those here comes from a keeper that has noted a later life of its
// sender: what that one said before it lost its memory holds no longer.
uint32_t Proposer::counted(const Round& round, std::vector<const Answer*>* which) const {
  uint32_t all = 0;
  for (const auto& one : round.answers) {
    const PeerId keeper = one.first;
    const Answer& answer = one.second;
    const bool outlived = std::any_of(round.answers.begin(), round.answers.end(), [&](const auto& other) {
      return keeper < other.second.lives.size() && other.second.lives[keeper] > answer.life;
    });
    if (outlived && !is_injected(InjectedBug::kLivesIgnored)) continue;
    ++all;
    if (which) which->push_back(&answer);
  }
  return all;
}

bool Proposer::waits_for(const Message& m) const {
  const auto at = rounds_.find(m.op);
  if (at == rounds_.end()) return false;
  if (m.say == MessageType::kRefused) return true;
  const Round::Phase phase = at->second.phase;
  return m.ballot == at->second.ballot &&
         ((m.say == MessageType::kPromise && phase == Round::Phase::kPrepares) ||
          (m.say == MessageType::kAccepted && phase == Round::Phase::kAccepts));
}

void Proposer::handle(Ms now, PeerId keeper, const Message& m) {
  const auto at = rounds_.find(m.op);
  if (at == rounds_.end() || keeper >= options_.keepers) return;
  Round& round = at->second;
  if (m.say == MessageType::kRefused) {
    number_ = std::max(number_, m.ballot.number);
    if (++round.refusals > options_.keepers - majority(options_.keepers)) back_off(now, at);
    return;
  }
  const MessageType wanted =
      round.phase == Round::Phase::kPrepares ? MessageType::kPromise : MessageType::kAccepted;
  if (round.phase == Round::Phase::kWaits || m.say != wanted || m.ballot != round.ballot) return;
  Answer& answer = round.answers[keeper];
  if (answer.life > m.life) return;  // an earlier life's, come late
  answer = {m.life, m.lives, m.held, m.fact};
  std::vector<const Answer*> which;
  if (counted(round, &which) < majority(options_.keepers)) return;
  if (round.phase == Round::Phase::kPrepares) return prepared(now, at, which);
  end(round, round.outcome, round.fact);
  rounds_.erase(at);
}

void Proposer::prepared(Ms now, Rounds::iterator at, const std::vector<const Answer*>& answers) {
  Round round = std::move(at->second);
  const Answer* highest = answers.front();
  for (const Answer* const a : answers)
    if (a->held > highest->held) highest = a;
  const Register found = highest->fact;
  // What a majority holds under one ballot stands. Anything that this wish itself had offered under a later
  // one could still come to stand.
  const bool stands =
      highest->held >= round.offered &&
      std::all_of(answers.begin(), answers.end(), [&](const Answer* a) { return a->held == highest->held; });
  round.fact = found;
  if (round.wish.id == 0)
    round.outcome = ProposalResult::Kind::kRead;
  else if (found.made(round.wish.id))
    round.outcome = ProposalResult::Kind::kAgreed;
  else if (found.change != round.wish.expected)
    round.outcome = ProposalResult::Kind::kConflict;
  else {
    round.outcome = ProposalResult::Kind::kAgreed;
    Register& fact = round.fact;
    if (found.version > 0) fact.before.insert(fact.before.begin(), found.change);
    if (fact.before.size() > kRemembered) fact.before.resize(kRemembered);
    ++fact.version;
    fact.change = round.wish.id;
    fact.value = round.wish.value;
    fact.urgent = round.wish.urgent;
    round.mine_offered = true;
  }
  const bool changes = round.fact.change != found.change;
  const bool unfinished =
      is_injected(InjectedBug::kConflictUnfinished) && round.outcome == ProposalResult::Kind::kConflict;
  if ((stands && !changes) || unfinished) {
    end(round, round.outcome, found);
    rounds_.erase(at);
    return;
  }
  rounds_.erase(at);
  round.phase = Round::Phase::kAccepts;
  round.offered = round.ballot;
  put(now, std::move(round));
}

void Proposer::end(const Round& round, ProposalResult::Kind kind, const Register& fact) {
  ends_.push_back({kind, round.wish, fact, round.asked_at});
}

void Proposer::due(Ms now) {
  std::vector<uint64_t> ops;
  for (const auto& [op, round] : rounds_)
    if (now >= round.again_at || now >= round.wish.until) ops.push_back(op);
  for (const uint64_t op : ops) {
    const auto at = rounds_.find(op);
    Round& round = at->second;
    if (now >= round.wish.until) {
      end(round, round.mine_offered ? ProposalResult::Kind::kUnknown : ProposalResult::Kind::kNoMajority, {});
      rounds_.erase(at);
    } else if (round.phase == Round::Phase::kWaits) {
      Round next = std::move(round);
      rounds_.erase(at);
      attempt(now, std::move(next));
    } else if (++round.repeats > options_.repeats) {
      back_off(now, at);
    } else {
      round.again_at = now + options_.patience;
      for (PeerId p = 0; p < options_.keepers; ++p)
        if (!round.answers.count(p)) send(op, round, p);
    }
  }
}

Ms Proposer::next_due() const {
  Ms next = 0;
  for (const auto& [op, round] : rounds_) {
    const Ms at = std::min(round.again_at, round.wish.until);
    if (next == 0 || at < next) next = at;
  }
  return next;
}

std::string Proposer::digest() const {
  Digest d;
  d.add(number_);
  for (const auto& [op, r] : rounds_) {
    d.add(op).add(r.wish.id).add(r.wish.key).add(r.wish.expected).add(r.wish.value);
    d.add(static_cast<uint8_t>(r.phase)).add(r.ballot).add(r.offered).add(r.mine_offered).add(r.fact);
    d.add(static_cast<uint8_t>(r.outcome)).add(r.refusals).add(r.repeats);
    for (const auto& [keeper, a] : r.answers) d.add(keeper).add(a.life).add(a.lives).add(a.held).add(a.fact);
  }
  return d.text();
}

}  // namespace firvalve::consensus
