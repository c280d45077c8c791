// Compresses one page of rows and verifies its integrity. Works on bytes in memory, not on files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve::results {

// Limit of a page's size, both before and after compression.
constexpr uint32_t kMaxPageBytes = 64 * 1024 * 1024;

// A page compressed with LZ4 (docs/design-paged-results.md compares it with Zstandard). Rows that do not
// become smaller are stored uncompressed.
struct StoredPage {
  std::string bytes;
  uint32_t uncompressed_bytes = 0;  // size of the rows; equal to bytes.size() if they are uncompressed
  uint64_t checksum = 0;            // XXH3 (64 bits) of `bytes`
};

StoredPage compress(std::string_view rows);
// Returns the rows, or nothing if the checksum does not match or the bytes cannot be decompressed.
std::optional<std::string> decompress(const StoredPage& page);

}  // namespace firvalve::results
