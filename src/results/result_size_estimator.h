// How large a result will be: learned by profile and table group from results that ended, as a quantile. One
// in ten may be larger, which is why what outgrows its place has somewhere to go.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace firvalve::results {

class ResultSizeEstimator {
 public:
  // `first`: bytes expected of what has never ended here.
  explicit ResultSizeEstimator(double first) : first_(first) {}
  void ended(const std::string& profile, int64_t tables, double bytes);
  // Bytes that nine in ten results stay within: of the group, or else of the profile, or else `first`.
  double expected(const std::string& profile, int64_t tables) const;
  size_t groups() const { return groups_.size(); }

 private:
  // Counts over sizes that grow by the root of two, fading, so that what changes is followed.
  struct Counts {
    std::array<float, 64> count{};
    float all = 0;
    void add(double bytes);
    double quantile() const;
  };
  using Key = std::pair<std::string, int64_t>;
  struct Group {
    Counts counts;
    std::list<Key>::iterator used;
  };
  double first_;
  std::map<std::string, Counts> profiles_;  // as many as the deployment has
  std::map<Key, Group> groups_;             // the latest used, at most kGroupsMost
  std::list<Key> by_use_;                   // the longest unused first
};

}  // namespace firvalve::results
