// Fuzzes the decoders of peer frames, of an acceptor's stored state and of replicated values: arbitrary bytes
// must be decoded or rejected without a fault.
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
  const char* reason = "";
  if (const auto frame = cluster::read_frame({text.data(), text.size()}, reason)) {
    // An acceptor handles each decoded message, once from an acceptor and once from another peer.
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
  std::string error;
  if (const auto topic = schema::decode_topic(text, error)) schema::encode(*topic);
  if (const auto change = schema::decode_change(text, error)) schema::apply({}, *change);
  return 0;
}
