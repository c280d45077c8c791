// Withdraws declarations that their subscribers have not renewed within the declared lifetime. Otherwise a
// subscriber that is permanently gone would block incompatible changes for ever. No I/O and no clock.
//
// A declaration expires when this gateway has seen its renewal count unchanged for its whole lifetime,
// extended by the maximum clock drift. Only that count is compared, so the clocks of other machines do not
// matter. The withdrawal names the count, so a renewal that is committed first keeps the declaration. Every
// replica watches with an offset of its own; if two replicas withdraw the same declaration, the second
// withdrawal has no effect.
//
// Limit: a subscriber that is away for longer than its declared lifetime has to declare again, and may then
// be rejected.
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
  // `offset`: from 0 to 1; the replica with the lowest offset withdraws first.
  explicit DeclarationExpiry(double offset) : offset_(offset) {}

  // Records the current state of a topic.
  void observe(BootClock::time_point now, const std::string& name, const Topic& topic);

  // Returns a withdrawal for each declaration that has expired. Each is returned once; if it is not
  // committed, it is returned again after another lifetime.
  std::vector<Change> take_due_withdrawals(BootClock::time_point now);
  std::optional<BootClock::time_point> next_due() const;

 private:
  struct Observed {
    uint64_t renewals = 0;
    BootClock::time_point unchanged_since;
    Duration lifetime;
  };
  BootClock::time_point expires_at(const Observed& observed) const;

  double offset_;
  std::map<std::string, std::map<std::string, Observed>> observed_;  // by topic and subscriber
};

}  // namespace firvalve::schema
