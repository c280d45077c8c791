#include "cluster/output_writer.h"

#include <utility>

namespace firvalve::cluster {

namespace {

constexpr Duration kWriteRetryDelay(500);

}  // namespace

void OutputWriter::process_write_results(BootClock::time_point now, ClusterNode& node,
                                         const Deliver& deliver) {
  for (ReplicaStorage::WriteResult& written : storage_.take_write_results()) {
    if (written.error.empty()) {
      has_write_failed_ = false;
      deliver(written.output.messages);
      continue;
    }
    const bool is_first = !std::exchange(has_write_failed_, true);
    log_.record_failed_write(directory_, written.error, is_first);
    resume_writes_at_ = now + kWriteRetryDelay;
    node.on_write_failed(written.output);
  }
  if (resume_writes_at_ && now >= *resume_writes_at_) resume_writes_at_.reset();
}

bool OutputWriter::submit_output(consensus::AcceptorOutput output, ClusterNode& node,
                                 const Deliver& deliver) {
  if (resume_writes_at_) {
    node.on_write_failed(output);
    return false;
  }
  const bool needs_write = output.metadata || !output.writes.empty();
  // An output without writes must still wait for earlier ones: its messages may contain state from their
  // writes.
  if (!needs_write && storage_.pending() == 0) return deliver(output.messages);
  if (!output.empty()) storage_.write(std::move(output));
  return false;
}

}  // namespace firvalve::cluster
