// Segment records read back: complete, torn and corrupt ones.
#include "results/recovery.h"

#include <gtest/gtest.h>

namespace firvalve::results {
namespace {

Record page_record(uint64_t result, uint32_t page, const std::string& rows) {
  Record r;
  r.incarnation = 7;
  r.result = result;
  r.page = page;
  r.stored = compress(rows);
  return r;
}
Record whole_record(uint64_t result, uint32_t pages, double lease_expiry = 1e6) {
  Record r;
  r.kind = Record::Kind::kManifest;
  r.incarnation = 7;
  r.result = result;
  r.manifest.pages = pages;
  r.manifest.lease_expiry = lease_expiry;
  r.manifest.owner = "x";
  return r;
}
std::string segment_of(const std::vector<Record>& records) {
  std::string all(kSegmentHeader);
  for (const Record& r : records) append_record(all, r);
  return all;
}

TEST(Recovery, WhatIsWholeIsFoundWhatIsNotIsNot) {
  Record gone = whole_record(3, 1);
  gone.kind = Record::Kind::kTombstone;
  Recovery recovery;
  EXPECT_EQ(
      recovery.handle(1, segment_of({page_record(1, 0, "a"), page_record(1, 1, "b"), page_record(2, 0, "c"),
                                     page_record(3, 0, "d"), whole_record(3, 1), whole_record(1, 2)})),
      std::string::npos);
  EXPECT_EQ(recovery.handle(2, segment_of({gone, page_record(4, 0, "e"), whole_record(4, 1, 50)})),
            std::string::npos);
  size_t broken = 0;
  const auto found = recovery.found(100, broken);
  ASSERT_EQ(found.size(), 1u);  // 2 is not whole, 3 was released, the lease of 4 is over
  EXPECT_EQ(found[0].result, 1u);
  EXPECT_EQ(found[0].pages.size(), 2u);
  EXPECT_EQ(broken, 0u);
}

TEST(Recovery, CutAnywhereThePartBeforeIsFoundAndTheTailIsCutOff) {
  const std::string first = segment_of({page_record(1, 0, "first"), whole_record(1, 1)});
  std::string all = first;
  append_record(all, page_record(2, 0, "second"));
  append_record(all, whole_record(2, 1));
  for (size_t at = 0; at < all.size(); ++at) {
    Recovery recovery;
    const size_t cut = recovery.handle(1, std::string_view(all).substr(0, at));
    size_t broken = 0;
    const auto found = recovery.found(100, broken);
    EXPECT_EQ(found.size(), at >= first.size() ? 1u : 0u) << at;
    if (cut != std::string::npos) {
      EXPECT_LE(cut, at);
    }
  }
}

TEST(Recovery, WithAFlippedBitNothingBrokenIsFound) {
  const std::string all = segment_of(
      {page_record(1, 0, "first"), whole_record(1, 1), page_record(2, 0, "second"), whole_record(2, 1)});
  for (size_t at = 0; at < all.size(); ++at) {
    std::string flipped = all;
    flipped[at] = static_cast<char>(flipped[at] ^ 4);
    Recovery recovery;
    recovery.handle(1, flipped);
    size_t broken = 0;
    EXPECT_LE(recovery.found(100, broken).size(), 1u) << at;
  }
}

}  // namespace
}  // namespace firvalve::results
