// Records of segment files: pages of results, the manifests of complete results, and tombstones of results
// that are gone. Works on bytes in memory, not on files.
//
// A segment is its header and then records, each a fixed head and a body. Integers are in the machine's byte
// order (little-endian on every machine this is built for):
//
//   offset  bytes  field
//        0      4  magic number
//        4      4  kind: 1 page, 2 manifest, 3 tombstone
//        8      8  incarnation of the program that stored it
//       16      8  number of the result within that incarnation
//       24      4  page: number from 0
//       28      4  page: uncompressed bytes
//       32      4  length of the body
//       36      4  zero
//       40      8  XXH3 of the body
//       48      8  XXH3 of the 48 bytes before
//       56         body: a page's bytes; a manifest's fields; nothing
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "results/lease_clock.h"
#include "results/page.h"
#include "results/result_token.h"

namespace firvalve::results {

// Names a stored result across restarts of the program.
struct RecordKey {
  uint64_t incarnation = 0;  // drawn at random by each start of the program
  uint64_t result = 0;       // unique within it
  auto operator<=>(const RecordKey&) const = default;
};

// What is needed, beside its pages, to serve a complete result after a restart. The latest one counts.
struct Manifest {
  ResultToken token{};
  uint64_t key_hash = 0;    // of the client's key; 0: the token alone suffices
  uint64_t chain_hash = 0;  // of what a retry must match to find the result; 0: no retry finds it
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
constexpr size_t kRecordHeadBytes = 56;  // ahead of the body

void append_record(std::string& segment, const SegmentRecord& record);

enum class RecordStatus {
  kRecord,        // the record is intact; the next one begins at `next`
  kEndOfSegment,  // `at` is the end
  kTorn,          // no complete record begins at `at`: the segment is to be truncated there
  kCorrupt,       // the head is intact, the body is not; the next record begins at `next`
};
// Reads the record at offset `at` of a segment.
RecordStatus read_record(std::string_view segment, size_t at, SegmentRecord& record, size_t& next);

// Where the body of a page's record is, and what is needed to verify and decompress it.
struct RecordLocation {
  size_t segment = 0;             // its number
  size_t offset = 0, length = 0;  // of the body, in bytes
  uint32_t uncompressed_bytes = 0;
  uint64_t checksum = 0;
};

}  // namespace firvalve::results
