#include "cluster/output_writer.h"

#include <utility>

namespace firvalve::cluster {

namespace {

constexpr Duration kWriteRetryDelay(500);

}  // namespace

void OutputWriter::complete_outputs(BootClock::time_point now, ClusterNode& node, const Deliver& deliver) {
  for (ReplicaStorage::Written& written : storage_.take_written()) {
    if (written.error.empty()) {
      has_failed_ = false;
      deliver(written.output.messages);
      continue;
    }
    const bool is_first = !std::exchange(has_failed_, true);
    log_.record_failed_write(directory_, written.error, is_first);
    write_again_at_ = now + kWriteRetryDelay;
    node.on_write_failed(written.output);
  }
  if (write_again_at_ && now >= *write_again_at_) write_again_at_.reset();
}

bool OutputWriter::begin_output(consensus::AcceptorOutput output, ClusterNode& node, const Deliver& deliver) {
  if (write_again_at_) {
    node.on_write_failed(output);
    return false;
  }
  const bool needs_write = output.metadata || !output.writes.empty();
  // An output without writes still follows those before it: its answers may be of what they hold.
  if (!needs_write && storage_.pending() == 0) return deliver(output.messages);
  if (!output.empty()) storage_.write(std::move(output));
  return false;
}

}  // namespace firvalve::cluster
