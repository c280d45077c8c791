#include "results/retention.h"

#include <algorithm>

namespace firvalve::results {

double Retention::fair_share_bytes() const {
  return (options_.memory_bytes + options_.disk_bytes) /
         static_cast<double>(std::max<size_t>(owners_.size(), 1));
}

double Retention::used_bytes(const std::string& owner) const {
  const auto entry = owners_.find(owner);
  return entry == owners_.end() ? 0 : entry->second->used_bytes;
}

Retention::Result* Retention::find(ResultId id) {
  const auto entry = results_.find(id);
  return entry == results_.end() ? nullptr : entry->second.get();
}

void Retention::update_usage(Result& result, const UsageChange& change) {
  result.memory_bytes += change.memory;
  result.disk_bytes += change.disk;
  result.reserved_bytes += change.reserved;
  memory_bytes_ += change.memory;
  disk_bytes_ += change.disk;
  reserved_bytes_ += change.reserved;
  Owner& owner = *result.owner;
  owners_by_used_bytes_.erase({owner.used_bytes, &owner});
  owner.used_bytes = owner.used_bytes + change.memory + change.disk + change.reserved;
  owners_by_used_bytes_.insert({owner.used_bytes, &owner});
}

Retention::Result& Retention::add(const std::string& owner_name) {
  auto& owner = owners_[owner_name];
  if (!owner) {
    owner = std::make_unique<Owner>();
    owner->name = owner_name;
    owners_by_used_bytes_.insert({0, owner.get()});
  }
  owner->result_count += 1;
  auto added = std::make_unique<Result>();
  Result& result = *added;
  result.id = ++last_id_;
  result.owner = owner.get();
  results_[result.id] = std::move(added);
  return result;
}

bool Retention::erase(ResultId id) {
  const auto entry = results_.find(id);
  if (entry == results_.end()) return false;
  const std::unique_ptr<Result> result = std::move(entry->second);
  results_.erase(entry);
  update_usage(
      *result,
      {.memory = -result->memory_bytes, .disk = -result->disk_bytes, .reserved = -result->reserved_bytes});
  cached_.erase(id);
  result->lru_hook.unlink();
  Owner& owner = *result->owner;
  if (--owner.result_count == 0) {
    owners_by_used_bytes_.erase({owner.used_bytes, &owner});
    owners_.erase(owners_.find(owner.name));
  }
  return true;
}

void Retention::remove(ResultId id, RemovalReason reason) {
  if (erase(id) && on_removed) on_removed(id, reason);
}

void Retention::start_lease(Result& result, TimePoint expiry) {
  result.lru_hook.unlink();
  result.owner->complete.push_back(result);
  leases_.schedule(result, tick_after(expiry));
}

// Drops pages from memory that are also on disk. Tried before evicting a result, since no data is lost.
bool Retention::evict_from_memory() {
  if (cached_.empty()) return false;
  const ResultId id = *cached_.begin();
  cached_.erase(cached_.begin());
  Result& result = *results_.at(id);
  update_usage(result, {.memory = -std::exchange(result.cached_bytes, 0)});
  if (on_memory_evicted) on_memory_evicted(id);
  return true;
}

Retention::Result* Retention::least_recently_read(Owner& owner, Tier tier, const Result* excluded) {
  for (Result& result : owner.complete)
    if (&result != excluded && (tier == Tier::kDisk ? result.disk_bytes > 0 : result.memory_bytes > 0))
      return &result;
  return nullptr;
}

// Evicts one complete result of the owner that uses the most space, if that is more than its fair share.
// Evicts a result of the requester instead if the requester, with the bytes requested, would use at least as
// much. This prevents an owner that abandons its results from filling the store for all owners. Limit: an
// owner that reads many results at once may lose one that it was about to read.
bool Retention::evict_result(Tier tier, double bytes, const Result* excluded, Owner& requester) {
  const double share = fair_share_bytes();
  for (auto entry = owners_by_used_bytes_.rbegin(); entry != owners_by_used_bytes_.rend(); ++entry) {
    Owner& owner = *entry->second;
    Result* victim = nullptr;
    if (requester.used_bytes + bytes >= owner.used_bytes)
      victim = least_recently_read(requester, tier, excluded);
    if (!victim) {
      if (owner.used_bytes <= share) return false;
      if (&owner == &requester) continue;
      victim = least_recently_read(owner, tier, excluded);
    }
    if (victim) {
      remove(victim->id, RemovalReason::kEvicted);
      return true;
    }
  }
  return false;
}

bool Retention::make_space(Tier tier, double bytes, const Result* excluded, Owner& requester) {
  const double budget = tier == Tier::kDisk ? options_.disk_bytes : options_.memory_bytes;
  if (bytes > budget) return false;
  while ((tier == Tier::kDisk ? disk_bytes_ : memory_bytes_ + reserved_bytes_) + bytes > budget) {
    if (tier == Tier::kMemory && evict_from_memory()) continue;
    if (!evict_result(tier, bytes, excluded, requester)) return false;
  }
  return true;
}

std::optional<ResultId> Retention::reserve(const std::string& owner, double expected_bytes) {
  // A reservation never exceeds the whole budget; a larger result moves to disk as it grows.
  const double bytes = std::min({expected_bytes, options_.max_result_bytes, options_.memory_bytes});
  Result& result = add(owner);
  const ResultId id = result.id;
  const bool is_full =
      results_.size() > options_.max_results && !evict_result(Tier::kMemory, bytes, &result, *result.owner);
  if (is_full || !make_space(Tier::kMemory, bytes, &result, *result.owner)) {
    erase(id);  // without on_removed, since the caller does not know the id
    return std::nullopt;
  }
  update_usage(result, {.reserved = bytes});
  return id;
}

bool Retention::add_bytes(ResultId id, double bytes) {
  Result* const result = find(id);
  if (!result) return false;
  const double from_reservation = std::min(bytes, result->reserved_bytes);
  if (result->total_bytes + bytes > options_.max_result_bytes ||
      !make_space(Tier::kMemory, bytes - from_reservation, result, *result->owner)) {
    remove(id, RemovalReason::kTooLarge);
    return false;
  }
  update_usage(*result, {.memory = bytes, .reserved = -from_reservation});
  result->total_bytes += bytes;
  return true;
}

bool Retention::reserve_disk(ResultId id, double bytes) {
  Result* const result = find(id);
  if (!result || options_.disk_bytes <= 0) return false;
  if (!make_space(Tier::kDisk, bytes, result, *result->owner)) return false;
  update_usage(*result, {.disk = bytes});
  return true;
}

void Retention::finish_disk_write(ResultId id, double bytes, bool written) {
  Result* const result = find(id);
  if (!result) return;
  if (!written) return update_usage(*result, {.disk = -bytes});
  result->cached_bytes += bytes;
  cached_.insert(id);
}

void Retention::complete(TimePoint now, ResultId id) {
  Result* const result = find(id);
  if (!result) return;
  update_usage(*result, {.reserved = -result->reserved_bytes});
  result->is_complete = true;
  start_lease(*result, now + options_.lease);
}

void Retention::clear(ResultId id) {
  Result* const result = find(id);
  if (!result) return;
  cached_.erase(id);
  result->cached_bytes = result->total_bytes = 0;
  update_usage(
      *result,
      {.memory = -result->memory_bytes, .disk = -result->disk_bytes, .reserved = result->memory_bytes});
}

std::optional<ResultId> Retention::restore(TimePoint now, const std::string& owner, double bytes,
                                           Duration remaining_lease) {
  Result& result = add(owner);
  if (!make_space(Tier::kDisk, bytes, &result, *result.owner)) {
    erase(result.id);
    return std::nullopt;
  }
  update_usage(result, {.disk = bytes});
  result.is_complete = true;
  start_lease(result, now + std::min(remaining_lease, options_.lease));
  return result.id;
}

bool Retention::renew_lease(TimePoint now, ResultId id) {
  Result* const result = find(id);
  if (!result || !result->is_complete) return false;
  start_lease(*result, now + options_.lease);
  return true;
}

void Retention::expire_leases(TimePoint now) {
  leases_.advance(static_cast<uint64_t>(now.time_since_epoch() / kTick), [&](base::TimingWheelNode& node) {
    remove(static_cast<Result&>(node).id, RemovalReason::kLeaseExpired);
  });
}

std::optional<TimePoint> Retention::next_expiry() const {
  const uint64_t tick = leases_.next();
  if (tick == 0) return std::nullopt;
  return TimePoint(static_cast<double>(tick) * kTick);
}

}  // namespace firvalve::results
