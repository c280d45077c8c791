// Configuration of a gateway's membership in the cluster.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/operator_config.h"

namespace firvalve::cluster {

struct ClusterOptions {
  std::string listen;                 // HOST:PORT to listen on for peer connections
  std::string name;                   // advertised HOST:PORT; identifies this gateway to its peers
  std::string site;                   // location of this gateway
  std::vector<std::string> replicas;  // names of all replicas, sorted; the index of a replica is its PeerId
  std::string storage_directory;      // replicas only; empty: registers are kept in memory only
  // Leases that this gateway may hold: names, or all of a kind, such as "trial:*".
  std::vector<std::string> leases;
  Duration lease_duration = Duration(3000);
  size_t max_register_bytes = size_t{32} * 1024 * 1024;  // limit on the total size of a replica's values
  uint64_t random_seed = 1;                              // needs a new value at each start
};

// Converts the section `fleet` of the operator's file. The caller sets `max_register_bytes` and
// `random_seed`.
ClusterOptions options_from(const config::OperatorConfig::Cluster& section);

}  // namespace firvalve::cluster
