// Records of segment files: pages, manifests and tombstones, one after the other. Works on bytes in memory,
// not on files.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "results/page.h"
#include "results/result_token.h"

namespace firvalve::results {

// What a segment file says of a whole result.
struct Manifest {
  ResultToken token{};
  uint64_t key_hash = 0;    // of the client's key; 0: none
  uint64_t chain_hash = 0;  // of what a marked repeat must match; 0: none
  double lease_expiry = 0;  // ms, in the folder's own time (lease_clock.h), which lies near Unix time
  uint32_t pages = 0;
  uint64_t rows = 0;
  std::string owner;
};

// Records. A result's number is new with each life of the program: `life` tells them apart.
struct Record {
  enum class Kind : uint32_t { kPage = 1, kManifest = 2, kTombstone = 3 };
  Kind kind = Kind::kPage;
  uint64_t incarnation = 0, result = 0;
  uint32_t page = 0;  // kPage
  StoredPage stored;  // kPage
  Manifest manifest;  // kWhole
};
constexpr std::string_view kSegmentHeader = "firvalve spool 1\n";
constexpr size_t kRecordHeaderBytes = 56;  // bytes ahead of a record's own
void append_record(std::string& out, const Record& record);

// Reads the records of a segment in order. kTorn: no record begins at `at` that is whole; everything from
// there on is to be cut off. kBroken: the record is whole and its checksum is not; the next begins at `next`.
enum class RecordStatus { kRecord, kEndOfSegment, kTorn, kCorrupt };
RecordStatus read_record(std::string_view segment, size_t at, Record& record, size_t& next);

// Where the bytes of a page are stored.
struct RecordLocation {
  size_t segment = 0, offset = 0, length = 0;  // of the record's own bytes
  uint32_t uncompressed_bytes = 0;
  uint64_t checksum = 0;
};

}  // namespace firvalve::results
