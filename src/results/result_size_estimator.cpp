#include "results/result_size_estimator.h"

#include <algorithm>
#include <cmath>

namespace firvalve::results {
namespace {

constexpr double kQuantile = 0.9;
constexpr float kFade = 0.98f;  // an ended result: some 50 are remembered
constexpr float kLeast = 8;     // results, before a group is believed
constexpr size_t kGroupsMost = 4096;

}  // namespace

void ResultSizeEstimator::Counts::add(double bytes) {
  const double step = 2 * std::log2(std::max(bytes, 1.0));
  const auto at = static_cast<size_t>(std::clamp(std::ceil(step), 0.0, 63.0));
  for (float& c : count) c *= kFade;
  all = all * kFade + 1;
  count[at] += 1;
}

double ResultSizeEstimator::Counts::quantile() const {
  float sum = 0;
  for (size_t i = 0; i < count.size(); ++i) {
    sum += count[i];
    if (sum >= static_cast<float>(kQuantile) * all) return std::exp2(static_cast<double>(i) / 2);
  }
  return std::exp2(31.5);
}

void ResultSizeEstimator::ended(const std::string& profile, int64_t tables, double bytes) {
  profiles_[profile].add(bytes);
  const Key key{profile, tables};
  auto at = groups_.find(key);
  if (at == groups_.end()) {
    if (groups_.size() >= kGroupsMost) {
      groups_.erase(by_use_.front());
      by_use_.pop_front();
    }
    at = groups_.emplace(key, Group{}).first;
    at->second.used = by_use_.insert(by_use_.end(), key);
  }
  at->second.counts.add(bytes);
  by_use_.splice(by_use_.end(), by_use_, at->second.used);
}

double ResultSizeEstimator::expected(const std::string& profile, int64_t tables) const {
  const auto group = groups_.find({profile, tables});
  if (group != groups_.end() && group->second.counts.all >= kLeast) return group->second.counts.quantile();
  const auto all = profiles_.find(profile);
  if (all != profiles_.end() && all->second.all >= kLeast) return all->second.quantile();
  return first_;
}

}  // namespace firvalve::results
