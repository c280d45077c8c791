// Ctrl-C and its kin during a run: noted, so that the run ends what it started before the process ends.
#pragma once

namespace firvalve::loadtest {

// While it lives, SIGINT, SIGTERM and SIGHUP are noted and do not end the process.
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

bool is_interrupted();

}  // namespace firvalve::loadtest
