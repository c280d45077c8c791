// Creates the store of paged results and its files on disk according to the operator's file, and connects
// them to the gateway's loop.
#pragma once

#include <memory>

#include "config/operator_config.h"
#include "core/core.h"
#include "gateway/event_log.h"
#include "net/waker.h"
#include "results/paged_result_store.h"
#include "results/segment_files.h"

namespace firvalve {

class ResultStoreWiring {
 public:
  // Opens the store if the operator's file enables it, with files if it names a folder. Throws the exceptions
  // of results::SegmentFiles if the folder cannot be used. All arguments must outlive this object.
  ResultStoreWiring(const config::OperatorConfig::PagedResults& options, net::Loop& loop, Metrics& metrics,
                    EventLog& event_log);

  results::PagedResultStore* store() { return store_.get(); }  // null: disabled

 private:
  // Members are destroyed in reverse order: files_ before waker_, because its thread wakes the loop through
  // the waker.
  std::unique_ptr<net::Waker> waker_;
  std::unique_ptr<results::SegmentFiles> files_;
  std::unique_ptr<results::PagedResultStore> store_;
};

}  // namespace firvalve
