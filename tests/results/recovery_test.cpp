// Tests the recovery of results from intact, torn and corrupt segments.
#include "results/recovery.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

SegmentRecord page_record(uint64_t result, uint32_t page, const std::string& rows) {
  SegmentRecord record;
  record.key = {7, result};
  record.page_index = page;
  record.page = compress(rows);
  return record;
}
SegmentRecord manifest_record(uint64_t result, uint32_t pages, Ms lease_expiry = 1e6) {
  SegmentRecord record;
  record.kind = SegmentRecord::Kind::kManifest;
  record.key = {7, result};
  record.manifest.pages = pages;
  record.manifest.lease_expiry = time_point_of<LeaseClock>(lease_expiry);
  record.manifest.owner = "x";
  return record;
}
constexpr LeaseTime kNow{Duration(100)};

std::string segment_of(const std::vector<SegmentRecord>& records) {
  std::string segment(kSegmentHeader);
  for (const SegmentRecord& record : records) append_record(segment, record);
  return segment;
}

TEST(Recovery, OnlyCompleteUnreleasedUnexpiredResultsAreRecovered) {
  SegmentRecord tombstone = manifest_record(3, 1);
  tombstone.kind = SegmentRecord::Kind::kTombstone;
  Recovery recovery;
  EXPECT_EQ(recovery.add_segment(
                1, segment_of({page_record(1, 0, "a"), page_record(1, 1, "b"), page_record(2, 0, "c"),
                               page_record(3, 0, "d"), manifest_record(3, 1), manifest_record(1, 2)})),
            std::nullopt);
  EXPECT_EQ(
      recovery.add_segment(2, segment_of({tombstone, page_record(4, 0, "e"), manifest_record(4, 1, 50)})),
      std::nullopt);
  const Recovery::Outcome outcome = recovery.outcome(kNow);
  // Result 2 has no manifest, result 3 was released, and the lease of result 4 has expired.
  ASSERT_EQ(outcome.results.size(), 1u);
  EXPECT_EQ(outcome.results[0].key.result, 1u);
  EXPECT_EQ(outcome.results[0].pages.size(), 2u);
  EXPECT_EQ(outcome.corrupt_results, 0u);
}

// Cuts a segment at every offset.
TEST(Recovery, RecordsBeforeATornTailAreRecovered) {
  const std::string first_result = segment_of({page_record(1, 0, "first"), manifest_record(1, 1)});
  std::string segment = first_result;
  append_record(segment, page_record(2, 0, "second"));
  append_record(segment, manifest_record(2, 1));
  for (size_t offset = 0; offset < segment.size(); ++offset) {
    Recovery recovery;
    const auto torn_at = recovery.add_segment(1, std::string_view(segment).substr(0, offset));
    EXPECT_EQ(recovery.outcome(kNow).results.size(), offset >= first_result.size() ? 1u : 0u) << offset;
    if (torn_at) {
      EXPECT_LE(*torn_at, offset);
    }
  }
}

// Flips a bit at every offset.
TEST(Recovery, CorruptResultsAreNotRecovered) {
  const std::string segment = segment_of({page_record(1, 0, "first"), manifest_record(1, 1),
                                          page_record(2, 0, "second"), manifest_record(2, 1)});
  for (size_t offset = 0; offset < segment.size(); ++offset) {
    std::string flipped = segment;
    flipped[offset] = static_cast<char>(flipped[offset] ^ 4);
    Recovery recovery;
    recovery.add_segment(1, flipped);
    EXPECT_LE(recovery.outcome(kNow).results.size(), 1u) << offset;
  }
}

}  // namespace
}  // namespace firvalve::results
