// The graceful shutdown: from SIGTERM until everything taken in has its answer, or the time for it is over.
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
  // What takes part in it. All but the last two are always there; all outlive the Shutdown.
  struct Parts {
    Core& core;
    net::ClientServer& clients;
    EventLog& event_log;
    cluster::ClusterService* cluster = nullptr;         // null: switched off
    results::PagedResultStore* result_store = nullptr;  // null: switched off
  };
  Shutdown(const Parts& parts, Duration longest_client_timeout)
      : parts_(parts), longest_client_timeout_(longest_client_timeout) {}

  bool is_started() const { return started_at_.has_value(); }
  void start(TimePoint now);  // a second time: nothing happens
  // Once started, called once a turn: ends the clients' connections when everything has been answered. True:
  // the loop may stop.
  bool is_complete(TimePoint now);

 private:
  bool is_all_answered(TimePoint now) const;

  const Parts parts_;
  const Duration longest_client_timeout_;
  std::optional<TimePoint> started_at_;
};

}  // namespace firvalve
