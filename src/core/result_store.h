// Interface of the store that holds the rows of paged results, used by the core and the client server.
// Implemented by results::PagedResultStore.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace firvalve {

using ResultHandle = uint64_t;  // identifies a stored or reserved result; from 1

// Description of a paged result in the final response to its command.
struct PagedAnswer {
  std::string token;  // 32 hex digits
  uint64_t pages = 0, rows = 0;
};

// Not thread-safe: called only from the reactor's thread.
class ResultStore {
 public:
  virtual ~ResultStore() = default;

  // The owner of a result, and the values that a retry must match to find it again. The views are valid only
  // during the function call.
  struct Reservation {
    std::string_view owner, result_key, profile, statement;
    std::string_view retry_chain;  // id of the first command of the retry chain
    int64_t table_group = -1;
  };
  // Reserves space for the expected size of a result. Returns nothing if there is not enough space;
  // Core::result_space_available() is called once there may be.
  virtual std::optional<ResultHandle> reserve(TimePoint now, const Reservation& reservation) = 0;
  // Returns the complete result that a retry requests again, if it is still stored.
  virtual std::optional<ResultHandle> find(TimePoint now, const Reservation& reservation) = 0;

  enum class AppendResult {
    kStored,
    kStoredSlowDown,  // stored; the next page should be requested from the engine with a delay
    kOutOfSpace,      // neither memory nor disk has space; the whole result was discarded
  };
  virtual AppendResult append_page(TimePoint now, ResultHandle result, std::string_view rows) = 0;
  // Drops the pages of a failed attempt, so that the next one starts over.
  virtual void clear_pages(TimePoint now, ResultHandle result) = 0;
  virtual void discard(TimePoint now, ResultHandle result) = 0;  // frees its reservation, too
  // All pages are stored: the result can be read.
  virtual void complete(TimePoint now, ResultHandle result) = 0;
  virtual PagedAnswer answer_of(ResultHandle result) const = 0;

  // kGone: the result was evicted, released, has expired, or does not belong to this client.
  enum class ReadStatus { kRows, kGone, kNoSuchPage };
  using ReadCallback =
      std::function<void(TimePoint now, ReadStatus status, std::string_view rows, uint64_t pages)>;
  // Reads one page, numbered from 1. Calls the callback exactly once, before or after this function returns.
  virtual void read_page(TimePoint now, std::string_view token, std::string_view result_key, uint64_t page,
                         ReadCallback callback) = 0;
  // Discards a result at its client's request. Returns false if there is no such result that the client may
  // discard.
  virtual bool release(TimePoint now, std::string_view token, std::string_view result_key) = 0;
};

}  // namespace firvalve
