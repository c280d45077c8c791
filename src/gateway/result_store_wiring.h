// The result store with its files on disk, as the operator's file asks for it, tied to the gateway's loop.
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
  // Opens the store where the operator's file switches it on, with files where it names a folder. Throws what
  // results::SegmentFiles throws where the folder is of no use. All arguments outlive this.
  ResultStoreWiring(const config::OperatorConfig::Spool& options, net::Loop& loop, Metrics& metrics,
                    EventLog& event_log);

  results::PagedResultStore* store() { return store_.get(); }  // null: it is switched off

 private:
  // The files' thread wakes the loop through the waker: the files are destroyed first.
  std::unique_ptr<net::Waker> waker_;
  std::unique_ptr<results::SegmentFiles> files_;
  std::unique_ptr<results::PagedResultStore> store_;
};

}  // namespace firvalve
