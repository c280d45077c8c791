#include "gateway/shutdown.h"

#include "proto/restart_times.h"

namespace firvalve {

void Shutdown::start(TimePoint now) {
  if (started_at_) return;
  started_at_ = now;
  const TimePoint answers_due_at = now + proto::max_answer_time(longest_client_timeout_);
  components_.core.begin_shutdown(now, answers_due_at);
  if (components_.cluster) components_.cluster->begin_shutdown(now, answers_due_at);
  components_.event_log.log_shutdown_started();
}

bool Shutdown::is_every_call_answered(TimePoint now) const {
  return now >= *started_at_ + proto::kLateRequestWindow && components_.core.unanswered_call_count() == 0 &&
         components_.clients.unsent_bytes() == 0 &&
         (!components_.result_store || !components_.result_store->has_pending_reads()) &&
         (!components_.cluster || components_.cluster->is_shut_down());
}

bool Shutdown::is_complete(TimePoint now) {
  const bool are_clients_closed = is_every_call_answered(now) && components_.clients.close_connections(now);
  return are_clients_closed || now >= *started_at_ + proto::max_exit_time(longest_client_timeout_);
}

}  // namespace firvalve
