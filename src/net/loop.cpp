#include "net/loop.h"

#include <chrono>
#include <cmath>

#include "net/link.h"

namespace firvalve::net {

Ms Loop::now() {
  if (now_ == 0 || !turn_open_) {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    now_ = std::max(now_, std::chrono::duration<double, std::milli>(since).count());
    turn_open_ = true;
  }
  return now_;
}

void Loop::bury(std::unique_ptr<Link> link) { buried_.push_back(std::move(link)); }

// The reactor calls this before it hands out a turn's events. The turn before is ended here, when its events were
// followed by others at once, so that decisions never wait for a quiet moment.
void Loop::onBusy() {
  if (turn_open_) end_turn();
  setTimeout(Poco::Timespan(0));
}

void Loop::end_turn() {
  turn_open_ = false;
  const Ms due = on_turn ? on_turn(now()) : 0;
  turn_open_ = false;
  buried_.clear();
  constexpr Ms kLongest = 1000;  // nothing is due: an idle look a second
  const Ms wait = due > 0 ? std::clamp(due - now(), 0.0, kLongest) : kLongest;
  turn_open_ = false;
  setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::ceil(wait) * 1000)));
}

}  // namespace firvalve::net
