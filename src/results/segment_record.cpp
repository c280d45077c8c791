#include "results/segment_record.h"

#include <xxhash.h>

#include <cstring>

namespace firvalve::results {
namespace {

constexpr uint32_t kMagic = 0x46565350;  // begins each record
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

}  // namespace firvalve::results
