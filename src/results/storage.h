// Where a result store keeps pages beside memory: an append-only sequence of numbered segments.
//
// Threads: all functions are called by the result store's thread, the event loop, and none may block it on
// I/O. An implementation may work on threads of its own, but it never calls back into the result store: what
// it has finished waits until take_completions(), and it wakes the event loop when there is something to take
// (see SegmentFiles). Requests take effect in the order in which they were made.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "results/segment_record.h"

namespace firvalve::results {

using RequestId = uint64_t;  // chosen by the caller, unique within the life of the storage

class Storage {
 public:
  // The outcome of one append() or read().
  struct Completion {
    RequestId request_id = 0;
    bool succeeded = false;   // false: neither location nor bytes mean anything
    RecordLocation location;  // append(): where the record's body is now
    std::string bytes;        // read(): the body as it was appended, its checksum not verified
  };
  virtual ~Storage() = default;

  // Writes a record to the end of the current segment. Without a request id no completion follows.
  virtual void append(std::optional<RequestId> request_id, SegmentRecord record) = 0;
  // Reads the body of a record back.
  virtual void read(RequestId request_id, const RecordLocation& location) = 0;
  // No segment with a number below this one holds anything that is still needed.
  virtual void delete_segments_before(size_t segment) = 0;

  // What has finished since the last call, in the order in which it finished.
  virtual std::vector<Completion> take_completions() = 0;
  virtual size_t backlog_bytes() const = 0;    // accepted by append() and not written yet
  virtual size_t current_segment() const = 0;  // the number of the segment that is appended to
};

}  // namespace firvalve::results
