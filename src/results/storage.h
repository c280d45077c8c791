// Where pages are kept beside memory. CommandRequest from the loop's thread, never waited for: what has been
// done comes back with done().
#pragma once

#include <cstdint>
#include <vector>

#include "results/recovery.h"

namespace firvalve::results {

class Storage {
 public:
  struct Completion {
    uint64_t request_id = 0;
    bool succeeded = false;
    RecordLocation location;  // of what was appended
    std::string bytes;        // of what was read, as they are kept
  };
  virtual ~Storage() = default;
  virtual void append(uint64_t request_id, Record record) = 0;  // request_id 0: nobody wants to know
  virtual void read(uint64_t request_id, const RecordLocation& location) = 0;
  virtual void delete_segments_before(size_t segment) = 0;  // all before it hold nothing that is wanted
  virtual std::vector<Completion> take_completions() = 0;
  virtual size_t backlog_bytes() const = 0;    // bytes that wait to be written
  virtual size_t current_segment() const = 0;  // the number of the segment that is written now
};

}  // namespace firvalve::results
