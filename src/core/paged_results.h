// Results of paged commands: their space in the result store, from the reservation to the complete result.
// A paged command without a reservation waits for one and is not sent to an engine.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/command_request.h"
#include "core/pending_commands.h"
#include "core/result_store.h"

namespace firvalve {

class PagedResults {
 public:
  void set_store(ResultStore& store) { store_ = &store; }
  bool has_store() const { return store_ != nullptr; }
  // Whether a request's result will be paged: it was asked for so, and there is a store.
  bool applies_to(const CommandRequest& request) const { return request.paged && store_; }

  // The complete result that a retry asks for again.
  std::optional<ResultHandle> find(TimePoint now, const CommandRequest& request) const;

  // Takes over what the reservation is made with, and tries to make it. False: the command waits for it.
  bool reserve(TimePoint now, PendingCommand& command, std::string_view profile,
               const CommandRequest& request);
  // Tries again for those that wait, in the order admitted. One whose owner has no space does not block those
  // behind it. Calls profile_of(command) for each, and on_reserved(command) for each that succeeds.
  template <class ProfileOf, class OnReserved>
  void retry_waiting(TimePoint now, ProfileOf&& profile_of, OnReserved&& on_reserved) {
    std::erase_if(waiting_, [&](PendingCommand* command) {
      if (!try_reserve(now, *command, profile_of(*command))) return false;
      on_reserved(*command);
      return true;
    });
  }
  // kOutOfSpace: the result is gone, the command has none any more.
  ResultStore::AppendResult append_page(TimePoint now, PendingCommand& command, std::string_view rows);
  void clear_pages(TimePoint now, const PendingCommand& command);  // for another attempt to start over
  ResultHandle complete(TimePoint now, const PendingCommand& command);
  // Nobody wants its result, or the result belongs to the store alone (then `command.result` is empty).
  void forget(TimePoint now, PendingCommand& command);

 private:
  bool try_reserve(TimePoint now, PendingCommand& command, std::string_view profile);

  ResultStore* store_ = nullptr;
  std::vector<PendingCommand*> waiting_;  // not finished, in the order admitted
};

}  // namespace firvalve
