// Any bytes as a segment: what is found lies within it and is whole. Checksums stop most inputs at the first
// record, so the input's records are also given right sums, as a file of a hostile hand would have them.
#include <xxhash.h>

#include <cstdlib>
#include <cstring>
#include <string>

#include "results/recovery.h"

namespace {

using namespace firvalve::results;

void try_segment(const std::string& segment) {
  Recovery recovery;
  const size_t cut = recovery.handle(1, segment);
  if (cut != std::string::npos && cut > segment.size()) std::abort();
  size_t broken = 0;
  for (const RecoveredResult& f : recovery.found(0, broken)) {
    if (f.pages.size() != f.manifest.pages) std::abort();
    for (const RecordLocation& p : f.pages) {
      if (p.offset + p.length > segment.size()) std::abort();
      StoredPage page;
      page.bytes = segment.substr(p.offset, p.length);
      page.uncompressed_bytes = p.uncompressed_bytes;
      page.checksum = p.checksum;
      decompress(page);
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  std::string bytes(reinterpret_cast<const char*>(data), size);
  try_segment(bytes);
  std::string mended(kSegmentHeader);
  for (size_t at = 0; at + kRecordHeaderBytes <= bytes.size();) {
    std::string head = bytes.substr(at, kRecordHeaderBytes);
    const uint32_t magic = 0x46565350;
    std::memcpy(head.data(), &magic, sizeof magic);
    uint32_t length = 0;
    std::memcpy(&length, head.data() + 32, sizeof length);
    length %= 256;
    if (at + kRecordHeaderBytes + length > bytes.size())
      length = static_cast<uint32_t>(bytes.size() - at - kRecordHeaderBytes);
    std::memcpy(head.data() + 32, &length, sizeof length);
    uint64_t sum = XXH3_64bits(bytes.data() + at + kRecordHeaderBytes, length);
    std::memcpy(head.data() + 40, &sum, sizeof sum);
    sum = XXH3_64bits(head.data(), kRecordHeaderBytes - 8);
    std::memcpy(head.data() + kRecordHeaderBytes - 8, &sum, sizeof sum);
    mended += head;
    mended.append(bytes, at + kRecordHeaderBytes, length);
    at += kRecordHeaderBytes + length;
  }
  try_segment(mended);
  return 0;
}
