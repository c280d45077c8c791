// Declarations whose subscriber has given no sign for longer than it said: they are withdrawn, so that one
// that is gone for good does not hold every change up for ever. No I/O and no clock.
//
// Only the count of signs is compared, and only with what this gateway saw itself, so that clocks of others
// do not matter: a declaration lapses once its count has stood still here for as long as it holds, on the
// slowest clock allowed. The withdrawal names that count: a sign that comes first keeps the declaration. Each
// keeper looks, after a wait of its own; what two ask for is made once. It harms a subscriber that stays away
// for longer than it said: it has to declare again, and may be refused.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "schema/registry.h"

namespace firvalve::schema {

class DeclarationExpiry {
 public:
  // `part`: from 0 to 1, this gateway's own: who looks first.
  explicit DeclarationExpiry(double part) : part_(part) {}

  void saw(Ms now, const std::string& bulletin, const Topic& b) {
    auto& known = seen_[bulletin];
    std::map<std::string, Sign> next;
    for (const Declaration& d : b.declarations) {
      if (d.holds_ms == 0) continue;
      const auto at = known.find(d.subscriber);
      const bool same = at != known.end() && at->second.renewed == d.renewed;
      next[d.subscriber] = {d.renewed, same ? at->second.since : now, static_cast<double>(d.holds_ms)};
    }
    known = std::move(next);
    if (known.empty()) seen_.erase(bulletin);
  }

  // What is to be withdrawn now. Each is told once; where it was not agreed, again after as long.
  std::vector<Change> due(Ms now) {
    std::vector<Change> out;
    for (auto& [bulletin, signs] : seen_)
      for (auto& [subscriber, sign] : signs) {
        if (now < lapses_at(sign)) continue;
        Change c;
        c.kind = Change::Kind::kLapse;
        c.bulletin = bulletin;
        c.declaration.subscriber = subscriber;
        c.declaration.renewed = sign.renewed;
        out.push_back(std::move(c));
        sign.since = now;
      }
    return out;
  }
  Ms next_due() const {  // 0: nothing
    Ms next = 0;
    for (const auto& [bulletin, signs] : seen_)
      for (const auto& [subscriber, sign] : signs)
        if (next == 0 || lapses_at(sign) < next) next = lapses_at(sign);
    return next;
  }

 private:
  static constexpr double kDrift = 0.02;  // of clocks, as duties allow for, twice
  static constexpr Ms kSpread = 500;      // between those that look
  struct Sign {
    uint64_t renewed = 0;
    Ms since = 0, holds = 0;
  };
  Ms lapses_at(const Sign& s) const { return s.since + s.holds * (1 + kDrift) + kSpread * part_; }

  double part_;
  std::map<std::string, std::map<std::string, Sign>> seen_;  // by bulletin and subscriber
};

}  // namespace firvalve::schema
