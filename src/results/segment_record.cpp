#include "results/segment_record.h"

#include <xxhash.h>

#include <cstring>

namespace firvalve::results {
namespace {

constexpr uint32_t kMagic = 0x46565350;
constexpr uint32_t kMaxBodyBytes = kMaxPageBytes;
constexpr size_t kMaxOwnerBytes = 1024;
constexpr size_t kManifestBytes = 16 + 8 + 8 + 8 + 4 + 8;  // of the fields before the owner

template <class T>
void append_value(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class T>
T value_at(std::string_view text, size_t offset) {
  T value;
  std::memcpy(&value, text.data() + offset, sizeof value);
  return value;
}

std::string serialize(const Manifest& manifest) {
  std::string body(reinterpret_cast<const char*>(manifest.token.data()), manifest.token.size());
  append_value(body, manifest.key_hash);
  append_value(body, manifest.chain_hash);
  append_value(body, to_ms(manifest.lease_expiry));
  append_value(body, manifest.pages);
  append_value(body, manifest.rows);
  body += std::string_view(manifest.owner).substr(0, kMaxOwnerBytes);
  return body;
}

bool parse_manifest(std::string_view body, Manifest& manifest) {
  if (body.size() < kManifestBytes || body.size() > kManifestBytes + kMaxOwnerBytes) return false;
  std::memcpy(manifest.token.data(), body.data(), manifest.token.size());
  manifest.key_hash = value_at<uint64_t>(body, 16);
  manifest.chain_hash = value_at<uint64_t>(body, 24);
  manifest.lease_expiry = time_point_of<LeaseClock>(value_at<double>(body, 32));
  manifest.pages = value_at<uint32_t>(body, 40);
  manifest.rows = value_at<uint64_t>(body, 44);
  manifest.owner = body.substr(kManifestBytes);
  return true;
}

std::string body_of(const SegmentRecord& record) {
  switch (record.kind) {
    case SegmentRecord::Kind::kPage:
      return record.page.bytes;
    case SegmentRecord::Kind::kManifest:
      return serialize(record.manifest);
    case SegmentRecord::Kind::kTombstone:
      break;
  }
  return {};
}

}  // namespace

void append_record(std::string& segment, const SegmentRecord& record) {
  const std::string body = body_of(record);
  const size_t head = segment.size();
  append_value(segment, kMagic);
  append_value(segment, static_cast<uint32_t>(record.kind));
  append_value(segment, record.key.incarnation);
  append_value(segment, record.key.result);
  append_value(segment, record.page_index);
  append_value(segment, record.page.uncompressed_bytes);
  append_value(segment, static_cast<uint32_t>(body.size()));
  append_value(segment, uint32_t{0});
  append_value(segment, XXH3_64bits(body.data(), body.size()));
  append_value(segment, XXH3_64bits(segment.data() + head, segment.size() - head));
  segment += body;
}

RecordStatus read_record(std::string_view segment, size_t offset, SegmentRecord& record, size_t& next) {
  if (offset >= segment.size()) return RecordStatus::kEndOfSegment;
  const std::string_view rest = segment.substr(offset);
  if (rest.size() < kRecordHeadBytes || value_at<uint32_t>(rest, 0) != kMagic ||
      XXH3_64bits(rest.data(), kRecordHeadBytes - 8) != value_at<uint64_t>(rest, kRecordHeadBytes - 8))
    return RecordStatus::kTorn;
  const auto kind = value_at<uint32_t>(rest, 4);
  const auto length = value_at<uint32_t>(rest, 32);
  if (kind < 1 || kind > 3 || length > kMaxBodyBytes || rest.size() - kRecordHeadBytes < length)
    return RecordStatus::kTorn;
  const std::string_view body = rest.substr(kRecordHeadBytes, length);
  record = {};
  record.kind = static_cast<SegmentRecord::Kind>(kind);
  record.key = {value_at<uint64_t>(rest, 8), value_at<uint64_t>(rest, 16)};
  record.page_index = value_at<uint32_t>(rest, 24);
  record.page.uncompressed_bytes = value_at<uint32_t>(rest, 28);
  record.page.checksum = value_at<uint64_t>(rest, 40);
  next = offset + kRecordHeadBytes + length;
  if (XXH3_64bits(body.data(), body.size()) != record.page.checksum) return RecordStatus::kCorrupt;
  if (record.kind == SegmentRecord::Kind::kPage) record.page.bytes = body;
  if (record.kind == SegmentRecord::Kind::kManifest && !parse_manifest(body, record.manifest))
    return RecordStatus::kCorrupt;
  return RecordStatus::kRecord;
}

}  // namespace firvalve::results
