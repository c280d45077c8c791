// Resource usage of another process as reported by the kernel: CPU time, memory, connections. Linux only.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace firvalve::loadtest {

// Returns the user and system CPU time of all threads. Throws ScaleError if the process does not exist.
double processor_seconds(pid_t process);

// Memory of the process itself. Kernel socket buffers are not attributed to a process and are not included.
struct MemoryUse {
  double resident_mb = 0;
  double peak_mb = 0;  // peak resident size since the process started
};
MemoryUse memory_of(pid_t process);

// Second octets of the loopback addresses 127.FIRST.0.0 to 127.LAST.255.255.
struct LoopbackRange {
  int first = 0;
  int last = 255;
};
// Counts the established IPv4 connections of the process to peers in this range.
size_t connections_to(pid_t process, LoopbackRange peers);

// Raises the descriptor limit to its hard limit, and throws ScaleError if that is below `wanted`.
void need_descriptors(size_t wanted);

}  // namespace firvalve::loadtest
