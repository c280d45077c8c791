#include "core/paged_results.h"

#include <utility>

namespace firvalve {

std::optional<ResultHandle> PagedResults::find(TimePoint now, const CommandRequest& request) const {
  return store_->find(now, {request.owner, request.result_key, request.profile, request.statement,
                            request.retry_of, request.table_group});
}

bool PagedResults::reserve(TimePoint now, PendingCommand& command, std::string_view profile,
                           const CommandRequest& request) {
  command.paged = true;
  command.result_owner = request.owner;
  command.result_key = request.result_key;
  command.table_group = request.table_group;
  if (try_reserve(now, command, profile)) return true;
  waiting_.push_back(&command);
  return false;
}

bool PagedResults::try_reserve(TimePoint now, PendingCommand& command, std::string_view profile) {
  command.result = store_->reserve(now, {command.result_owner, command.result_key, profile, command.statement,
                                         view_of(command.retry_chain), command.table_group});
  return command.result.has_value();
}

ResultStore::AppendResult PagedResults::append_page(TimePoint now, PendingCommand& command,
                                                    std::string_view rows) {
  if (!command.result) return ResultStore::AppendResult::kOutOfSpace;
  const ResultStore::AppendResult appended = store_->append_page(now, *command.result, rows);
  if (appended == ResultStore::AppendResult::kOutOfSpace) command.result.reset();
  return appended;
}

void PagedResults::clear_pages(TimePoint now, const PendingCommand& command) {
  if (command.result) store_->clear_pages(now, *command.result);
}

ResultHandle PagedResults::complete(TimePoint now, const PendingCommand& command) {
  const ResultHandle result = command.result.value();
  store_->complete(now, result);
  return result;
}

void PagedResults::discard(TimePoint now, PendingCommand& command) {
  if (command.result)
    store_->discard(now, *std::exchange(command.result, std::nullopt));
  else if (command.paged)
    std::erase(waiting_, &command);
}

}  // namespace firvalve
