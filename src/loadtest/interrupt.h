// Records SIGINT, SIGTERM and SIGHUP during a run, so that the run can stop what it started before it exits.
#pragma once

namespace firvalve::loadtest {

// Handles SIGINT, SIGTERM and SIGHUP during its lifetime: they set a flag instead of ending the process. The
// destructor restores the previous handlers.
class InterruptScope {
 public:
  InterruptScope();
  ~InterruptScope();
  InterruptScope(const InterruptScope&) = delete;
  InterruptScope& operator=(const InterruptScope&) = delete;

 private:
  using Handler = void (*)(int);
  static constexpr int kSignals = 3;
  Handler before_[kSignals];
};

// Whether a signal arrived since the last InterruptScope was created.
bool is_interrupted();

}  // namespace firvalve::loadtest
