#include "lease/lease_manager.h"

#include <algorithm>
#include <cmath>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::lease {

namespace {

constexpr double kGuardPart = 0.1;      // of a lease, kept for acts on their way
constexpr Ms kGuardLeast = 50;          // a process that is scheduled late by more is lame anyhow
constexpr double kRenewPart = 1.0 / 3;  // of a lease: two renewals may fail before it ends
constexpr double kAskPart = 0.5;        // of a lease: a claim or renewal that takes longer is asked anew
// How long it stands back before it claims, in parts of kBackMost or of a quarter of a lease, if less: by its
// own draw for the duty, for each duty that it holds, for each stall of the last minute, while it is new.
constexpr Ms kBackMost = 400;
constexpr double kBackDraw = 0.4, kBackHeld = 0.02, kBackHeldMost = 0.2, kBackStall = 0.1,
                 kBackStallMost = 0.3, kBackNew = 0.1;
constexpr double kBackReleased =
    0.1;  // of that, where the holder itself has handed it on: nobody is in doubt
constexpr Ms kNew = 10000;
constexpr Ms kStallsKept = 60000;
constexpr size_t kLame =
    3;  // so many stalls, each past the guard, within kStallsKept: it hands on what it has

// Where a gateway stands among all for one duty, from 0 to 1: even over gateways and duties.
double place(const std::string& duty, const std::string& self) {
  uint64_t h = 0xcbf29ce484222325ull;
  const auto mix = [&h](const std::string& text) {
    for (const char c : text) h = (h ^ static_cast<uint8_t>(c)) * 0x100000001b3ull;
    h ^= h >> 29;
    h *= 0xbf58476d1ce4e5b9ull;
    h ^= h >> 32;
  };
  mix(duty);
  mix(self);
  return static_cast<double>(h >> 11) / static_cast<double>(uint64_t{1} << 53);
}

}  // namespace

Ms guard_of(Ms lease) { return std::max(kGuardLeast, kGuardPart * lease); }
Ms wait_of(Ms lease) { return lease * (1 + kDrift) / (1 - kDrift); }

LeaseManager::LeaseManager(Ms now, const LeaseOptions& options) : options_(options), started_at_(now) {}

uint64_t LeaseManager::draw() {
  uint64_t z = options_.life + ++draws_ * 0x9e3779b97f4a7c15ull;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  z ^= z >> 31;
  return z == 0 ? draw() : z;
}

void LeaseManager::want(Ms now, const std::string& duty) {
  Wanted& w = wanted_[duty];
  w.wanted = true;
  if (w.seen_at == 0) {
    w.seen_at = now;
    w.back = stand_back(now, duty, false);
  }
}

void LeaseManager::unwant(Ms now, const std::string& duty) {
  const auto at = wanted_.find(duty);
  if (at == wanted_.end()) return;
  at->second.wanted = false;
  if (at->second.epoch > 0 || at->second.step != Step::kNone) {
    at->second.leaving = true;
    at->second.why = "not wanted any more";
    return due(now);
  }
  wanted_.erase(at);
}

std::optional<uint64_t> LeaseManager::may_act(Ms now, const std::string& duty) const {
  const auto at = wanted_.find(duty);
  if (at == wanted_.end() || at->second.epoch == 0 || at->second.leaving || now >= at->second.sure_until)
    return {};
  return at->second.epoch;
}

bool LeaseManager::state(Ms now, const std::string& duty, std::string state) {
  const auto at = wanted_.find(duty);
  if (at == wanted_.end()) return false;
  Wanted& w = at->second;
  if (w.epoch == 0 || now >= w.sure_until || (w.leaving && !w.pinned)) return false;
  if (w.next_state || w.step == Step::kStates) return false;
  w.next_state = std::move(state);
  due(now);
  return true;
}

void LeaseManager::pin(Ms now, const std::string& duty, bool on) {
  const auto at = wanted_.find(duty);
  if (at == wanted_.end()) return;
  at->second.pinned = on;
  if (!on) due(now);
}

const LeaseRecord* LeaseManager::claim(const std::string& duty) const {
  const auto at = wanted_.find(duty);
  return at == wanted_.end() || !at->second.claim ? nullptr : &*at->second.claim;
}

Ms LeaseManager::back_of(bool released) const {
  return std::min(kBackMost, options_.lease / 4) * (released ? kBackReleased : 1);
}

Ms LeaseManager::stand_back(Ms now, const std::string& duty, bool released) const {
  double parts = kBackDraw * place(duty, options_.self);
  parts += std::min(kBackStallMost, kBackStall * static_cast<double>(stalls_.size()));
  if (now < started_at_ + kNew) parts += kBackNew;
  return parts * back_of(released);
}

void LeaseManager::take_fact(Ms now, const std::string& duty, Wanted& w, const consensus::Register& fact,
                             bool stands) {
  // An older one than is known, from a keeper that lags: nothing is learned of it.
  if (w.known && (fact.version < w.fact.version || fact.change == w.fact.change)) return;
  if (w.known && w.stands && !stands && fact.version == w.fact.version) return;
  // One keeper alone does not end what is held: what it shows may never come to stand. The record is asked.
  if (w.epoch > 0 && !stands) {
    w.renew_at = std::min(w.renew_at, now);
    return;
  }
  w.known = true;
  w.stands = stands;
  w.fact = fact;
  w.claim = fact.version > 0 ? read_claim(fact.value) : std::nullopt;
  const bool unreadable = fact.version > 0 && !w.claim;
  if (unreadable && !w.unreadable) events_.push_back({Event::Kind::kUnreadable, duty, 0, {}, 0, false});
  w.unreadable = unreadable;
  w.seen_at = now;
  w.back = stand_back(now, duty, w.claim && w.claim->released);
  if (w.epoch > 0) lose(duty, w, unreadable ? "its claim cannot be read" : "another has claimed it");
  events_.push_back({Event::Kind::kSeen, duty, w.claim ? w.claim->epoch : 0, {}, 0, false});
}

void LeaseManager::saw(Ms now, const std::string& key, const consensus::Register& fact) {
  const auto at = wanted_.find(key);
  if (at != wanted_.end()) take_fact(now, key, at->second, fact, false);
}

void LeaseManager::looked(Ms now) {
  if (looked_) return;
  looked_ = true;
  // Of what nobody has claimed yet the standing back begins here. Guards against one that looked first and
  // takes all.
  for (auto& [duty, w] : wanted_)
    if (!w.known) w.seen_at = now;
  due(now);
}

void LeaseManager::lose(const std::string& duty, Wanted& w, std::string why) {
  events_.push_back({Event::Kind::kLost, duty, w.epoch, std::move(why), 0, false});
  if (w.next_state || w.step == Step::kStates) {
    // Whether it stands shows in the record alone.
    events_.push_back({Event::Kind::kStated, duty, w.epoch, {}, 0, false});
    w.next_state.reset();
  }
  held_ -= w.epoch > 0;
  w.epoch = 0;
  w.leaving = false;
}

void LeaseManager::ask(Ms now, const std::string& duty, Wanted& w, Step step, const LeaseRecord& claim) {
  w.step = step;
  w.asked_at = now;
  w.wish.id = draw();
  w.wish.key = duty;
  w.wish.expected = w.fact.change;
  w.wish.value = written(claim);
  w.wish.urgent = step != Step::kRenews;
  w.wish.until = now + kAskPart * claim.lease;
  wishes_.push_back(w.wish);
}

void LeaseManager::ended(Ms now, const consensus::ProposalResult& end) {
  const auto at = wanted_.find(end.wish.key);
  if (at == wanted_.end() || at->second.wish.id != end.wish.id || at->second.step == Step::kNone) return;
  Wanted& w = at->second;
  const std::string& duty = at->first;
  using Kind = consensus::ProposalResult::Kind;
  if (end.kind == Kind::kUnknown) {
    // It may stand. Asked again under its id, it counts from when it was asked first.
    w.wish.until = now + kAskPart * options_.lease;
    wishes_.push_back(w.wish);
    return;
  }
  const Step step = std::exchange(w.step, Step::kNone);
  const Ms counted_from = is_injected(InjectedBug::kLeaseFromAnswer) ? now : w.asked_at;
  if (end.kind == Kind::kNoMajority) {
    // It was not made and is asked for anew, a state too: whoever wanted it written is owed an end.
    if (step == Step::kStates && w.epoch > 0 && !w.next_state)
      w.next_state = read_claim(end.wish.value)->state;
    return due(now);
  }
  if (end.kind == Kind::kAgreed) {
    const bool mine = end.fact.change == end.wish.id;
    const std::optional<LeaseRecord> claim = read_claim(end.wish.value);
    if (mine) {
      w.known = w.stands = true;
      w.fact = end.fact;
      w.claim = claim;
      w.seen_at = now;
    }
    if (step == Step::kReleases) {
      if (w.epoch > 0) events_.push_back({Event::Kind::kLeft, duty, w.epoch, w.why, 0, false});
      held_ -= w.epoch > 0;
      w.epoch = 0;
      w.leaving = false;
      w.back = kBackMost;  // whoever else wants it goes first
      if (!w.wanted) wanted_.erase(at);
      return;
    }
    const Ms sure = counted_from + options_.lease - guard_of(options_.lease);
    if (!mine) {
      // It stood, and another has changed it since: nothing of it is left to hold.
      if (w.epoch > 0) lose(duty, w, "another has claimed it");
      take_fact(now, duty, w, end.fact, true);
    } else if (step == Step::kClaims && now >= sure) {
      // It took longer than its lease. Nobody acted under it; the next claim is its own again.
    } else if (step == Step::kClaims) {
      held_ += w.epoch == 0;
      w.epoch = claim->epoch;
      w.sure_until = sure;
      w.renew_at = w.asked_at + kRenewPart * options_.lease;
      events_.push_back({Event::Kind::kTaken, duty, w.epoch, {}, w.sure_until, false});
    } else if (w.epoch > 0) {
      w.sure_until = std::max(w.sure_until, sure);
      w.renew_at = w.asked_at + kRenewPart * options_.lease;
      events_.push_back({Event::Kind::kRenewed, duty, w.epoch, {}, w.sure_until, false});
      if (step == Step::kStates) events_.push_back({Event::Kind::kStated, duty, w.epoch, {}, 0, true});
    }
    return due(now);
  }
  // Another's change stands in its place.
  w.step = step;  // lose() tells of a state that was under way
  if (w.epoch > 0) lose(duty, w, "another has claimed it");
  w.step = Step::kNone;
  w.leaving = false;
  take_fact(now, duty, w, end.fact, true);
  if (!w.wanted && w.epoch == 0) {
    wanted_.erase(at);
    return;
  }
  due(now);
}

Ms LeaseManager::free_at(const Wanted& w) const {
  if (!w.wanted || leaving_ || w.unreadable || !(w.known || looked_)) return 0;
  // What it holds counts as it is now: it may have taken others since it saw this one.
  const Ms held =
      std::min(kBackHeldMost, kBackHeld * static_cast<double>(held_)) * back_of(w.claim && w.claim->released);
  const Ms at = w.seen_at + w.back + held;
  if (!w.claim || w.claim->released || is_injected(InjectedBug::kNoWait)) return at;
  // Its own of which it knows that it acts no more.
  if (w.claim->life == options_.life && w.claim->holder == options_.self) return at;
  return at + wait_of(std::max(w.claim->lease, options_.lease));
}

void LeaseManager::stalled(Ms now, Ms gap) {
  if (gap < guard_of(options_.lease)) return;
  stalls_.push_back(now);
  if (stalls_.size() < kLame) return;
  for (auto& [duty, w] : wanted_)
    if (w.epoch > 0 && !w.leaving) w.leaving = true, w.why = "stalled too often";
}

void LeaseManager::leave(Ms now) {
  leaving_ = true;
  for (auto& [duty, w] : wanted_)
    if (w.epoch > 0 || w.step == Step::kClaims) w.leaving = true, w.why = "this gateway ends";
  due(now);
}

bool LeaseManager::holds_any() const {
  return std::any_of(wanted_.begin(), wanted_.end(), [](const auto& w) {
    return w.second.epoch > 0 || w.second.step == Step::kClaims || w.second.step == Step::kReleases;
  });
}

void LeaseManager::due(Ms now) {
  while (!stalls_.empty() && now > stalls_.front() + kStallsKept) stalls_.pop_front();
  for (auto at = wanted_.begin(); at != wanted_.end();) {
    const auto& duty = at->first;
    Wanted& w = at->second;
    if (w.epoch > 0 && now >= w.sure_until) {
      lose(duty, w, "its lease ran out");
      w.seen_at = std::max(w.seen_at, now);
    }
    if (w.step == Step::kNone) {
      if (w.epoch > 0 && w.claim) {
        LeaseRecord claim = *w.claim;
        if (w.next_state) {
          claim.state = std::move(*w.next_state);
          w.next_state.reset();
          ask(now, duty, w, Step::kStates, claim);
        } else if (w.leaving && !w.pinned) {
          claim.released = true;
          ask(now, duty, w, Step::kReleases, claim);
        } else if (now >= w.renew_at) {
          ask(now, duty, w, Step::kRenews, claim);
        }
      } else if (!w.wanted) {
        at = wanted_.erase(at);
        continue;
      } else if (const Ms free = free_at(w); free > 0 && now >= free) {
        LeaseRecord claim;
        if (w.claim) claim = *w.claim;
        ++claim.epoch;
        claim.holder = options_.self;
        claim.life = options_.life;
        claim.lease = options_.lease;
        claim.released = false;
        ask(now, duty, w, Step::kClaims, claim);
      }
    }
    ++at;
  }
}

Ms LeaseManager::next_due() const {
  Ms next = 0;
  const auto sooner = [&next](Ms at) {
    if (at > 0 && (next == 0 || at < next)) next = at;
  };
  for (const auto& [duty, w] : wanted_) {
    if (w.epoch > 0) sooner(w.sure_until);
    if (w.step != Step::kNone) continue;
    if (w.epoch > 0)
      sooner(w.next_state || (w.leaving && !w.pinned) ? 1 : w.renew_at);
    else
      sooner(free_at(w));
  }
  return next;
}

std::string LeaseManager::digest() const {
  consensus::Digest d;
  d.add(looked_).add(leaving_);
  for (const auto& [duty, w] : wanted_) {
    d.add(duty).add(w.fact).add(w.known).add(w.wanted).add(w.seen_at).add(static_cast<uint8_t>(w.step));
    d.add(w.wish.id).add(w.asked_at).add(w.epoch).add(w.sure_until).add(w.renew_at).add(w.leaving);
    d.add(w.next_state.has_value());
  }
  return d.text();
}

}  // namespace firvalve::lease
