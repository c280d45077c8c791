#include "cluster/cluster_log.h"

#include <fmt/format.h>

namespace firvalve::cluster {

using log::Level;

namespace {

std::string format_ms(BootClock::time_point time) { return fmt::format("{:.3f}", to_ms(time)); }
const char* yes_or_no(bool value) { return value ? "yes" : "no"; }

}  // namespace

void ClusterLog::record_connected(const std::string& peer) const {
  sink_(Level::kDebug, "cluster.peer_connected", {{"component", "cluster"}, {"peer", peer}});
}

void ClusterLog::record_disconnected(std::string_view peer, std::string_view reason) const {
  metrics_.add("cluster connections ended", reason);
  sink_(Level::kWarning, "cluster.peer_disconnected",
        {{"component", "cluster"}, {"peer", std::string(peer)}, {"reason", std::string(reason)}});
}

void ClusterLog::record_rejected_frame(const std::string& peer, const char* reason) const {
  metrics_.add("cluster frames rejected", reason);
  sink_(Level::kWarning, "cluster.frame_rejected",
        {{"component", "cluster"}, {"peer", peer}, {"reason", reason}});
}

void ClusterLog::count_sent_frame() const { metrics_.add("cluster frames sent"); }

void ClusterLog::record_failed_write(const std::string& directory, const std::string& reason,
                                     bool is_first) const {
  if (is_first)
    sink_(Level::kError, "consensus.write_failed",
          {{"component", "consensus"}, {"directory", directory}, {"reason", reason}});
  metrics_.add("consensus writes failed");
}

void ClusterLog::record_replica_ready(size_t registers) const {
  sink_(Level::kInfo, "consensus.replica_ready",
        {{"component", "consensus"}, {"registers", std::to_string(registers)}});
}

void ClusterLog::record_lease_event(BootClock::time_point now, const lease::Event& event) const {
  using Kind = lease::Event::Kind;
  const std::string epoch = std::to_string(event.epoch), at = format_ms(now);
  const auto log_validity = [&](Level level, const char* name) {
    sink_(level, name,
          {{"component", "lease"},
           {"lease", event.lease},
           {"epoch", epoch},
           {"at_ms", at},
           {"until_ms", format_ms(*event.valid_until)}});
  };
  const auto log_end = [&](Level level, const char* name) {
    sink_(level, name,
          {{"component", "lease"},
           {"lease", event.lease},
           {"epoch", epoch},
           {"at_ms", at},
           {"reason", std::string(lease::to_string(event.reason))}});
  };
  switch (event.kind) {
    case Kind::kAcquired:
      metrics_.add("leases acquired");
      return log_validity(Level::kInfo, "lease.acquired");
    case Kind::kRenewed:
      return log_validity(Level::kDebug, "lease.renewed");
    case Kind::kReleased:
      metrics_.add("leases released");
      return log_end(Level::kInfo, "lease.released");
    case Kind::kLost:
      metrics_.add("leases lost");
      return log_end(Level::kWarning, "lease.lost");
    case Kind::kUnreadable:
      return sink_(Level::kWarning, "lease.unreadable", {{"component", "lease"}, {"lease", event.lease}});
    case Kind::kStateWritten:
    case Kind::kObserved:
      return;
  }
}

void ClusterLog::record_started_job(const std::string& job) const {
  sink_(Level::kInfo, "lease.run_once_job_started", {{"component", "lease"}, {"job", job}});
}

void ClusterLog::count_requested_job() const { metrics_.add("run-once jobs requested"); }

void ClusterLog::record_topic_change(const schema::Registry::Result& result) const {
  using Kind = schema::Registry::Result::Kind;
  if (result.kind == Kind::kAgreed && result.applied.has_changed)
    sink_(Level::kInfo, "schema.change_agreed",
          {{"component", "schema"},
           {"topic", result.topic},
           {"version", std::to_string(result.applied.version)}});
  if (result.kind == Kind::kRejected)
    sink_(Level::kWarning, "schema.change_rejected",
          {{"component", "schema"},
           {"topic", result.topic},
           {"rule", schema::name_of(result.applied.verdict.violations.front().rule)},
           {"violations", std::to_string(result.applied.verdict.violations.size())}});
}

void ClusterLog::count_topic_request(std::string_view method) const {
  metrics_.add("topic requests", method);
}

void ClusterLog::record_replica_status(const consensus::Acceptor& acceptor) const {
  sink_(Level::kInfo, "consensus.replica_status",
        {{"component", "consensus"},
         {"ready", yes_or_no(acceptor.is_voting())},
         {"registers", std::to_string(acceptor.slots().size())}});
}

void ClusterLog::record_peer_status(const std::string& peer, bool is_connected) const {
  sink_(Level::kInfo, "cluster.peer_status",
        {{"component", "cluster"}, {"peer", peer}, {"connected", yes_or_no(is_connected)}});
}

void ClusterLog::record_lease_status(const std::string& lease, const lease::LeaseRecord* record,
                                     bool is_held_here) const {
  sink_(Level::kInfo, "lease.status",
        {{"component", "lease"},
         {"lease", lease},
         {"holder", record && !record->is_released ? record->holder : "nobody"},
         {"epoch", std::to_string(record ? record->epoch : 0)},
         {"held_here", yes_or_no(is_held_here)}});
}

}  // namespace firvalve::cluster
