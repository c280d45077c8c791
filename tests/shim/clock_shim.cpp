// A library for tests, loaded into the real program by LD_PRELOAD: steps the wall clock under it and
// interrupts its waits, as an operator's clock daemon and a debugger would. The monotonic clock is left
// alone.
//
// FIRVALVE_CLOCK_FILE names a file of three 64-bit numbers, which the test may change at any time:
//   the step of the wall clock, in ns; how many waits are still to be interrupted (EINTR); by how much each
//   of these steps the wall clock, in ns.
// Without the variable nothing is changed.
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

constexpr int64_t kSecond = 1000000000;

struct Shared {
  std::atomic<int64_t> step_ns;
  std::atomic<int64_t> interrupts;
  std::atomic<int64_t> step_at_interrupt_ns;
};

Shared* shared() {
  static Shared* const mapped = []() -> Shared* {
    const char* const path = std::getenv("FIRVALVE_CLOCK_FILE");
    if (!path) return nullptr;
    const int descriptor = ::open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return nullptr;
    void* const at = ::mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    return at == MAP_FAILED ? nullptr : static_cast<Shared*>(at);
  }();
  return mapped;
}

template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

int64_t step() { return shared() ? shared()->step_ns.load() : 0; }

void add(timespec& time, int64_t ns) {
  const int64_t all = time.tv_sec * kSecond + time.tv_nsec + ns;
  time.tv_sec = all / kSecond;
  time.tv_nsec = all % kSecond;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto real = next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) add(*time, step());
  return result;
}

int gettimeofday(timeval* __restrict time, void* __restrict) {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  *time = {now.tv_sec, now.tv_nsec / 1000};
  return 0;
}

time_t time(time_t* told) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (told) *told = now.tv_sec;
  return now.tv_sec;
}

// Interrupted as by a stop and a continue (signal(7)): half of the wait has gone by then.
int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto real = next<int(int, epoll_event*, int, int)>("epoll_wait");
  Shared* const told = shared();
  if (!told || told->interrupts.load() <= 0 || timeout == 0) return real(epoll, events, most, timeout);
  constexpr int kLongestHalf = 20;  // ms
  const int half = timeout < 0 ? kLongestHalf : std::min(timeout / 2, kLongestHalf);
  const int ready = real(epoll, events, most, half);
  if (ready != 0) return ready;
  told->interrupts.fetch_sub(1);
  told->step_ns += told->step_at_interrupt_ns;
  errno = EINTR;
  return -1;
}
}
