// Manages the result store space of paged commands, from the reservation to the complete result. A paged
// command without a reservation waits for one and is not sent to an engine.
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
  // Whether a request's result will be paged: the client requested it, and there is a store.
  bool applies_to(const CommandRequest& request) const { return request.paged && store_; }

  // Returns the stored, complete result that a retry requests again.
  std::optional<ResultHandle> find(TimePoint now, const CommandRequest& request) const;

  // Copies the reservation's parameters into the command and tries to reserve space. If that fails, queues
  // the command for retry_waiting() and returns false.
  bool reserve(TimePoint now, PendingCommand& command, std::string_view profile,
               const CommandRequest& request);
  // Retries the reservations of waiting commands in order of admission. A command whose owner has no space
  // left does not block the commands behind it. Calls profile_of(command) for each command, and
  // on_reserved(command) for each reservation that succeeds.
  template <class ProfileOf, class OnReserved>
  void retry_waiting(TimePoint now, ProfileOf&& profile_of, OnReserved&& on_reserved) {
    std::erase_if(waiting_, [&](PendingCommand* command) {
      if (!try_reserve(now, *command, profile_of(*command))) return false;
      on_reserved(*command);
      return true;
    });
  }
  // kOutOfSpace: the store has discarded the result, and the command has lost its reservation.
  ResultStore::AppendResult append_page(TimePoint now, PendingCommand& command, std::string_view rows);
  void clear_pages(TimePoint now, const PendingCommand& command);  // so that another attempt can start over
  ResultHandle complete(TimePoint now, const PendingCommand& command);
  // Discards the command's result, or removes the command from the waiting ones. A completed result was
  // handed over to the store (then `command.result` is empty) and stays.
  void discard(TimePoint now, PendingCommand& command);

 private:
  bool try_reserve(TimePoint now, PendingCommand& command, std::string_view profile);

  ResultStore* store_ = nullptr;
  std::vector<PendingCommand*> waiting_;  // for a reservation; unfinished commands in order of admission
};

}  // namespace firvalve
