#include "results/page.h"

#include <lz4.h>
#include <sys/random.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace firvalve::results {
namespace {

constexpr uint32_t kMagic = 0x46565350;               // begins each record
constexpr uint32_t kMaxBodyBytes = 64 * 1024 * 1024;  // bytes of a record's own
constexpr size_t kMaxOwnerBytes = 1024;

template <class T>
void put(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <class T>
T take(std::string_view text, size_t at) {
  T value;
  std::memcpy(&value, text.data() + at, sizeof value);
  return value;
}

std::string body_of(const Manifest& manifest) {
  std::string body(reinterpret_cast<const char*>(manifest.token.data()), manifest.token.size());
  put(body, manifest.key_hash);
  put(body, manifest.chain_hash);
  put(body, manifest.lease_expiry);
  put(body, manifest.pages);
  put(body, manifest.rows);
  body += std::string_view(manifest.owner).substr(0, kMaxOwnerBytes);
  return body;
}
constexpr size_t kManifestBytes = 16 + 8 + 8 + 8 + 4 + 8;

}  // namespace

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
  if (page.uncompressed_bytes > kMaxBodyBytes) return std::nullopt;
  std::string rows(page.uncompressed_bytes, '\0');
  const int size = LZ4_decompress_safe(page.bytes.data(), rows.data(), static_cast<int>(page.bytes.size()),
                                       static_cast<int>(rows.size()));
  if (size < 0 || static_cast<uint32_t>(size) != page.uncompressed_bytes) return std::nullopt;
  return rows;
}

ResultToken new_token() {
  ResultToken token;
  if (::getrandom(token.data(), token.size(), 0) != static_cast<ssize_t>(token.size()))
    throw std::runtime_error("the system gives no random numbers");
  return token;
}

std::string to_hex(const ResultToken& token) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const uint8_t b : token) text += {kDigits[b >> 4], kDigits[b & 15]};
  return text;
}

std::optional<ResultToken> parse_token(std::string_view hex) {
  ResultToken token;
  if (hex.size() != 2 * token.size()) return std::nullopt;
  const auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  for (size_t i = 0; i < token.size(); ++i) {
    const int high = digit(hex[2 * i]), low = digit(hex[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    token[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return token;
}

bool equal_in_constant_time(const ResultToken& a, const ResultToken& b) {
  uint8_t differs = 0;
  for (size_t i = 0; i < a.size(); ++i) differs = static_cast<uint8_t>(differs | (a[i] ^ b[i]));
  return differs == 0;
}

// Head: magic, kind, incarnation, result, page, raw, length, 4 spare, the body's sum, the head's own sum.
void append_record(std::string& out, const Record& r) {
  const std::string body = r.kind == Record::Kind::kPage       ? r.stored.bytes
                           : r.kind == Record::Kind::kManifest ? body_of(r.manifest)
                                                               : std::string();
  const size_t head = out.size();
  put(out, kMagic);
  put(out, static_cast<uint32_t>(r.kind));
  put(out, r.incarnation);
  put(out, r.result);
  put(out, r.page);
  put(out, r.stored.uncompressed_bytes);
  put(out, static_cast<uint32_t>(body.size()));
  put(out, uint32_t{0});
  put(out, XXH3_64bits(body.data(), body.size()));
  put(out, XXH3_64bits(out.data() + head, out.size() - head));
  out += body;
}

RecordStatus read_record(std::string_view segment, size_t at, Record& r, size_t& next) {
  if (at >= segment.size()) return RecordStatus::kEndOfSegment;
  const std::string_view rest = segment.substr(at);
  if (rest.size() < kRecordHeaderBytes || take<uint32_t>(rest, 0) != kMagic ||
      XXH3_64bits(rest.data(), kRecordHeaderBytes - 8) != take<uint64_t>(rest, kRecordHeaderBytes - 8))
    return RecordStatus::kTorn;
  const auto kind = take<uint32_t>(rest, 4);
  const auto length = take<uint32_t>(rest, 32);
  if (kind < 1 || kind > 3 || length > kMaxBodyBytes || rest.size() - kRecordHeaderBytes < length)
    return RecordStatus::kTorn;
  const std::string_view body = rest.substr(kRecordHeaderBytes, length);
  r = {};
  r.kind = static_cast<Record::Kind>(kind);
  r.incarnation = take<uint64_t>(rest, 8);
  r.result = take<uint64_t>(rest, 16);
  r.page = take<uint32_t>(rest, 24);
  r.stored.uncompressed_bytes = take<uint32_t>(rest, 28);
  r.stored.checksum = take<uint64_t>(rest, 40);
  next = at + kRecordHeaderBytes + length;
  if (XXH3_64bits(body.data(), body.size()) != r.stored.checksum) return RecordStatus::kCorrupt;
  if (r.kind == Record::Kind::kPage) {
    r.stored.bytes = body;
  } else if (r.kind == Record::Kind::kManifest) {
    if (body.size() < kManifestBytes || body.size() > kManifestBytes + kMaxOwnerBytes)
      return RecordStatus::kCorrupt;
    std::memcpy(r.manifest.token.data(), body.data(), r.manifest.token.size());
    r.manifest.key_hash = take<uint64_t>(body, 16);
    r.manifest.chain_hash = take<uint64_t>(body, 24);
    r.manifest.lease_expiry = take<double>(body, 32);
    r.manifest.pages = take<uint32_t>(body, 40);
    r.manifest.rows = take<uint64_t>(body, 44);
    r.manifest.owner = body.substr(kManifestBytes);
  }
  return RecordStatus::kRecord;
}

size_t Recovery::handle(size_t number, std::string_view segment) {
  if (!segment.starts_with(kSegmentHeader)) return 0;
  size_t at = kSegmentHeader.size(), next = 0;
  Record r;
  for (;; at = next) {
    const RecordStatus read = read_record(segment, at, r, next);
    if (read == RecordStatus::kEndOfSegment) return std::string_view::npos;
    if (read == RecordStatus::kTorn) return at;
    Part& part = parts_[{r.incarnation, r.result}];
    if (read == RecordStatus::kCorrupt) {
      part.has_corrupt_record = true;
      continue;
    }
    part.found.incarnation = r.incarnation;
    part.found.result = r.result;
    if (r.kind == Record::Kind::kTombstone) {
      part.released = true;
    } else if (r.kind == Record::Kind::kManifest) {
      part.whole = true;
      part.found.manifest = r.manifest;
    } else {
      part.pages[r.page] = {number, at + kRecordHeaderBytes, r.stored.bytes.size(),
                            r.stored.uncompressed_bytes, r.stored.checksum};
    }
  }
}

std::vector<RecoveredResult> Recovery::found(double now, size_t& broken) const {
  std::vector<RecoveredResult> all;
  broken = 0;
  for (const auto& [key, part] : parts_) {
    if (part.released || !part.whole) {
      broken += part.has_corrupt_record && !part.released;
      continue;
    }
    const Manifest& manifest = part.found.manifest;
    const bool complete = !part.has_corrupt_record && part.pages.size() == manifest.pages &&
                          (manifest.pages == 0 || part.pages.rbegin()->first + 1 == manifest.pages);
    if (!complete) {
      ++broken;
    } else if (manifest.lease_expiry > now) {
      all.push_back(part.found);
      for (const auto& [page, location] : part.pages) {
        all.back().pages.push_back(location);
        all.back().bytes += static_cast<double>(location.length);
      }
    }
  }
  return all;
}

}  // namespace firvalve::results
