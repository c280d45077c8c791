// Predicts the size of a result from the sizes of earlier results of the same profile and table group. The
// prediction is the 0.9 quantile: one result in ten is larger, so a result may outgrow its reservation.
// Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>

namespace firvalve::results {

class ResultSizeEstimator {
 public:
  // `initial_bytes`: the estimate for a profile that has had too few results.
  explicit ResultSizeEstimator(double initial_bytes) : initial_bytes_(initial_bytes) {}
  // Adds the stored size of a complete result to the statistics.
  void add_result(const std::string& profile, int64_t table_group, double bytes);
  // Returns the 0.9 quantile of the table group's results. If they are too few, that of the profile's
  // results; if these are too few as well, the initial estimate.
  double estimate_bytes(const std::string& profile, int64_t table_group) const;
  size_t group_count() const { return groups_.size(); }

 private:
  // Counts of results by size class. The upper bound of each class is sqrt(2) times the previous one. Counts
  // decay with each result, so that the estimate follows changes.
  struct Histogram {
    std::array<float, 64> counts{};
    float total = 0;
    void add(double bytes);
    double quantile() const;
  };
  using Key = std::pair<std::string, int64_t>;  // profile and table group
  struct Group {
    Histogram histogram;
    std::list<Key>::iterator lru_position;
  };
  double initial_bytes_;
  std::map<std::string, Histogram> profiles_;  // bounded by the profiles of the deployment
  std::map<Key, Group> groups_;                // LRU cache of at most kMaxGroups
  std::list<Key> lru_keys_;                    // keys of groups_, the least recently used first
};

}  // namespace firvalve::results
