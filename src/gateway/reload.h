// Reload on SIGHUP: reads the configuration files again and applies the address of the event bus and the
// log's level and format. All other changes take effect at the next start.
#pragma once

#include <functional>
#include <string>

#include "gateway/event_log.h"
#include "net/endpoint_watcher.h"

namespace firvalve {

class ConfigReloader {
 public:
  // operator_file: empty if there is none. The references must outlive this object.
  ConfigReloader(std::string operator_file, net::Loop& loop, net::EndpointWatcher& endpoint_watcher,
                 log::Log& log, EventLog& event_log, Metrics& metrics)
      : operator_file_(std::move(operator_file)),
        loop_(loop),
        endpoint_watcher_(endpoint_watcher),
        log_(log),
        event_log_(event_log),
        metrics_(metrics) {}

  // The files are applied independently: one that is unreadable or invalid is logged and changes nothing.
  // Never throws.
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
