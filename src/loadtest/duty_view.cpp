#include "loadtest/duty_view.h"

#include <tuple>

#include "lease/lease_record.h"

namespace firvalve::loadtest {

DutyView::DutyView(std::vector<std::string> duties, size_t members)
    : duties_(std::move(duties)), members_(members) {
  for (size_t i = 0; i < duties_.size(); ++i) numbers_[duties_[i]] = i;
  for (Member& member : members_) member.seen.resize(duties_.size());
}

void DutyView::take_answer(size_t member, const consensus::Message& message, Ms now) {
  if (message.say != consensus::MessageType::kChanges) return;
  const std::lock_guard lock(mutex_);
  members_[member].told_at = now;
  for (const auto& [key, slot] : message.entries) {
    const auto number = numbers_.find(key);
    if (number == numbers_.end()) continue;
    const std::optional<lease::LeaseRecord> claim = lease::read_claim(slot.fact.value);
    if (!claim) continue;
    Seen& seen = members_[member].seen[number->second];
    if (std::tie(claim->epoch, claim->released) < std::tie(seen.epoch, seen.released)) continue;
    seen = {claim->epoch, claim->released, claim->holder};
  }
}

void DutyView::forget(size_t member) {
  const std::lock_guard lock(mutex_);
  members_[member] = {0, std::vector<Seen>(duties_.size())};
}

const DutyView::Seen* DutyView::newest(size_t duty) const {
  const Seen* newest = nullptr;
  for (const Member& member : members_) {
    const Seen& seen = member.seen[duty];
    if (!newest || std::tie(seen.epoch, seen.released) > std::tie(newest->epoch, newest->released))
      newest = &seen;
  }
  return newest;
}

bool DutyView::is_served(const std::vector<size_t>& members, const std::map<std::string, size_t>& holders,
                         Ms since) const {
  const std::lock_guard lock(mutex_);
  for (const size_t member : members)
    if (members_[member].told_at < since) return false;
  for (size_t duty = 0; duty < duties_.size(); ++duty) {
    const Seen* const held = newest(duty);
    if (held->epoch == 0 || held->released || !holders.contains(held->holder)) return false;
    for (const size_t member : members) {
      const Seen& seen = members_[member].seen[duty];
      if (seen.epoch != held->epoch || seen.holder != held->holder) return false;
    }
  }
  return true;
}

std::optional<std::string> DutyView::holder(const std::string& duty) const {
  const std::lock_guard lock(mutex_);
  const Seen* const held = newest(numbers_.at(duty));
  if (!held || held->epoch == 0 || held->released) return {};
  return held->holder;
}

}  // namespace firvalve::loadtest
