#include "schema/declaration_expiry.h"

namespace firvalve::schema {

namespace {

constexpr double kMaxClockDrift = 0.02;     // between two clocks: twice the drift that leases allow for one
constexpr Duration kMaxReplicaOffset(500);  // spreads the withdrawals of the replicas that watch

}  // namespace

void DeclarationExpiry::observe(BootClock::time_point now, const std::string& name, const Topic& topic) {
  std::map<std::string, Observed>& known = observed_[name];
  std::map<std::string, Observed> next;
  for (const Declaration& declaration : topic.declarations) {
    if (declaration.expires_after_ms == 0) continue;
    const auto previous = known.find(declaration.subscriber);
    const bool is_unchanged = previous != known.end() && previous->second.renewals == declaration.renewals;
    next[declaration.subscriber] = {declaration.renewals,
                                    is_unchanged ? previous->second.unchanged_since : now,
                                    Duration(static_cast<double>(declaration.expires_after_ms))};
  }
  known = std::move(next);
  if (known.empty()) observed_.erase(name);
}

std::vector<Change> DeclarationExpiry::take_due_withdrawals(BootClock::time_point now) {
  std::vector<Change> out;
  for (auto& [topic, subscribers] : observed_)
    for (auto& [subscriber, observed] : subscribers) {
      if (now < expires_at(observed)) continue;
      Change& change = out.emplace_back();
      change.kind = Change::Kind::kExpire;
      change.topic = topic;
      change.declaration.subscriber = subscriber;
      change.declaration.renewals = observed.renewals;
      observed.unchanged_since = now;
    }
  return out;
}

std::optional<BootClock::time_point> DeclarationExpiry::next_due() const {
  std::optional<BootClock::time_point> next;
  for (const auto& [topic, subscribers] : observed_)
    for (const auto& [subscriber, observed] : subscribers)
      next = earlier_of(next, std::optional(expires_at(observed)));
  return next;
}

BootClock::time_point DeclarationExpiry::expires_at(const Observed& observed) const {
  return observed.unchanged_since + observed.lifetime * (1 + kMaxClockDrift) + kMaxReplicaOffset * offset_;
}

}  // namespace firvalve::schema
