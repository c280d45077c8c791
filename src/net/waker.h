// Wakes an event loop from another thread by writing to a socket pair.
#pragma once

#include <functional>

#include "net/connection.h"

namespace firvalve::net {

// wake() may be called from any thread during the lifetime of this object; on_wake then runs at least once on
// the loop's thread. The constructor throws std::runtime_error if the socket pair cannot be created.
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
