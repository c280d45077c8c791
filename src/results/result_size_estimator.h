// Predicts how large a result will be, from the sizes of earlier ones of the same profile and table group. It
// is a quantile: one result in ten is larger, which is why a result may outgrow its reservation. One thread.
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
  // `initial_bytes`: the estimate for a profile of which too few results are known.
  explicit ResultSizeEstimator(double initial_bytes) : initial_bytes_(initial_bytes) {}
  // Learns the size of a complete result, as stored.
  void add_result(const std::string& profile, int64_t table_group, double bytes);
  // The size that nine in ten results stay within: of the table group, or else of the profile, or else the
  // initial estimate.
  double estimate_bytes(const std::string& profile, int64_t table_group) const;
  size_t group_count() const { return groups_.size(); }

 private:
  // Counts of results by size class, each class the root of two times the one before. Old counts fade, so
  // that changes are followed.
  struct Histogram {
    std::array<float, 64> counts{};
    float total = 0;
    void add(double bytes);
    double quantile() const;
  };
  using Key = std::pair<std::string, int64_t>;  // profile and table group
  struct Group {
    Histogram histogram;
    std::list<Key>::iterator by_use;
  };
  double initial_bytes_;
  std::map<std::string, Histogram> profiles_;  // as many as the deployment has
  std::map<Key, Group> groups_;                // the most recently used, at most kMaxGroups
  std::list<Key> by_use_;                      // the least recently used first
};

}  // namespace firvalve::results
