// What the spool decides: which result has a place, what of it stays in memory, what goes, and when. No I/O,
// no clock, no bytes of any result: only their numbers.
//
//   reserve  ->  grow ... grow  ->  whole  ->  read ... read  ->  gone (released, lease over, evicted)
//                     |
//                     +-> outgrown: neither memory nor disk has room for it
//
// Rules, checked against a plain model by tests/spool/keeping_test.cpp:
//   - memory held and reserved stays within the budget;
//   - what is being filled is never evicted;
//   - an owner within its fair share loses nothing to another: who takes more than its share loses its own
//     results first, the longest unread before the others.
#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/timing_wheel.h"
#include "base/units.h"

namespace firvalve::results {

using ResultId = uint64_t;  // from 1 up

struct RetentionOptions {
  double memory_bytes = 8e6;      // bytes of pages in memory, reserved places included
  double disk_bytes = 0;          // bytes of pages on disk; 0: there is none
  double max_result_bytes = 1e9;  // bytes of one result, as rows
  Ms lease = 60000;               // since its last read, a result is kept
  size_t max_results = 100000;
};

enum class RemovalReason { kReleased, kLeaseExpired, kEvicted, kTooLarge, kAbandoned };

class Retention {
 public:
  // Told when a result goes, whatever the reason: its pages are to be forgotten everywhere.
  std::function<void(ResultId, RemovalReason)> on_removed;
  // Told when pages of a result that the disk has are to leave memory.
  std::function<void(ResultId)> on_memory_evicted;

  explicit Retention(const RetentionOptions& options) : options_(options) {}

  // A place for a result of so many bytes expected; 0: none now, and none that may be taken from others.
  // What is expected past `max_result_bytes` gets a place for that.
  ResultId reserve(Ms now, const std::string& owner, double expected);
  // So many bytes more of it are in memory. False: it is outgrown, and gone.
  bool grow(Ms now, ResultId no, double bytes);
  // All of it is there; what was reserved beyond is free.
  void whole(Ms now, ResultId no);
  // It begins anew: what it holds is forgotten, its place stays.
  void clear(ResultId no);
  // So many bytes of it are to be written to disk; false: no room there, it stays in memory alone.
  bool reserve_disk(Ms now, ResultId no, double bytes);
  // They are there, and may leave memory; `written` false: they are not.
  void stored(ResultId no, double bytes, bool written);
  // Known from an earlier life, on disk alone. 0: there is no room for it any more.
  ResultId restore(Ms now, const std::string& owner, double bytes, Ms lease_left);
  bool read(Ms now, ResultId no);  // renews its lease; false: it is gone
  void forget(ResultId no, RemovalReason reason);

  void due(Ms now);     // ends leases
  Ms next_due() const;  // 0: nothing is due
  bool has(ResultId no) const { return results_.count(no) > 0; }
  double memory() const { return memory_ + reserved_; }
  double disk() const { return disk_; }
  size_t results() const { return results_.size(); }
  size_t owners() const { return owners_.size(); }
  double held_by(const std::string& owner) const;

 private:
  struct Owner;
  struct Result : base::TimingWheelNode {
    ResultId no = 0;
    Owner* owner = nullptr;
    double memory = 0, disk = 0, reserved = 0;
    double cached = 0;  // of memory: on disk, too
    double total = 0;   // of all its pages
    bool whole = false;
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
    double held = 0;  // bytes: in memory, reserved and on disk
    size_t results = 0;
    ByRead whole;  // the longest unread first
  };

  static constexpr double kTick = 16;  // ms of the wheel's ticks: leases are seconds
  static uint64_t tick_of(Ms at) { return static_cast<uint64_t>(at / kTick) + 1; }

  Result& add(const std::string& owner);
  bool remove(ResultId no);        // without a word to the owner of on_removed
  void lend(Result& r, Ms until);  // whole, the latest read
  void charge(Result& r, double memory, double disk, double reserved);
  void rank(Owner& owner, double held);
  // Whether so many bytes fit, once others have left memory or gone.
  bool make_room(bool on_disk, double bytes, const Result* not_this, Owner& asks);
  bool leave_memory();
  bool evict(bool on_disk, double bytes, const Result* not_this, Owner& asks);
  double fair_share() const;

  RetentionOptions options_;
  std::unordered_map<ResultId, std::unique_ptr<Result>> results_;
  std::unordered_map<std::string, std::unique_ptr<Owner>> owners_;
  base::TimingWheel leases_;
  std::set<std::pair<double, Owner*>> by_held_;
  std::set<ResultId> cached_;  // with bytes that may leave memory; the oldest first
  double memory_ = 0, disk_ = 0, reserved_ = 0;
  ResultId last_ = 0;
};

}  // namespace firvalve::results
