// A log-linear histogram: every value is told within a 128th of itself, in memory that does not grow. Values
// are ms; what is below a microsecond counts as one, what is past a day as a day.
#pragma once

#include <array>
#include <bit>
#include <cstdint>

#include "base/units.h"

namespace firvalve::simulation {

class Histogram {
 public:
  static constexpr double kError = 1.0 / 128;  // of the value, at most

  void add(Ms value, uint64_t count = 1) {
    counts_[place_of(value)] += count;
    all_ += count;
    if (value > most_) most_ = value;
  }
  void add(const Histogram& other) {
    for (size_t i = 0; i < kPlaces; ++i) counts_[i] += other.counts_[i];
    all_ += other.all_;
    if (other.most_ > most_) most_ = other.most_;
  }
  uint64_t count() const { return all_; }
  Ms most() const { return most_; }
  // The value that a share q of all is at or below; 0: there is none.
  Ms quantile(double q) const {
    if (all_ == 0) return 0;
    auto rank = static_cast<uint64_t>(q * static_cast<double>(all_));
    if (static_cast<double>(rank) < q * static_cast<double>(all_)) ++rank;
    if (rank == 0) rank = 1;
    for (size_t i = 0; i < kPlaces; ++i) {
      if (counts_[i] >= rank) {
        const Ms middle = middle_of(i);
        return middle < most_ ? middle : most_;
      }
      rank -= counts_[i];
    }
    return most_;
  }

 private:
  // Whole microseconds; 64 equal places to each doubling, and one for each of the first 128.
  static constexpr int kBits = 6, kDoublings = 37;
  static constexpr size_t kPlaces = size_t{2 << kBits} + (size_t{kDoublings} << kBits);
  static constexpr double kDay = 86'400'000;

  static size_t place_of(Ms value) {
    if (!(value > 0)) return 0;
    const auto us = static_cast<uint64_t>((value < kDay ? value : kDay) * 1000);
    if (us < (uint64_t{2} << kBits)) return us;
    const int doubling = static_cast<int>(std::bit_width(us)) - 1 - kBits;  // 1 and up
    const uint64_t within = (us >> doubling) - (uint64_t{1} << kBits);
    return (static_cast<size_t>(doubling + 1) << kBits) + within;
  }
  static Ms middle_of(size_t place) {
    if (place < (size_t{2} << kBits)) return (static_cast<double>(place) + 0.5) / 1000;
    const int doubling = static_cast<int>(place >> kBits) - 1;
    const uint64_t low = ((place & ((size_t{1} << kBits) - 1)) + (uint64_t{1} << kBits)) << doubling;
    return (static_cast<double>(low) + 0.5 * static_cast<double>(uint64_t{1} << doubling)) / 1000;
  }

  std::array<uint64_t, kPlaces> counts_{};
  uint64_t all_ = 0;
  Ms most_ = 0;
};

}  // namespace firvalve::simulation
