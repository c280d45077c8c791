// The wall clock of a program under test, stepped at will: what tests/shim/clock_shim.cpp reads.
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
    if (descriptor < 0 || ::ftruncate(descriptor, sizeof(Shared)) != 0)
      throw std::runtime_error("no file for the clock");
    void* const at = ::mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (at == MAP_FAILED) throw std::runtime_error("the clock's file cannot be mapped");
    shared_ = static_cast<Shared*>(at);
  }
  ~SteppedClock() {
    ::munmap(shared_, sizeof(Shared));
    std::remove(path_.c_str());
  }
  SteppedClock(const SteppedClock&) = delete;
  SteppedClock& operator=(const SteppedClock&) = delete;

  void step(Ms by) { shared_->step_ns += static_cast<int64_t>(by * 1e6); }
  // So many of the program's waits end early, as interrupted, and the clock is stepped within each.
  void interrupt_waits(int count, Ms step) {
    shared_->step_at_interrupt_ns = static_cast<int64_t>(step * 1e6);
    shared_->interrupts = count;
  }

  // What the program's environment needs. The sanitizers want to be loaded first, which is no matter here.
  std::vector<std::string> environment() const {
    return {"LD_PRELOAD=" FIRVALVE_CLOCK_SHIM, "FIRVALVE_CLOCK_FILE=" + path_,
            "ASAN_OPTIONS=verify_asan_link_order=0"};
  }

 private:
  struct Shared {
    std::atomic<int64_t> step_ns;
    std::atomic<int64_t> interrupts;
    std::atomic<int64_t> step_at_interrupt_ns;
  };
  std::string path_;
  Shared* shared_ = nullptr;
};

}  // namespace firvalve
