// Compression and integrity of one page of rows. Works on bytes in memory, not on files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

// The longest page, before and after compression.
constexpr uint32_t kMaxPageBytes = 64 * 1024 * 1024;

// A page compressed by LZ4 (docs/design-spool.md compares it with Zstandard). Rows that do not shrink are
// stored as they are.
struct StoredPage {
  std::string bytes;
  uint32_t uncompressed_bytes = 0;  // size of the rows; equal to bytes.size() if they are not compressed
  uint64_t checksum = 0;            // XXH3 (64 bits) of `bytes`
};

StoredPage compress(std::string_view rows);
// The rows; nothing if the checksum does not match or the bytes cannot be decompressed.
std::optional<std::string> decompress(const StoredPage& page);

}  // namespace firvalve::results
