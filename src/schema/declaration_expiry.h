// Declarations whose subscriber has not renewed them for longer than it said: they are withdrawn, so that one
// that is gone for good does not block every change for ever. No I/O and no clock.
//
// Only the count of renewals is compared, and only with what this gateway saw itself, so that the clocks of
// others do not matter: a declaration expires once its count has stood still here for its whole lifetime, on
// the slowest clock allowed. The withdrawal names that count: a renewal that comes first keeps the
// declaration. Each replica watches, with an offset of its own; what two withdraw is withdrawn once. It harms
// a subscriber that stays away for longer than it said: it has to declare again, and may be rejected.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "schema/topic_change.h"

namespace firvalve::schema {

class DeclarationExpiry {
 public:
  // `offset`: from 0 to 1, this gateway's own: which replica withdraws first.
  explicit DeclarationExpiry(double offset) : offset_(offset) {}

  // A topic as it stands now.
  void observe(BootClock::time_point now, const std::string& name, const Topic& topic);

  // What is to be withdrawn now. Each is returned once; where it was not agreed, again a lifetime later.
  std::vector<Change> due(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

 private:
  struct Observed {
    uint64_t renewals = 0;
    BootClock::time_point since;  // this count was seen first
    Duration lifetime;
  };
  BootClock::time_point expires_at(const Observed& observed) const;

  double offset_;
  std::map<std::string, std::map<std::string, Observed>> observed_;  // by topic and subscriber
};

}  // namespace firvalve::schema
