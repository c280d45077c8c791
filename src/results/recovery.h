// Reads back the results that earlier incarnations of the program stored in segments.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "results/segment_record.h"

namespace firvalve::results {

// What the segments of earlier lives hold, once all have been read.
struct RecoveredResult {
  uint64_t incarnation = 0, result = 0;
  Manifest manifest;
  std::vector<RecordLocation> pages;
  double bytes = 0;
};
class Recovery {
 public:
  // One segment, in the order of their numbers. Gives where it is to be cut, npos: nowhere.
  size_t handle(size_t number, std::string_view segment);
  // Results of which all is there and that nobody has released; `broken` counts those with a page that is
  // not.
  std::vector<RecoveredResult> found(double now, size_t& broken) const;

 private:
  struct Part {
    RecoveredResult found;  // its pages: once all are known
    bool whole = false, released = false, has_corrupt_record = false;
    std::map<uint32_t, RecordLocation> pages;
  };
  std::map<std::pair<uint64_t, uint64_t>, Part> parts_;  // by life and result
};

}  // namespace firvalve::results
