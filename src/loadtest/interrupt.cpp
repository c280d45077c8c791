// Implements the signal handlers that record an interrupt.
#include "loadtest/interrupt.h"

#include <atomic>
#include <csignal>

namespace firvalve::loadtest {
namespace {

constexpr int kNoted[] = {SIGINT, SIGTERM, SIGHUP};

std::atomic<bool> interrupted = false;
static_assert(std::atomic<bool>::is_always_lock_free);  // written in a signal handler

void note(int) { interrupted = true; }

}  // namespace

InterruptScope::InterruptScope() {
  static_assert(sizeof(kNoted) / sizeof(*kNoted) == kSignals);
  interrupted = false;
  for (int i = 0; i < kSignals; ++i) before_[i] = std::signal(kNoted[i], note);
}

InterruptScope::~InterruptScope() {
  for (int i = 0; i < kSignals; ++i) std::signal(kNoted[i], before_[i]);
}

bool is_interrupted() { return interrupted; }

}  // namespace firvalve::loadtest
