#include "results/result_size_estimator.h"

#include <algorithm>
#include <cmath>

namespace firvalve::results {
namespace {

constexpr double kQuantile = 0.9;
constexpr float kDecay = 0.98f;   // factor of all counts with each result: weighs about the last 50 results
constexpr float kMinResults = 8;  // decayed count below which a histogram is not used
constexpr size_t kMaxGroups = 4096;

}  // namespace

void ResultSizeEstimator::Histogram::add(double bytes) {
  const double size_class = 2 * std::log2(std::max(bytes, 1.0));
  const auto index = static_cast<size_t>(std::clamp(std::ceil(size_class), 0.0, 63.0));
  for (float& count : counts) count *= kDecay;
  total = total * kDecay + 1;
  counts[index] += 1;
}

double ResultSizeEstimator::Histogram::quantile() const {
  float sum = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    sum += counts[i];
    if (sum >= static_cast<float>(kQuantile) * total) return std::exp2(static_cast<double>(i) / 2);
  }
  return std::exp2(31.5);
}

void ResultSizeEstimator::add_result(const std::string& profile, int64_t table_group, double bytes) {
  profiles_[profile].add(bytes);
  const Key key{profile, table_group};
  auto entry = groups_.find(key);
  if (entry == groups_.end()) {
    if (groups_.size() >= kMaxGroups) {
      groups_.erase(lru_keys_.front());
      lru_keys_.pop_front();
    }
    entry = groups_.emplace(key, Group{}).first;
    entry->second.lru_position = lru_keys_.insert(lru_keys_.end(), key);
  }
  entry->second.histogram.add(bytes);
  lru_keys_.splice(lru_keys_.end(), lru_keys_, entry->second.lru_position);
}

double ResultSizeEstimator::estimate_bytes(const std::string& profile, int64_t table_group) const {
  const auto group = groups_.find({profile, table_group});
  if (group != groups_.end() && group->second.histogram.total >= kMinResults)
    return group->second.histogram.quantile();
  const auto of_profile = profiles_.find(profile);
  if (of_profile != profiles_.end() && of_profile->second.total >= kMinResults)
    return of_profile->second.quantile();
  return initial_bytes_;
}

}  // namespace firvalve::results
