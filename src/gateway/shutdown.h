// The graceful shutdown: lasts from SIGTERM until every accepted call is answered or the time limit is
// reached.
#pragma once

#include <optional>

#include "base/time.h"
#include "cluster/cluster_service.h"
#include "core/core.h"
#include "gateway/event_log.h"
#include "net/client_server.h"
#include "results/paged_result_store.h"

namespace firvalve {

class Shutdown {
 public:
  // The components that take part. They must outlive the Shutdown.
  struct Components {
    Core& core;
    net::ClientServer& clients;
    EventLog& event_log;
    cluster::ClusterService* cluster = nullptr;         // null: disabled
    results::PagedResultStore* result_store = nullptr;  // null: disabled
  };
  Shutdown(const Components& components, Duration longest_client_timeout)
      : components_(components), longest_client_timeout_(longest_client_timeout) {}

  bool is_started() const { return started_at_.has_value(); }
  void start(TimePoint now);  // no effect if already started
  // To be called once per turn of the loop after start(): closes the clients' connections when every call is
  // answered. Returns true when the loop may stop.
  bool is_complete(TimePoint now);

 private:
  bool is_every_call_answered(TimePoint now) const;

  const Components components_;
  const Duration longest_client_timeout_;
  std::optional<TimePoint> started_at_;
};

}  // namespace firvalve
