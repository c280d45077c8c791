#include "results/recovery.h"

namespace firvalve::results {

std::optional<size_t> Recovery::add_segment(size_t number, std::string_view segment) {
  if (!segment.starts_with(kSegmentHeader)) return 0;
  size_t next = 0;
  SegmentRecord record;
  for (size_t offset = kSegmentHeader.size();; offset = next) {
    const RecordStatus status = read_record(segment, offset, record, next);
    if (status == RecordStatus::kEndOfSegment) return std::nullopt;
    if (status == RecordStatus::kTorn) return offset;
    PartialResult& result = results_[record.key];
    if (status == RecordStatus::kCorrupt) {
      result.has_corrupt_record = true;
    } else if (record.kind == SegmentRecord::Kind::kTombstone) {
      result.has_tombstone = true;
    } else if (record.kind == SegmentRecord::Kind::kManifest) {
      result.manifest = record.manifest;
    } else {
      result.pages[record.page_index] = {number, offset + kRecordHeadBytes, record.page.bytes.size(),
                                         record.page.uncompressed_bytes, record.page.checksum};
    }
  }
}

bool Recovery::PartialResult::has_all_pages() const {
  return !has_corrupt_record && pages.size() == manifest->pages &&
         (pages.empty() || pages.rbegin()->first + 1 == manifest->pages);
}

Recovery::Outcome Recovery::outcome(LeaseTime now) const {
  Outcome outcome;
  for (const auto& [key, partial] : results_) {
    if (partial.has_tombstone) continue;
    if (!partial.manifest) {
      outcome.corrupt_results += partial.has_corrupt_record;
      continue;
    }
    if (!partial.has_all_pages()) {
      ++outcome.corrupt_results;
      continue;
    }
    if (!(partial.manifest->lease_expiry > now)) continue;  // also if the expiry is NaN
    RecoveredResult& result = outcome.results.emplace_back();
    result.key = key;
    result.manifest = *partial.manifest;
    for (const auto& [index, location] : partial.pages) {
      result.pages.push_back(location);
      result.bytes += static_cast<double>(location.length);
    }
  }
  return outcome;
}

}  // namespace firvalve::results
