// Interface of the storage to which a result store writes pages: an append-only sequence of numbered
// segments.
//
// Threads: all functions are called by the result store's thread, the event loop, and none may block on I/O.
// An implementation may use threads of its own, but it never calls back into the result store. Completions
// are queued until take_completions(), and the implementation wakes the event loop when the queue becomes
// non-empty (see SegmentFiles). Requests take effect in the order in which they were made.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "results/segment_record.h"

namespace firvalve::results {

using RequestId = uint64_t;  // chosen by the caller, unique within the lifetime of the storage

class Storage {
 public:
  // The outcome of one append() or read().
  struct Completion {
    RequestId request_id = 0;
    bool succeeded = false;   // false: location and bytes are meaningless
    RecordLocation location;  // append(): where the record's body was written
    std::string bytes;        // read(): the record's body; its checksum is not verified
  };
  virtual ~Storage() = default;

  // Writes a record to the end of the current segment. Without a request id there is no completion.
  virtual void append(std::optional<RequestId> request_id, SegmentRecord record) = 0;
  // Reads the body of a record.
  virtual void read(RequestId request_id, const RecordLocation& location) = 0;
  // Deletes all segments with a lower number; none of their records may be needed any more.
  virtual void delete_segments_before(size_t segment) = 0;

  // Returns the completions since the last call, in the order in which the requests finished.
  virtual std::vector<Completion> take_completions() = 0;
  virtual size_t backlog_bytes() const = 0;    // accepted by append() but not written yet
  virtual size_t current_segment() const = 0;  // number of the segment that records are appended to
};

}  // namespace firvalve::results
