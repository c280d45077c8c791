// LeaseManager: named rights that one gateway holds at a time. What a gateway decides about them: when it
// claims one, until when it may act, when it hands it on. No I/O and no clock.
//
// Safety rests on monotonic clocks whose rates differ by at most a stated part, and on nothing else:
//  - A holder counts its lease from before it asked for it and stops acting a guard before its end.
//  - Who wants the duty waits, from when it saw the claim that it builds on, for that claim's whole lease on
//    the slowest clock allowed. Its own claim is agreed only if the holder has not renewed since: whatever
//    keeper it saw the claim at, and however late, it errs towards waiting longer.
//  - Each holder has an epoch, greater than all before. Who receives an act refuses one of an older epoch
//    (fence.h). An act that nobody can refuse, as a load at an engine, is written into the claim's state as
//    begun before it begins: the next holder reads it there.
//
// Who gets a free duty is decided by each that wants it, by how long it stands back: by a draw of its own for
// that duty, by how much it holds already, by its recent stalls, by how long it is up. So the duties of one
// that died go to many, one that is lame comes last, and nobody has to know the others. A holder keeps what
// it has until it loses it, leaves, or is lame itself: nothing moves because somebody seems a little better.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/proposer.h"
#include "lease/lease_record.h"

namespace firvalve::lease {

struct LeaseOptions {
  std::string self;   // the address that peers reach this gateway at
  uint64_t life = 1;  // of this process: drawn at its start
  Ms lease = 3000;
};

// Clocks run at rates that differ by no more than one part in a hundred: past any quartz, short of broken.
constexpr double kDrift = 0.01;
// What a holder keeps of its lease for an act that is on its way when it looks.
Ms guard_of(Ms lease);
// How long whoever wants a duty waits on its own clock for a lease that another counts on its own.
Ms wait_of(Ms lease);

struct Event {
  enum class Kind : uint8_t { kTaken, kRenewed, kLeft, kLost, kStated, kSeen, kUnreadable };
  Kind kind = Kind::kTaken;
  std::string duty;
  uint64_t epoch = 0;
  std::string why;    // kLeft, kLost
  Ms until = 0;       // kTaken, kRenewed: it may act until then, where nothing further comes
  bool made = false;  // kStated: the state stands
};

class LeaseManager {
 public:
  LeaseManager(Ms now, const LeaseOptions& options);

  // From here on this gateway is willing to hold it, and claims it when it is free.
  void want(Ms now, const std::string& duty);
  // No longer; what it holds of it is handed on.
  void unwant(Ms now, const std::string& duty);
  bool wants(const std::string& duty) const { return wanted_.count(duty) > 0; }

  // The present epoch, while it may act: looked at right before each act, with the time as it is then.
  std::optional<uint64_t> may_act(Ms now, const std::string& duty) const;
  // Puts another state into the claim, under the present epoch; kStated tells. False: it may not act now, or
  // another such change is under way.
  bool state(Ms now, const std::string& duty, std::string state);
  // Something that was begun under it is not at its end: it is kept, renewed and handed on only after that.
  void pin(Ms now, const std::string& duty, bool on);
  // What was last seen to stand.
  const LeaseRecord* claim(const std::string& duty) const;

  // The record, as anybody saw it: under a key that is no wanted duty's it is passed over.
  void saw(Ms now, const std::string& key, const consensus::Register& fact);
  void looked(Ms now);  // all that stands has been seen once
  void ended(Ms now, const consensus::ProposalResult& end);

  // This process did nothing for so long.
  void stalled(Ms now, Ms gap);
  // Hands on all that it holds and claims nothing more.
  void leave(Ms now);
  bool holds_any() const;
  size_t held() const { return held_; }

  // visit(duty, claim or null, whether this process holds it), for all that it is willing to hold.
  template <class Visit>
  void each(Visit&& visit) const {
    for (const auto& [duty, w] : wanted_) visit(duty, w.claim ? &*w.claim : nullptr, w.epoch > 0);
  }

  void due(Ms now);
  Ms next_due() const;
  std::vector<consensus::Proposal> take_wishes() { return std::exchange(wishes_, {}); }
  std::vector<Event> take_events() { return std::exchange(events_, {}); }
  std::string digest() const;

 private:
  enum class Step : uint8_t { kNone, kClaims, kRenews, kStates, kReleases };
  struct Wanted {
    consensus::Register fact;  // what stands, as far as seen
    std::optional<LeaseRecord> claim;
    bool unreadable = false, known = false, wanted = true;
    bool stands = false;       // a majority holds it, not only the keeper that showed it
    Ms seen_at = 0, back = 0;  // that fact was seen first; and how long it stands back then
    // What is asked of the record now.
    Step step = Step::kNone;
    consensus::Proposal wish;
    Ms asked_at = 0;
    // Held:
    uint64_t epoch = 0;  // 0: not held
    Ms sure_until = 0, renew_at = 0;
    std::optional<std::string> next_state;
    bool leaving = false, pinned = false;
    std::string why;  // it leaves
  };

  void ask(Ms now, const std::string& duty, Wanted& w, Step step, const LeaseRecord& claim);
  void lose(const std::string& duty, Wanted& w, std::string why);
  void take_fact(Ms now, const std::string& duty, Wanted& w, const consensus::Register& fact, bool stands);
  Ms back_of(bool released) const;
  Ms stand_back(Ms now, const std::string& duty, bool released) const;
  Ms free_at(const Wanted& w) const;  // 0: not to be claimed now
  uint64_t draw();  // an id for a change: one of a sequence that starts at this process's life

  LeaseOptions options_;
  Ms started_at_;
  std::map<std::string, Wanted> wanted_;
  std::deque<Ms> stalls_;
  bool looked_ = false, leaving_ = false;
  uint64_t draws_ = 0;
  size_t held_ = 0;
  std::vector<consensus::Proposal> wishes_;
  std::vector<Event> events_;
};

}  // namespace firvalve::lease
