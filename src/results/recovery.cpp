#include "results/recovery.h"

namespace firvalve::results {

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
