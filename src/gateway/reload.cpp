#include "gateway/reload.h"

#include <exception>

#include "gateway/gateway_config.h"

namespace firvalve {

void ConfigReloader::reload() {
  metrics_.add("configuration reloads");
  event_log_.log_config_reloaded();
  apply_or_log([&] {
    const TimePoint now = loop_.now();
    endpoint_watcher_.migrate(now, read_gateway_config().event_bus_address);
  });
  apply_or_log([&] {
    if (!operator_file_.empty()) configure_log(log_, read_operator_config(operator_file_).log);
  });
}

void ConfigReloader::apply_or_log(const std::function<void()>& apply) {
  try {
    apply();
  } catch (const std::exception& error) {
    event_log_.log_config_rejected(error.what());
  }
}

}  // namespace firvalve
