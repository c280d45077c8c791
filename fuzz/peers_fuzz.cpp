// Whatever a peer says and whatever lies in a keeper's folder or under a name in the record: it is read or
// refused.
#include <cstdint>
#include <cstring>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "cluster/peer_codec.h"
#include "lease/lease_record.h"
#include "lease/run_once_jobs.h"
#include "schema/topic_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace firvalve;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const char* why = "";
  if (const auto frame = cluster::read_frame({text.data(), text.size()}, why)) {
    // What could be read is heard by a keeper, as a keeper's word and as anybody's.
    cluster::ClusterNodeOptions options;
    cluster::ClusterNode node(time_point_of<BootClock>(1), options);
    for (const consensus::Message& m : frame->messages) {
      node.handle(time_point_of<BootClock>(1), 1, m);
      node.handle(time_point_of<BootClock>(2), 9, m);
    }
    node.on_tick(time_point_of<BootClock>(5000));
    node.take_output();
  }
  cluster::decode_slot(text);
  cluster::decode_metadata(text);
  lease::decode_lease_record(text);
  lease::decode_run_once_job(text);
  std::string told;
  if (const auto topic = schema::decode_topic(text, told)) schema::encode(*topic);
  if (const auto change = schema::decode_change(text, told)) schema::apply({}, *change);
  return 0;
}
