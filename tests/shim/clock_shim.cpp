// A test library, loaded into the real program by LD_PRELOAD. It steps the program's wall clock and
// interrupts its waits, as a clock daemon and a debugger would. The monotonic clock is not changed.
//
// FIRVALVE_CLOCK_FILE names a file of three 64-bit numbers, which the test may change at any time:
//   - the offset added to the wall clock, in ns;
//   - the number of waits still to be interrupted with EINTR;
//   - the step added to the offset at each interrupted wait, in ns.
// Without the variable, the library changes nothing.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>

namespace {

constexpr int64_t kNsPerSecond = 1000000000;

// Same layout as SteppedClock::SharedState.
struct SharedState {
  std::atomic<int64_t> step_ns;
  std::atomic<int64_t> interrupts;
  std::atomic<int64_t> step_at_interrupt_ns;
};

// Null if FIRVALVE_CLOCK_FILE is not set or cannot be mapped.
SharedState* shared_state() {
  static SharedState* const mapped = []() -> SharedState* {
    // NOLINTNEXTLINE(concurrency-mt-unsafe): the program never modifies its environment
    const char* const path = std::getenv("FIRVALVE_CLOCK_FILE");
    if (!path) return nullptr;
    const int descriptor = ::open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return nullptr;
    void* const at = ::mmap(nullptr, sizeof(SharedState), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return at == MAP_FAILED ? nullptr : static_cast<SharedState*>(at);
  }();
  return mapped;
}

// Returns the function that this library overrides.
template <class Function>
Function* next_symbol(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

int64_t wall_clock_step_ns() { return shared_state() ? shared_state()->step_ns.load() : 0; }

void add_ns(timespec& time, int64_t ns) {
  const int64_t total_ns = time.tv_sec * kNsPerSecond + time.tv_nsec + ns;
  time.tv_sec = total_ns / kNsPerSecond;
  time.tv_nsec = total_ns % kNsPerSecond;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real_function = next_symbol<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real_function(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    add_ns(*time, wall_clock_step_ns());
  return result;
}

int gettimeofday(timeval* __restrict time, void* __restrict) {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  *time = {now.tv_sec, now.tv_nsec / 1000};
  return 0;
}

time_t time(time_t* result) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (result) *result = now.tv_sec;
  return now.tv_sec;
}

// Interrupts the wait halfway with EINTR, as SIGSTOP followed by SIGCONT does (signal(7)).
int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto real_function = next_symbol<int(int, epoll_event*, int, int)>("epoll_wait");
  SharedState* const state = shared_state();
  if (!state || state->interrupts.load() <= 0 || timeout == 0)
    return real_function(epoll, events, max_events, timeout);
  constexpr int kMaxHalfMs = 20;
  const int half_timeout_ms = timeout < 0 ? kMaxHalfMs : std::min(timeout / 2, kMaxHalfMs);
  const int ready = real_function(epoll, events, max_events, half_timeout_ms);
  if (ready != 0) return ready;
  state->interrupts.fetch_sub(1);
  state->step_ns += state->step_at_interrupt_ns;
  errno = EINTR;
  return -1;
}
}
