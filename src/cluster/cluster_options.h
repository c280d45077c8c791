// What a gateway has to know to take part in the cluster.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/operator_config.h"

namespace firvalve::cluster {

struct ClusterOptions {
  std::string listen;                 // HOST:PORT that peers connect to
  std::string name;                   // HOST:PORT by which peers know this gateway
  std::string site;                   // where it stands
  std::vector<std::string> replicas;  // names of all replicas, sorted: a replica's PeerId is its index
  std::string storage_directory;      // of a replica; empty: it keeps its registers in memory alone
  std::vector<std::string> leases;    // names, or a kind as "trial:*", that this gateway is willing to hold
  Duration lease_duration = Duration(3000);
  size_t max_register_bytes = size_t{32} * 1024 * 1024;  // of values that a replica stores
  uint64_t random_seed = 1;                              // drawn anew at each start
};

// Options as the operator's section `fleet` has them. The share of memory and the seed are the caller's to
// set.
ClusterOptions options_from(const config::OperatorConfig::Fleet& section);

}  // namespace firvalve::cluster
