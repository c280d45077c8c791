#include "results/retention.h"

#include <algorithm>
#include <utility>

namespace firvalve::results {

double Retention::fair_share() const {
  return (options_.memory_bytes + options_.disk_bytes) /
         static_cast<double>(std::max<size_t>(owners_.size(), 1));
}

double Retention::held_by(const std::string& owner) const {
  const auto at = owners_.find(owner);
  return at == owners_.end() ? 0 : at->second->held;
}

void Retention::rank(Owner& owner, double held) {
  by_held_.erase({owner.held, &owner});
  owner.held = held;
  by_held_.insert({owner.held, &owner});
}

void Retention::charge(Result& r, double memory, double disk, double reserved) {
  r.memory += memory;
  r.disk += disk;
  r.reserved += reserved;
  memory_ += memory;
  disk_ += disk;
  reserved_ += reserved;
  rank(*r.owner, r.owner->held + memory + disk + reserved);
}

Retention::Result& Retention::add(const std::string& name) {
  auto& owner = owners_[name];
  if (!owner) {
    owner = std::make_unique<Owner>();
    owner->name = name;
    by_held_.insert({0, owner.get()});
  }
  owner->results += 1;
  auto made = std::make_unique<Result>();
  Result& r = *made;
  r.no = ++last_;
  r.owner = owner.get();
  results_[r.no] = std::move(made);
  return r;
}

bool Retention::remove(ResultId no) {
  const auto at = results_.find(no);
  if (at == results_.end()) return false;
  const std::unique_ptr<Result> r = std::move(at->second);
  results_.erase(at);
  charge(*r, -r->memory, -r->disk, -r->reserved);
  cached_.erase(no);
  r->by_read.unlink();
  Owner& owner = *r->owner;
  if (--owner.results == 0) {
    by_held_.erase({owner.held, &owner});
    owners_.erase(owners_.find(owner.name));
  }
  return true;
}

void Retention::forget(ResultId no, RemovalReason reason) {
  if (remove(no) && on_removed) on_removed(no, reason);
}

void Retention::lend(Result& r, Ms until) {
  r.by_read.unlink();
  r.owner->whole.push_back(r);
  leases_.put(r, tick_of(until));
}

// What is on disk costs nothing to take out of memory: it is read from there.
bool Retention::leave_memory() {
  if (cached_.empty()) return false;
  const ResultId no = *cached_.begin();
  cached_.erase(cached_.begin());
  Result& r = *results_.at(no);
  const double leaves = std::exchange(r.cached, 0);
  charge(r, -leaves, 0, 0);
  if (on_memory_evicted) on_memory_evicted(no);
  return true;
}

// Takes one whole result from who holds most, if that is more than its fair share. The one who asks comes
// first where it would hold more than that one with what it asks for.
// Guards against one owner that leaves results behind and so fills the spool for all. It may cost an owner
// that reads many results at once the one it was about to read.
bool Retention::evict(bool on_disk, double bytes, const Result* not_this, Owner& asks) {
  const auto first_of = [&](Owner& owner) -> Result* {
    for (Result& r : owner.whole)
      if (&r != not_this && (on_disk ? r.disk > 0 : r.memory > 0)) return &r;
    return nullptr;
  };
  const double share = fair_share();
  for (auto at = by_held_.rbegin(); at != by_held_.rend(); ++at) {
    Owner& owner = *at->second;
    const bool asks_more = asks.held + bytes >= owner.held;
    if (asks_more)
      if (Result* const own = first_of(asks)) return forget(own->no, RemovalReason::kEvicted), true;
    if (owner.held <= share || &owner == &asks) {
      if (owner.held <= share) return false;
      continue;
    }
    if (Result* const r = first_of(owner)) return forget(r->no, RemovalReason::kEvicted), true;
  }
  return false;
}

bool Retention::make_room(bool on_disk, double bytes, const Result* not_this, Owner& asks) {
  const double most = on_disk ? options_.disk_bytes : options_.memory_bytes;
  if (bytes > most) return false;
  while ((on_disk ? disk_ : memory_ + reserved_) + bytes > most) {
    if (!on_disk && leave_memory()) continue;
    if (!evict(on_disk, bytes, not_this, asks)) return false;
  }
  return true;
}

ResultId Retention::reserve(Ms, const std::string& owner, double expected) {
  // A place is never more than a part of all: what turns out larger moves to disk as it comes.
  const double bytes = std::min({expected, options_.max_result_bytes, options_.memory_bytes});
  Result& r = add(owner);
  const ResultId no = r.no;
  const bool too_many = results_.size() > options_.max_results && !evict(false, bytes, &r, *r.owner);
  if (too_many || !make_room(false, bytes, &r, *r.owner)) {
    remove(no);  // nobody knows of it yet
    return 0;
  }
  charge(r, 0, 0, bytes);
  return no;
}

bool Retention::grow(Ms, ResultId no, double bytes) {
  const auto at = results_.find(no);
  if (at == results_.end()) return false;
  Result& r = *at->second;
  const double from_place = std::min(bytes, r.reserved);
  if (r.total + bytes > options_.max_result_bytes || !make_room(false, bytes - from_place, &r, *r.owner)) {
    forget(no, RemovalReason::kTooLarge);
    return false;
  }
  charge(r, bytes, 0, -from_place);
  r.total += bytes;
  return true;
}

bool Retention::reserve_disk(Ms, ResultId no, double bytes) {
  const auto at = results_.find(no);
  if (at == results_.end() || options_.disk_bytes <= 0) return false;
  Result& r = *at->second;
  if (!make_room(true, bytes, &r, *r.owner)) return false;
  charge(r, 0, bytes, 0);
  return true;
}

void Retention::stored(ResultId no, double bytes, bool written) {
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  Result& r = *at->second;
  if (!written) return charge(r, 0, -bytes, 0);
  r.cached += bytes;
  cached_.insert(no);
}

void Retention::whole(Ms now, ResultId no) {
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  Result& r = *at->second;
  charge(r, 0, 0, -r.reserved);
  r.whole = true;
  lend(r, now + options_.lease);
}

void Retention::clear(ResultId no) {
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  Result& r = *at->second;
  cached_.erase(no);
  r.cached = r.total = 0;
  charge(r, -r.memory, -r.disk, r.memory);
}

ResultId Retention::restore(Ms now, const std::string& owner, double bytes, Ms lease_left) {
  Result& r = add(owner);
  if (!make_room(true, bytes, &r, *r.owner)) {
    remove(r.no);
    return 0;
  }
  charge(r, 0, bytes, 0);
  r.whole = true;
  lend(r, now + std::min(lease_left, options_.lease));
  return r.no;
}

bool Retention::read(Ms now, ResultId no) {
  const auto at = results_.find(no);
  if (at == results_.end()) return false;
  Result& r = *at->second;
  if (!r.whole) return false;
  lend(r, now + options_.lease);
  return true;
}

void Retention::due(Ms now) {
  leases_.advance(static_cast<uint64_t>(now / kTick), [&](base::TimingWheelNode& node) {
    forget(static_cast<Result&>(node).no, RemovalReason::kLeaseExpired);
  });
}

Ms Retention::next_due() const {
  const uint64_t tick = leases_.next();
  return tick == 0 ? 0 : static_cast<double>(tick) * kTick;
}

}  // namespace firvalve::results
