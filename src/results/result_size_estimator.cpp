#include "results/result_size_estimator.h"

#include <algorithm>
#include <cmath>

namespace firvalve::results {
namespace {

constexpr double kQuantile = 0.9;
constexpr float kFade = 0.98f;    // of all counts, with each result: some 50 results are remembered
constexpr float kMinResults = 8;  // before a histogram is relied on
constexpr size_t kMaxGroups = 4096;

}  // namespace

void ResultSizeEstimator::Histogram::add(double bytes) {
  const double size_class = 2 * std::log2(std::max(bytes, 1.0));
  const auto at = static_cast<size_t>(std::clamp(std::ceil(size_class), 0.0, 63.0));
  for (float& count : counts) count *= kFade;
  total = total * kFade + 1;
  counts[at] += 1;
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
  auto at = groups_.find(key);
  if (at == groups_.end()) {
    if (groups_.size() >= kMaxGroups) {
      groups_.erase(by_use_.front());
      by_use_.pop_front();
    }
    at = groups_.emplace(key, Group{}).first;
    at->second.by_use = by_use_.insert(by_use_.end(), key);
  }
  at->second.histogram.add(bytes);
  by_use_.splice(by_use_.end(), by_use_, at->second.by_use);
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
