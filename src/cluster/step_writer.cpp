#include "cluster/step_writer.h"

#include <utility>

namespace firvalve::cluster {

namespace {

constexpr Duration kWriteRetryDelay(500);

}  // namespace

void StepWriter::complete_steps(BootClock::time_point now, ClusterNode& node, const Deliver& deliver) {
  for (ReplicaStorage::Written& written : storage_.take_written()) {
    if (written.error.empty()) {
      has_failed_ = false;
      deliver(written.step.sends);
      continue;
    }
    const bool is_first = !std::exchange(has_failed_, true);
    log_.record_failed_write(directory_, written.error, is_first);
    write_again_at_ = now + kWriteRetryDelay;
    node.put_back(std::move(written.step));
  }
  if (write_again_at_ && now >= *write_again_at_) write_again_at_.reset();
}

bool StepWriter::begin_step(consensus::Step step, ClusterNode& node, const Deliver& deliver) {
  if (write_again_at_) {
    node.put_back(std::move(step));
    return false;
  }
  const bool needs_write = step.standing || !step.writes.empty();
  // A step without writes still follows those before it: its answers may be of what they hold.
  if (!needs_write && storage_.pending() == 0) return deliver(step.sends);
  if (!step.empty()) storage_.write(std::move(step));
  return false;
}

}  // namespace firvalve::cluster
