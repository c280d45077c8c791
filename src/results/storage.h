// Where pages are kept beside memory. CommandRequest from the loop's thread, never waited for: what has been
// done comes back with done().
#pragma once

#include <cstdint>
#include <vector>

#include "results/page.h"

namespace firvalve::results {

class Storage {
 public:
  struct Done {
    uint64_t tag = 0;
    bool good = false;
    Found::Place place;  // of what was appended
    std::string bytes;   // of what was read, as they are kept
  };
  virtual ~Storage() = default;
  virtual void append(uint64_t tag, Record record) = 0;  // tag 0: nobody wants to know
  virtual void read(uint64_t tag, const Found::Place& place) = 0;
  virtual void drop_until(size_t segment) = 0;  // all before it hold nothing that is wanted
  virtual std::vector<Done> done() = 0;
  virtual size_t backlog() const = 0;  // bytes that wait to be written
  virtual size_t current() const = 0;  // the number of the segment that is written now
};

}  // namespace firvalve::results
