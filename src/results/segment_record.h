// Records of segment files: pages of results, manifests of complete results, and tombstones of removed
// results. Works on bytes in memory, not on files.
//
// A segment consists of a header followed by records. Each record has a head of fixed size and a body.
// Integers are in the machine's byte order (little-endian on every supported machine):
//
//   offset  bytes  field
//        0      4  magic number
//        4      4  kind: 1 page, 2 manifest, 3 tombstone
//        8      8  incarnation of the process that stored it
//       16      8  number of the result within that incarnation
//       24      4  page: number from 0
//       28      4  page: uncompressed size in bytes
//       32      4  length of the body in bytes
//       36      4  zero
//       40      8  XXH3 of the body
//       48      8  XXH3 of the preceding 48 bytes
//       56         body: the page's bytes, the manifest's fields, or empty for a tombstone
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "results/lease_clock.h"
#include "results/page.h"
#include "results/result_token.h"

namespace firvalve::results {

// Identifies a stored result across restarts of the process.
struct RecordKey {
  uint64_t incarnation = 0;  // random, drawn at each start of the process
  uint64_t result = 0;       // unique within the incarnation
  auto operator<=>(const RecordKey&) const = default;
};

// Metadata that is needed, besides the pages, to serve a complete result after a restart. If a result has
// several manifests, the latest one is valid.
struct Manifest {
  ResultToken token{};
  uint64_t key_hash = 0;    // of the client's key; 0: the token alone gives access
  uint64_t chain_hash = 0;  // of the fields that a retry must match to find the result; 0: no retry finds it
  LeaseTime lease_expiry;
  uint32_t pages = 0;
  uint64_t rows = 0;
  std::string owner;
};

struct SegmentRecord {
  enum class Kind : uint32_t { kPage = 1, kManifest = 2, kTombstone = 3 };
  Kind kind = Kind::kPage;
  RecordKey key;
  uint32_t page_index = 0;  // kPage: from 0
  StoredPage page;          // kPage
  Manifest manifest;        // kManifest
};

constexpr std::string_view kSegmentHeader = "firvalve spool 1\n";
constexpr size_t kRecordHeadBytes = 56;

void append_record(std::string& segment, const SegmentRecord& record);

enum class RecordStatus {
  kRecord,        // the record is intact; the next one begins at `next`
  kEndOfSegment,  // `offset` is the end of the segment
  kTorn,          // there is no complete record at `offset`; the segment must be truncated there
  kCorrupt,       // the head is intact but the body is not; the next record begins at `next`
};
// Reads the record at an offset of a segment.
RecordStatus read_record(std::string_view segment, size_t offset, SegmentRecord& record, size_t& next);

// Location of the body of a page's record, and the data needed to verify and decompress it.
struct RecordLocation {
  size_t segment = 0;             // segment number
  size_t offset = 0, length = 0;  // of the body, in bytes
  uint32_t uncompressed_bytes = 0;
  uint64_t checksum = 0;
};

}  // namespace firvalve::results
