// Where the rows of paged commands are stored, as the core and the client server see it. Implemented by
// results::PagedResultStore.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firvalve {

using ResultHandle = uint64_t;  // one stored or reserved result, from 1

// What the final response to a paged command says of its result.
struct PagedAnswer {
  std::string token;  // 32 hex digits
  uint64_t pages = 0, rows = 0;
};

// All calls come from the reactor's thread.
class ResultStore {
 public:
  virtual ~ResultStore() = default;

  // Whose result it will be, and what a retry must match to find it again. The views last for the call alone.
  struct Reservation {
    std::string_view owner, result_key, profile, statement;
    std::string_view retry_chain;  // the id of the first command of its retry chain
    int64_t table_group = -1;
  };
  // Reserves space for the expected size of a result. Nothing: there is none now, and
  // Core::result_space_available() is called once there may be.
  virtual std::optional<ResultHandle> reserve(TimePoint now, const Reservation& reservation) = 0;
  // The complete result that a retry asks for again, if it is still stored.
  virtual std::optional<ResultHandle> find(TimePoint now, const Reservation& reservation) = 0;

  enum class AppendResult {
    kStored,
    kStoredSlowDown,  // stored; the engine should be asked for the next page a little later
    kOutOfSpace,      // neither memory nor disk has space: the whole result has been discarded
  };
  virtual AppendResult append_page(TimePoint now, ResultHandle result, std::string_view rows) = 0;
  virtual void clear_pages(TimePoint now,
                           ResultHandle result) = 0;              // the attempt failed: another starts over
  virtual void discard(TimePoint now, ResultHandle result) = 0;   // with its reservation
  virtual void complete(TimePoint now, ResultHandle result) = 0;  // all pages are there: it can be read
  virtual PagedAnswer answer_of(ResultHandle result) const = 0;

  // kGone: evicted, released, expired, or never this client's.
  enum class ReadStatus { kRows, kGone, kNoSuchPage };
  using ReadCallback =
      std::function<void(TimePoint now, ReadStatus status, std::string_view rows, uint64_t pages)>;
  // Reads one page, numbered from 1. The callback is called once, within this call or later.
  virtual void read_page(TimePoint now, std::string_view token, std::string_view result_key, uint64_t page,
                         ReadCallback callback) = 0;
  // Discards a result at its client's request. False: there is none that this client may discard.
  virtual bool release(TimePoint now, std::string_view token, std::string_view result_key) = 0;
};

}  // namespace firvalve
