// Controls the wall clock of a program under test through the file that tests/shim/clock_shim.cpp reads.
#pragma once

#include <fcntl.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/units.h"

namespace firvalve {

class SteppedClock {
 public:
  SteppedClock() {
    char name[] = "/tmp/firvalve-clock-XXXXXX";
    const int descriptor = ::mkstemp(name);
    path_ = name;
    if (descriptor < 0 || ::ftruncate(descriptor, sizeof(SharedState)) != 0)
      throw std::runtime_error("cannot create the file of the stepped clock");
    void* const at = ::mmap(nullptr, sizeof(SharedState), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (at == MAP_FAILED) throw std::runtime_error("cannot map the file of the stepped clock");
    shared_ = static_cast<SharedState*>(at);
  }
  ~SteppedClock() {
    ::munmap(shared_, sizeof(SharedState));
    std::remove(path_.c_str());
  }
  SteppedClock(const SteppedClock&) = delete;
  SteppedClock& operator=(const SteppedClock&) = delete;

  // Steps the clock forward, or back if `by` is negative.
  void step(Ms by) { shared_->step_ns += static_cast<int64_t>(by * 1e6); }
  // Interrupts the program's next `count` waits early with EINTR and steps the clock during each.
  void interrupt_waits(int count, Ms step) {
    shared_->step_at_interrupt_ns = static_cast<int64_t>(step * 1e6);
    shared_->interrupts = count;
  }

  // Variables to add to the program's environment. AddressSanitizer's check that its runtime is loaded first
  // is turned off: the shim precedes it and does no harm.
  std::vector<std::string> environment() const {
    return {"LD_PRELOAD=" FIRVALVE_CLOCK_SHIM, "FIRVALVE_CLOCK_FILE=" + path_,
            "ASAN_OPTIONS=verify_asan_link_order=0"};
  }

 private:
  // Same layout as in tests/shim/clock_shim.cpp.
  struct SharedState {
    std::atomic<int64_t> step_ns;
    std::atomic<int64_t> interrupts;
    std::atomic<int64_t> step_at_interrupt_ns;
  };
  std::string path_;
  SharedState* shared_ = nullptr;
};

}  // namespace firvalve
