// SIGHUP: the configuration files are read again. The event bus may have moved, and the log's level and form
// may have changed; everything else that a new file says holds from the next start.
#pragma once

#include <functional>
#include <string>

#include "gateway/event_log.h"
#include "net/endpoint_watcher.h"

namespace firvalve {

class ConfigReloader {
 public:
  // operator_file: empty where there is none. The references outlive this.
  ConfigReloader(std::string operator_file, net::Loop& loop, net::EndpointWatcher& endpoint_watcher,
                 log::Log& log, EventLog& event_log, Metrics& metrics)
      : operator_file_(std::move(operator_file)),
        loop_(loop),
        endpoint_watcher_(endpoint_watcher),
        log_(log),
        event_log_(event_log),
        metrics_(metrics) {}

  // A file that cannot be read or used changes nothing, and leaves the other its effect. Throws nothing.
  void reload();

 private:
  void apply_or_log(const std::function<void()>& apply);

  const std::string operator_file_;
  net::Loop& loop_;
  net::EndpointWatcher& endpoint_watcher_;
  log::Log& log_;
  EventLog& event_log_;
  Metrics& metrics_;
};

}  // namespace firvalve
