// Implements the per-member view of lease holders.
#include "loadtest/lease_view.h"

#include <tuple>

#include "lease/lease_record.h"

namespace firvalve::loadtest {

LeaseView::LeaseView(std::vector<std::string> leases, size_t members)
    : leases_(std::move(leases)), members_(members) {
  for (size_t i = 0; i < leases_.size(); ++i) numbers_[leases_[i]] = i;
  for (Member& member : members_) member.seen.resize(leases_.size());
}

void LeaseView::take_answer(size_t member, const consensus::Message& message, Ms now) {
  if (message.type != consensus::MessageType::kChanges) return;
  const std::lock_guard lock(mutex_);
  members_[member].told_at = now;
  for (const auto& [key, slot] : message.entries) {
    const auto number = numbers_.find(key);
    if (number == numbers_.end()) continue;
    const std::optional<lease::LeaseRecord> claim = lease::decode_lease_record(slot.accepted.value);
    if (!claim) continue;
    Seen& seen = members_[member].seen[number->second];
    if (std::tie(claim->epoch, claim->is_released) < std::tie(seen.epoch, seen.released)) continue;
    seen = {claim->epoch, claim->is_released, claim->holder};
  }
}

void LeaseView::forget(size_t member) {
  const std::lock_guard lock(mutex_);
  members_[member] = {0, std::vector<Seen>(leases_.size())};
}

const LeaseView::Seen* LeaseView::newest(size_t lease) const {
  const Seen* newest = nullptr;
  for (const Member& member : members_) {
    const Seen& seen = member.seen[lease];
    if (!newest || std::tie(seen.epoch, seen.released) > std::tie(newest->epoch, newest->released))
      newest = &seen;
  }
  return newest;
}

bool LeaseView::is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                          Ms since) const {
  const std::lock_guard lock(mutex_);
  for (const size_t member : members)
    if (members_[member].told_at < since) return false;
  for (size_t lease = 0; lease < leases_.size(); ++lease) {
    const Seen* const held = newest(lease);
    if (held->epoch == 0 || held->released || !holders.contains(held->holder)) return false;
    for (const size_t member : members) {
      const Seen& seen = members_[member].seen[lease];
      if (seen.epoch != held->epoch || seen.holder != held->holder) return false;
    }
  }
  return true;
}

std::optional<std::string> LeaseView::holder(const std::string& lease) const {
  const std::lock_guard lock(mutex_);
  const Seen* const held = newest(numbers_.at(lease));
  if (!held || held->epoch == 0 || held->released) return {};
  return held->holder;
}

}  // namespace firvalve::loadtest
