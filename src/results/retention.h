// Decides which results keep their space, which of their pages stay in memory, what is evicted, and when.
// No I/O, no clock, none of the results' bytes: only sizes and times.
//
//   reserve -> add_bytes ... add_bytes -> complete -> renew_lease ... renew_lease -> removed
//                  |                                                  (released, lease expired, evicted)
//                  +-> removed as too large: neither memory nor disk has space for it
//
// Invariants, checked against a plain model by tests/results/retention_test.cpp:
//   - memory used and reserved stays within its budget;
//   - a result that is still being filled is never evicted;
//   - an owner within its fair share loses nothing to another owner: one that holds more than its share loses
//     its own results first, the least recently read before the others.
//
// One thread.
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

using ResultId = uint64_t;  // from 1, unique within one incarnation of the program

struct RetentionOptions {
  double memory_bytes = 8e6;         // budget of pages in memory, reservations included
  double disk_bytes = 0;             // budget of pages on disk; 0: there is no disk
  double max_result_bytes = 1e9;     // of one result: of its rows, and of its pages as stored
  Duration lease = Duration(60000);  // how long a complete result is kept since it was last read
  size_t max_results = 100000;       // kept at once, whatever their size
};

enum class RemovalReason {
  kReleased,      // by its client
  kLeaseExpired,  // nobody read it in time
  kEvicted,       // its space was needed, or a page of it is corrupt
  kTooLarge,      // past max_result_bytes, or past what memory and disk have space for
  kAbandoned,     // by the command that was to fill it
};

class Retention {
 public:
  // Called after a result was removed, whatever the reason: all its pages are to be forgotten.
  std::function<void(ResultId, RemovalReason)> on_removed;
  // Called when those pages of a result that are on disk must leave memory.
  std::function<void(ResultId)> on_memory_evicted;

  explicit Retention(const RetentionOptions& options) : options_(options) {}

  // Reserves memory for a new result, evicting others within the rules above. Nothing: there is no space now.
  // An expectation past max_result_bytes, or past the whole memory budget, reserves just that.
  std::optional<ResultId> reserve(const std::string& owner, double expected_bytes);
  // Accounts for bytes that were appended in memory. False: the result was too large and has been removed.
  bool add_bytes(ResultId id, double bytes);
  // The result has all its pages: the rest of its reservation is freed, and its lease begins.
  void complete(TimePoint now, ResultId id);
  // The result starts over: what it holds is given up, and as much memory stays reserved for it.
  void clear(ResultId id);

  // Accounts for bytes that are about to be written to disk. False: no space there; they stay in memory only.
  bool reserve_disk(ResultId id, double bytes);
  // The outcome of such a write. What was written may leave memory; the space of a failed write is freed.
  void finish_disk_write(ResultId id, double bytes, bool written);
  // Takes over a complete result of an earlier incarnation, on disk only. Nothing: no space for it any more.
  std::optional<ResultId> restore(TimePoint now, const std::string& owner, double bytes, Duration lease_left);

  // A read was asked for. False: the result is not there, or not complete yet.
  bool renew_lease(TimePoint now, ResultId id);
  void remove(ResultId id, RemovalReason reason);  // calls on_removed; nothing happens if it is not there

  void expire_leases(TimePoint now);
  std::optional<TimePoint> next_expiry() const;  // when expire_leases() is to be called, if at all

  bool contains(ResultId id) const { return results_.count(id) > 0; }
  double memory_bytes() const { return memory_bytes_ + reserved_bytes_; }  // reservations included
  double disk_bytes() const { return disk_bytes_; }
  size_t result_count() const { return results_.size(); }
  size_t owner_count() const { return owners_.size(); }
  double held_bytes(const std::string& owner) const;  // in memory, reserved and on disk

 private:
  enum class Tier { kMemory, kDisk };
  struct Owner;
  struct Result : base::TimingWheelNode {
    ResultId id = 0;
    Owner* owner = nullptr;
    double memory_bytes = 0, disk_bytes = 0, reserved_bytes = 0;
    double cached_bytes = 0;  // the part of memory_bytes that is on disk, too
    double total_bytes = 0;   // of all pages appended, wherever they are
    bool is_complete = false;
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> by_read;
  };
  using ByRead = boost::intrusive::list<
      Result,
      boost::intrusive::member_hook<
          Result,
          boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>,
          &Result::by_read>,
      boost::intrusive::constant_time_size<false>>;
  struct Owner {
    std::string name;
    double held_bytes = 0;  // in memory, reserved and on disk
    size_t result_count = 0;
    ByRead complete;  // the least recently read first
  };
  // A change of what a result holds, in bytes.
  struct Change {
    double memory = 0, disk = 0, reserved = 0;
  };

  static constexpr Duration kTick{16};  // of the timing wheel: coarse, since leases last seconds
  static uint64_t tick_after(TimePoint time) {
    return static_cast<uint64_t>(time.time_since_epoch() / kTick) + 1;
  }

  Result* find(ResultId id);
  Result& add(const std::string& owner);
  bool erase(ResultId id);  // without a call of on_removed; false: it is not there
  void start_lease(Result& result, TimePoint expiry);
  void charge(Result& result, const Change& change);
  // Makes space for so many bytes by evicting others; false: that is not possible. `excluded` is never
  // evicted.
  bool make_space(Tier tier, double bytes, const Result* excluded, Owner& requester);
  bool evict_from_memory();
  bool evict_result(Tier tier, double bytes, const Result* excluded, Owner& requester);
  static Result* least_recently_read(Owner& owner, Tier tier, const Result* excluded);
  double fair_share_bytes() const;

  RetentionOptions options_;
  std::unordered_map<ResultId, std::unique_ptr<Result>> results_;
  std::unordered_map<std::string, std::unique_ptr<Owner>> owners_;
  base::TimingWheel leases_;
  std::set<std::pair<double, Owner*>> owners_by_held_bytes_;
  std::set<ResultId> cached_;  // results with bytes that may leave memory; the oldest first
  double memory_bytes_ = 0, disk_bytes_ = 0, reserved_bytes_ = 0;
  ResultId last_id_ = 0;
};

}  // namespace firvalve::results
