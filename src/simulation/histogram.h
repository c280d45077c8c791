// Log-linear histogram of durations with a relative error of at most 1/128 and a fixed size in memory.
// Values are in ms, with a resolution of one microsecond. Zero, negative values and NaN count in the lowest
// bucket, values above a day as a day.
#pragma once

#include <array>
#include <bit>
#include <cstdint>

#include "base/units.h"

namespace firvalve::simulation {

class Histogram {
 public:
  static constexpr double kMaxRelativeError = 1.0 / 128;

  void add(Ms value, uint64_t count = 1) {
    counts_[bucket_of(value)] += count;
    count_ += count;
    if (value > max_) max_ = value;
  }
  void add(const Histogram& other) {
    for (size_t i = 0; i < kBuckets; ++i) counts_[i] += other.counts_[i];
    count_ += other.count_;
    if (other.max_ > max_) max_ = other.max_;
  }
  uint64_t count() const { return count_; }
  Ms max() const { return max_; }
  // The value at or below which the fraction `q` of all values lies; 0 if the histogram is empty.
  Ms quantile(double q) const {
    if (count_ == 0) return 0;
    auto rank = static_cast<uint64_t>(q * static_cast<double>(count_));
    if (static_cast<double>(rank) < q * static_cast<double>(count_)) ++rank;
    if (rank == 0) rank = 1;
    for (size_t i = 0; i < kBuckets; ++i) {
      if (counts_[i] >= rank) {
        const Ms middle = midpoint_of(i);
        return middle < max_ ? middle : max_;
      }
      rank -= counts_[i];
    }
    return max_;
  }

 private:
  // Values in whole microseconds: one bucket for each value below 128, then 64 equal buckets for each
  // doubling.
  static constexpr int kBits = 6, kDoublings = 37;
  static constexpr size_t kBuckets = size_t{2 << kBits} + (size_t{kDoublings} << kBits);
  static constexpr double kDay = 86'400'000;

  static size_t bucket_of(Ms value) {
    if (!(value > 0)) return 0;
    const auto us = static_cast<uint64_t>((value < kDay ? value : kDay) * 1000);
    if (us < (uint64_t{2} << kBits)) return us;
    const int doubling = static_cast<int>(std::bit_width(us)) - 1 - kBits;  // at least 1
    const uint64_t within = (us >> doubling) - (uint64_t{1} << kBits);
    return (static_cast<size_t>(doubling + 1) << kBits) + within;
  }
  static Ms midpoint_of(size_t bucket) {
    if (bucket < (size_t{2} << kBits)) return (static_cast<double>(bucket) + 0.5) / 1000;
    const int doubling = static_cast<int>(bucket >> kBits) - 1;
    const uint64_t low = ((bucket & ((size_t{1} << kBits) - 1)) + (uint64_t{1} << kBits)) << doubling;
    return (static_cast<double>(low) + 0.5 * static_cast<double>(uint64_t{1} << doubling)) / 1000;
  }

  std::array<uint64_t, kBuckets> counts_{};
  uint64_t count_ = 0;
  Ms max_ = 0;
};

}  // namespace firvalve::simulation
