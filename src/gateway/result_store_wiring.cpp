#include "gateway/result_store_wiring.h"

#include <random>

namespace firvalve {
namespace {

results::PagedResultStoreOptions store_options(const config::OperatorConfig::Spool& spool) {
  results::PagedResultStoreOptions options;
  options.keeping.memory = spool.memory_mb * 1e6;
  options.keeping.disk = spool.folder.empty() ? 0 : spool.disk_mb * 1e6;
  options.keeping.result_most = spool.result_mb * 1e6;
  options.keeping.lease = spool.lease_s * 1000;
  options.keeping.results_most = static_cast<size_t>(spool.results);
  options.first_expected = spool.first_expected_kb * 1000;
  options.backlog_most = options.keeping.memory / 4;
  return options;
}

}  // namespace

ResultStoreWiring::ResultStoreWiring(const config::OperatorConfig::Spool& options, net::Loop& loop,
                                     Metrics& metrics, EventLog& event_log) {
  if (!options.on) return;
  std::random_device device;
  const uint64_t incarnation = (static_cast<uint64_t>(device()) << 32) | device();
  store_ = std::make_unique<results::PagedResultStore>(
      store_options(options), incarnation, [&metrics](std::string_view metric) { metrics.add(metric); });
  if (options.folder.empty()) return;
  waker_ = std::make_unique<net::Waker>(loop);  // the turn that follows takes up what the files have done
  results::SegmentFiles::Options files_options;
  files_options.folder = options.folder;
  files_options.boot = results::boot_time();
  files_ = std::make_unique<results::SegmentFiles>(files_options, loop.now_ms(),
                                                   [waker = waker_.get()] { waker->wake(); });
  if (files_->cut + files_->broken > 0) event_log.log_damaged_segments(*files_);
  store_->use(loop.now_ms(), *files_, files_->found, files_->lease_offset());
  files_->found.clear();
}

}  // namespace firvalve
