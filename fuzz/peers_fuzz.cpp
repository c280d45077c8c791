// Whatever a peer says and whatever lies in a keeper's folder or under a name in the record: it is read or
// refused.
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "cluster/wire.h"
#include "lease/lease_record.h"
#include "lease/run_once_jobs.h"
#include "schema/registry.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace firvalve;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const char* why = "";
  if (const auto frame = cluster::read_frame({text.data(), text.size()}, why)) {
    // What could be read is heard by a keeper, as a keeper's word and as anybody's.
    cluster::ClusterNodeOptions options;
    cluster::ClusterNode node(1, options);
    for (const consensus::Message& m : frame->parts) {
      node.handle(1, 1, m);
      node.handle(2, 9, m);
    }
    node.due(5000);
    node.take();
  }
  cluster::read_slot(text);
  cluster::read_owned(text);
  lease::decode_lease_record(text);
  lease::decode_run_once_job(text);
  std::string told;
  if (const auto bulletin = schema::read_bulletin(text, told)) schema::written(*bulletin);
  if (const auto change = schema::read_change(text, told)) schema::apply({}, *change);
  return 0;
}
