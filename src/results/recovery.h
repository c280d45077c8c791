// Recovers the results that earlier incarnations of the process stored in segments. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "results/segment_record.h"

namespace firvalve::results {

// A complete result of an earlier incarnation.
struct RecoveredResult {
  RecordKey key;
  Manifest manifest;
  std::vector<RecordLocation> pages;  // in order
  double bytes = 0;                   // stored size of all pages
};

class Recovery {
 public:
  // Reads the records of one segment. Must be called in the order of segment numbers. Returns the offset at
  // which the segment must be truncated because the rest is torn; nothing if all of it could be read.
  std::optional<size_t> add_segment(size_t number, std::string_view segment);

  struct Outcome {
    std::vector<RecoveredResult> results;  // complete, without a tombstone, and within their lease
    size_t corrupt_results = 0;            // results with a missing or corrupt page
  };
  Outcome outcome(LeaseTime now) const;

 private:
  // The records of one result that have been read so far.
  struct PartialResult {
    std::optional<Manifest> manifest;
    bool has_tombstone = false, has_corrupt_record = false;
    std::map<uint32_t, RecordLocation> pages;  // by number, from 0
    bool has_all_pages() const;
  };
  std::map<RecordKey, PartialResult> results_;
};

}  // namespace firvalve::results
