// Follows what changes in the record by looking at one keeper at a time; another where that one does not
// answer. What it sees may be late, and may never come to stand: good to know when to ask, not what to do.
// No I/O and no clock.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "consensus/register.h"

namespace firvalve::consensus {

class RegisterWatcher {
 public:
  // `first`: the keeper that it begins with. Guards against all looking at one: gateways begin with different
  // ones.
  RegisterWatcher(uint32_t keepers, PeerId first) : keepers_(keepers), at_(first % keepers) {}

  void due(Ms now) {
    if (asked_at_ > 0 && now < asked_at_ + patience()) return;
    if (asked_at_ > 0) at_ = (at_ + 1) % keepers_, life_ = since_ = 0;
    look(now);
  }
  Ms next_due() const { return asked_at_ > 0 ? asked_at_ + patience() : 1; }

  // Takes a keeper's answer; its facts are then in seen().
  void handle(Ms now, PeerId from, const Message& m) {
    if (m.say != MessageType::kChanges || from != at_ || m.op != op_) return;
    life_ = m.life;
    since_ = m.since;
    for (const auto& [key, slot] : m.entries) seen_.emplace_back(key, slot.fact);
    whole_ |= !m.more;
    look(now);
  }
  bool whole() const { return whole_; }  // all that one keeper has was seen once
  std::vector<std::pair<std::string, Register>> take_seen() { return std::exchange(seen_, {}); }
  std::vector<Envelope> take_sends() { return std::exchange(sends_, {}); }

 private:
  // A keeper answers a look within a second, with nothing where nothing has changed; a first one at once.
  static constexpr Ms kPatience = 1600, kFirstPatience = 300;
  Ms patience() const { return life_ == 0 ? kFirstPatience : kPatience; }

  void look(Ms now) {
    asked_at_ = now;
    Message m;
    m.say = MessageType::kLook;
    m.op = ++op_;
    m.life = life_;
    m.since = since_;
    sends_.push_back({at_, std::move(m)});
  }

  uint32_t keepers_;
  PeerId at_;
  uint64_t op_ = 0, since_ = 0;
  Incarnation life_ = 0;
  Ms asked_at_ = 0;
  bool whole_ = false;
  std::vector<std::pair<std::string, Register>> seen_;
  std::vector<Envelope> sends_;
};

}  // namespace firvalve::consensus
