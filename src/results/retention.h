// Retention policy of the result store: accounts for the space of results, and decides which results are
// evicted, and whose pages leave memory. No I/O and no clock; it knows sizes and times of results, not their
// contents.
//
//   reserve -> add_bytes ... add_bytes -> complete -> renew_lease ... renew_lease -> removed
//                  |                                                  (released, lease expired, evicted)
//                  +-> removed as too large: it exceeds its limit, or memory has no space for it
//
// Invariants, checked against a simple model by tests/results/retention_test.cpp:
//   - used and reserved memory stays within the budget;
//   - an incomplete result is never evicted;
//   - an owner within its fair share loses no result to another owner. An owner above its share loses its own
//     results first, the least recently read one first.
//
// Not thread-safe.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "base/timing_wheel.h"

namespace firvalve::results {

using ResultId = uint64_t;  // from 1, unique within one incarnation of the process

struct RetentionOptions {
  double memory_bytes = 8e6;         // budget for pages in memory, reservations included
  double disk_bytes = 0;             // budget for pages on disk; 0: there is no disk
  double max_result_bytes = 1e9;     // limit for one result: for its rows, and for its stored pages
  Duration lease = Duration(60000);  // how long a complete result is retained after it was last read
  size_t max_results = 100000;       // limit for the number of results, whatever their size
};

enum class RemovalReason {
  kReleased,      // by its client
  kLeaseExpired,  // not read before its lease expired
  kEvicted,       // its space was needed, or one of its pages is corrupt
  kTooLarge,      // above max_result_bytes, or above the space available
  kAbandoned,     // by the command that produced it
};

class Retention {
 public:
  // Called after a result was removed, for any reason. The callee must drop all its pages.
  std::function<void(ResultId, RemovalReason)> on_removed;
  // Called when the pages of a result that are on disk must be dropped from memory.
  std::function<void(ResultId)> on_memory_evicted;

  explicit Retention(const RetentionOptions& options) : options_(options) {}

  // Reserves memory for a new result, evicting other results if the invariants above allow it. Returns
  // nothing if there is no space. At most max_result_bytes and at most the memory budget are reserved.
  std::optional<ResultId> reserve(const std::string& owner, double expected_bytes);
  // Accounts for bytes that were appended in memory. Returns false if the result has become too large; it has
  // then been removed.
  bool add_bytes(ResultId id, double bytes);
  // Marks the result as complete: frees the rest of its reservation and starts its lease.
  void complete(TimePoint now, ResultId id);
  // Drops the pages of a result that starts over, and reserves the memory that they used for its new pages.
  void clear(ResultId id);

  // Accounts for bytes that will be written to disk. Returns false if the disk budget has no space for them;
  // they then stay in memory only.
  bool reserve_disk(ResultId id, double bytes);
  // Handles the outcome of such a write. Written bytes may be evicted from memory; the disk space of a failed
  // write is freed.
  void finish_disk_write(ResultId id, double bytes, bool written);
  // Adds a complete result of an earlier incarnation, whose pages are on disk only. Returns nothing if there
  // is no space for it.
  std::optional<ResultId> restore(TimePoint now, const std::string& owner, double bytes,
                                  Duration remaining_lease);

  // Renews the lease when the result is read. Returns false if the result does not exist or is incomplete.
  bool renew_lease(TimePoint now, ResultId id);
  void remove(ResultId id, RemovalReason reason);  // calls on_removed; no effect if there is no such result

  void expire_leases(TimePoint now);
  std::optional<TimePoint> next_expiry() const;  // when to call expire_leases() next

  bool contains(ResultId id) const { return results_.count(id) > 0; }
  double memory_bytes() const { return memory_bytes_ + reserved_bytes_; }  // reservations included
  double disk_bytes() const { return disk_bytes_; }
  size_t result_count() const { return results_.size(); }
  size_t owner_count() const { return owners_.size(); }
  double used_bytes(const std::string& owner) const;  // in memory, reserved and on disk

 private:
  enum class Tier { kMemory, kDisk };
  struct Owner;
  struct Result : base::TimingWheelNode {
    ResultId id = 0;
    Owner* owner = nullptr;
    double memory_bytes = 0, disk_bytes = 0, reserved_bytes = 0;
    double cached_bytes = 0;  // the part of memory_bytes that is also on disk
    double total_bytes = 0;   // of all pages appended, in memory or on disk
    bool is_complete = false;
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> lru_hook;
  };
  using LruList = boost::intrusive::list<
      Result,
      boost::intrusive::member_hook<
          Result,
          boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
          &Result::lru_hook>,
      boost::intrusive::constant_time_size<false>>;
  struct Owner {
    std::string name;
    double used_bytes = 0;  // in memory, reserved and on disk
    size_t result_count = 0;
    LruList complete;  // complete results, the least recently read first
  };
  // A change of the space that a result uses, in bytes.
  struct UsageChange {
    double memory = 0, disk = 0, reserved = 0;
  };

  static constexpr Duration kTick{16};  // of the timing wheel; coarse, since leases last seconds
  static uint64_t tick_after(TimePoint time) {
    return static_cast<uint64_t>(time.time_since_epoch() / kTick) + 1;
  }

  Result* find(ResultId id);
  Result& add(const std::string& owner);
  bool erase(ResultId id);  // does not call on_removed; returns false if there is no such result
  void start_lease(Result& result, TimePoint expiry);
  void update_usage(Result& result, const UsageChange& change);
  // Makes space for the given number of bytes by evicting other results, but never `excluded`. Returns false
  // if that is not possible.
  bool make_space(Tier tier, double bytes, const Result* excluded, Owner& requester);
  bool evict_from_memory();
  bool evict_result(Tier tier, double bytes, const Result* excluded, Owner& requester);
  static Result* least_recently_read(Owner& owner, Tier tier, const Result* excluded);
  double fair_share_bytes() const;

  RetentionOptions options_;
  std::unordered_map<ResultId, std::unique_ptr<Result>> results_;
  std::unordered_map<std::string, std::unique_ptr<Owner>> owners_;
  base::TimingWheel leases_;
  std::set<std::pair<double, Owner*>> owners_by_used_bytes_;
  std::set<ResultId> cached_;  // results with bytes that may be evicted from memory, the oldest first
  double memory_bytes_ = 0, disk_bytes_ = 0, reserved_bytes_ = 0;
  ResultId last_id_ = 0;
};

}  // namespace firvalve::results
