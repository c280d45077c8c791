// Wakes a loop from another thread.
#pragma once

#include <functional>

#include "net/connection.h"

namespace firvalve::net {

// wake() may be called from any thread while this lives; on_wake then runs at least once on the loop's
// thread. Throws std::runtime_error where no descriptor is left.
class Waker : public Connection {
 public:
  explicit Waker(Loop& loop, std::function<void()> on_wake = {});
  ~Waker() override;
  void wake();

 protected:
  void on_bytes() override;
  void on_end(End) override {}

 private:
  Waker(Loop& loop, std::function<void()> on_wake, const int (&ends)[2]);
  std::function<void()> on_wake_;
  const int write_end_;
};

}  // namespace firvalve::net
