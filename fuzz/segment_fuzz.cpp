// Fuzzes the recovery of segment files: recovered results are complete and lie within the segment. Checksums
// reject most inputs at the first record, so each input is also tried with valid checksums, as in a file from
// an attacker.
#include <xxhash.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "results/recovery.h"

namespace {

using namespace firvalve::results;

void try_segment(const std::string& segment) {
  Recovery recovery;
  const auto torn_at = recovery.add_segment(1, segment);
  if (torn_at && *torn_at > segment.size()) std::abort();
  for (const RecoveredResult& result : recovery.outcome(LeaseTime()).results) {
    if (result.pages.size() != result.manifest.pages) std::abort();
    for (const RecordLocation& location : result.pages) {
      if (location.offset + location.length > segment.size()) std::abort();
      StoredPage page;
      page.bytes = segment.substr(location.offset, location.length);
      page.uncompressed_bytes = location.uncompressed_bytes;
      page.checksum = location.checksum;
      decompress(page);
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string bytes(reinterpret_cast<const char*>(data), size);
  try_segment(bytes);
  std::string repaired(kSegmentHeader);
  for (size_t at = 0; at + kRecordHeadBytes <= bytes.size();) {
    std::string head = bytes.substr(at, kRecordHeadBytes);
    const uint32_t magic = 0x46565350;
    std::memcpy(head.data(), &magic, sizeof magic);
    uint32_t length = 0;
    std::memcpy(&length, head.data() + 32, sizeof length);
    length %= 256;
    if (at + kRecordHeadBytes + length > bytes.size())
      length = static_cast<uint32_t>(bytes.size() - at - kRecordHeadBytes);
    std::memcpy(head.data() + 32, &length, sizeof length);
    uint64_t checksum = XXH3_64bits(bytes.data() + at + kRecordHeadBytes, length);
    std::memcpy(head.data() + 40, &checksum, sizeof checksum);
    checksum = XXH3_64bits(head.data(), kRecordHeadBytes - 8);
    std::memcpy(head.data() + kRecordHeadBytes - 8, &checksum, sizeof checksum);
    repaired += head;
    repaired.append(bytes, at + kRecordHeadBytes, length);
    at += kRecordHeadBytes + length;
  }
  try_segment(repaired);
  return 0;
}
