#include "results/page.h"

#include <lz4.h>
#include <xxhash.h>

namespace firvalve::results {

StoredPage compress(std::string_view rows) {
  StoredPage page;
  page.uncompressed_bytes = static_cast<uint32_t>(rows.size());
  page.bytes.resize(static_cast<size_t>(LZ4_compressBound(static_cast<int>(rows.size()))));
  const int size = LZ4_compress_default(rows.data(), page.bytes.data(), static_cast<int>(rows.size()),
                                        static_cast<int>(page.bytes.size()));
  if (size <= 0 || static_cast<size_t>(size) >= rows.size()) {
    page.bytes.assign(rows);
  } else {
    page.bytes.resize(static_cast<size_t>(size));
  }
  page.bytes.shrink_to_fit();
  page.checksum = XXH3_64bits(page.bytes.data(), page.bytes.size());
  return page;
}

std::optional<std::string> decompress(const StoredPage& page) {
  if (XXH3_64bits(page.bytes.data(), page.bytes.size()) != page.checksum) return std::nullopt;
  if (page.uncompressed_bytes == page.bytes.size()) return page.bytes;
  if (page.uncompressed_bytes > kMaxPageBytes) return std::nullopt;
  std::string rows(page.uncompressed_bytes, '\0');
  const int size = LZ4_decompress_safe(page.bytes.data(), rows.data(), static_cast<int>(page.bytes.size()),
                                       static_cast<int>(rows.size()));
  if (size < 0 || static_cast<uint32_t>(size) != page.uncompressed_bytes) return std::nullopt;
  return rows;
}

}  // namespace firvalve::results
