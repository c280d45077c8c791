// Reads back the results that earlier incarnations of the program stored in segments. No I/O.
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
  double bytes = 0;                   // of all pages, as stored
};

class Recovery {
 public:
  // Takes in one segment; segments come in the order of their numbers. Gives the offset at which the segment
  // is to be truncated, since what follows is torn; nothing if all of it could be read.
  std::optional<size_t> add_segment(size_t number, std::string_view segment);

  struct Outcome {
    std::vector<RecoveredResult> results;  // complete, not released, and within their lease
    size_t corrupt_results = 0;            // with a page that is missing or corrupt
  };
  Outcome outcome(LeaseTime now) const;

 private:
  // What has been read of one result.
  struct PartialResult {
    std::optional<Manifest> manifest;
    bool has_tombstone = false, has_corrupt_record = false;
    std::map<uint32_t, RecordLocation> pages;  // by number, from 0
    bool has_all_pages() const;
  };
  std::map<RecordKey, PartialResult> results_;
};

}  // namespace firvalve::results
