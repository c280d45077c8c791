#include "cluster/cluster_options.h"

#include <algorithm>

namespace firvalve::cluster {

ClusterOptions options_from(const config::OperatorConfig::Cluster& section) {
  ClusterOptions options;
  options.listen = section.listen;
  options.name = section.advertised_address();
  options.site = section.site;
  options.replicas = section.acceptors;
  std::sort(options.replicas.begin(), options.replicas.end());
  options.storage_directory = section.folder;
  options.leases = section.leases;
  options.lease_duration = duration_of(section.lease_ms);
  return options;
}

}  // namespace firvalve::cluster
