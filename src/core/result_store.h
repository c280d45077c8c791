// Where the rows of paged commands go, as the core and the fronts see it. Behind it stands the spool.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/units.h"

namespace firvalve {

using ResultHandle = uint64_t;  // a place for one result; 0: none

// A paged command's result, as its final answer tells it.
struct PagedAnswer {
  std::string token;  // 32 hex digits
  uint64_t pages = 0, rows = 0;
};

class ResultStore {
 public:
  virtual ~ResultStore() = default;

  // Whose result it will be and what it must match to be found again. The views last for the call alone.
  struct Reservation {
    std::string_view owner, key, profile, statement;
    std::string_view chain;  // the first id of its repeats
    int64_t tables = -1;
  };
  // A place for what is expected of it; 0: none now, and Core::room() is called once there may be.
  virtual ResultHandle reserve(Ms now, const Reservation& wish) = 0;
  // The whole result that a marked repeat asks for again; 0: there is none.
  virtual ResultHandle find(Ms now, const Reservation& wish) = 0;

  // A page more. kSlow: taken, and the next is to be asked for a little later. kOutgrown: neither memory nor
  // disk has room for it; the result is gone.
  enum class Put { kTaken, kSlow, kOutgrown };
  virtual Put page(Ms now, ResultHandle no, std::string_view rows) = 0;
  virtual void clear(Ms now, ResultHandle no) = 0;  // the send has failed: what came of it is forgotten
  virtual void drop(Ms now, ResultHandle no) = 0;   // nobody wants it any more
  virtual void whole(Ms now, ResultHandle no) = 0;  // from here on it can be read
  virtual PagedAnswer answer(ResultHandle no) const = 0;

  // Reads by clients, of pages from 1 up. `done` is called once, at once or later. Gone: whatever the reason,
  // or never this client's.
  enum class Read { kRows, kGone, kNoSuchPage };
  using Rows = std::function<void(Ms now, Read what, std::string_view rows, uint64_t pages)>;
  virtual void read(Ms now, std::string_view token, std::string_view key, uint64_t page, Rows done) = 0;
  virtual bool release(Ms now, std::string_view token, std::string_view key) = 0;
};

}  // namespace firvalve
