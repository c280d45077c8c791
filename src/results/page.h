// A page as it is kept: compressed, with a checksum over what is kept. And records of segment files, which
// are such pages one after the other. Fed bytes; no files.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.h"

namespace firvalve::results {

// Pages are LZ4 (docs/design-spool.md has the comparison with Zstandard); what does not shrink stays as it
// is.
struct StoredPage {
  std::string bytes;
  uint32_t uncompressed_bytes = 0;  // bytes before compression; equal to those kept: not compressed
  uint64_t checksum = 0;            // XXH3 of the bytes kept
};
StoredPage compress(std::string_view rows);
std::optional<std::string> decompress(
    const StoredPage& page);  // empty: the checksum or the compression is wrong

// 128 bits from the system's random source, as 32 hex digits on the wire.
using ResultToken = std::array<uint8_t, 16>;
ResultToken new_token();  // throws std::runtime_error where the system gives none
std::string to_hex(const ResultToken& token);
std::optional<ResultToken> parse_token(std::string_view hex);
bool equal_in_constant_time(const ResultToken& a,
                            const ResultToken& b);  // takes the same time whatever they hold

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
