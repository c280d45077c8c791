#include "gateway/result_store_wiring.h"

#include <random>

namespace firvalve {
namespace {

results::PagedResultStoreOptions store_options(const config::OperatorConfig::PagedResults& section) {
  results::PagedResultStoreOptions options;
  options.retention.memory_bytes = section.memory_mb * 1e6;
  options.retention.disk_bytes = section.folder.empty() ? 0 : section.disk_mb * 1e6;
  options.retention.max_result_bytes = section.result_mb * 1e6;
  options.retention.lease = duration_of(section.lease_s * 1000);
  options.retention.max_results = static_cast<size_t>(section.results);
  options.initial_expected_bytes = section.first_expected_kb * 1000;
  options.max_backlog_bytes = options.retention.memory_bytes / 4;
  return options;
}

}  // namespace

ResultStoreWiring::ResultStoreWiring(const config::OperatorConfig::PagedResults& options, net::Loop& loop,
                                     Metrics& metrics, EventLog& event_log) {
  if (!options.on) return;
  std::random_device device;
  const uint64_t incarnation = (static_cast<uint64_t>(device()) << 32) | device();
  store_ = std::make_unique<results::PagedResultStore>(
      store_options(options), incarnation, [&metrics](std::string_view metric) { metrics.add(metric); });
  if (options.folder.empty()) return;
  // Wakes the loop, whose next turn handles the completed file operations.
  waker_ = std::make_unique<net::Waker>(loop);
  results::SegmentFiles::Options files_options;
  files_options.folder = options.folder;
  files_options.boot = results::read_boot_time();
  files_ = std::make_unique<results::SegmentFiles>(files_options, loop.now(),
                                                   [waker = waker_.get()] { waker->wake(); });
  if (files_->truncated_segments() + files_->corrupt_results() > 0) event_log.log_damaged_segments(*files_);
  store_->attach_storage(loop.now(), *files_, files_->take_recovered_results(), files_->lease_offset());
}

}  // namespace firvalve
