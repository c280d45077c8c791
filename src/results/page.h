// Compression and integrity of one page of rows. Works on bytes in memory, not on files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

// The longest body of a record, and so of a page, in bytes.
constexpr uint32_t kMaxBodyBytes = 64 * 1024 * 1024;

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

}  // namespace firvalve::results
