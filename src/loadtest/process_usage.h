// What the kernel tells of another process: processor time, memory, connections. Linux alone.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>

namespace firvalve::loadtest {

// User and system time of all threads. Throws ScaleError where there is no such process.
double processor_seconds(pid_t process);

// Its own memory. What the kernel holds for its sockets belongs to no process and isn't part of it.
struct MemoryUse {
  double resident_mb = 0;
  double peak_mb = 0;  // the most that was ever resident
};
MemoryUse memory_of(pid_t process);

// Established IPv4 connections of the process to peers at 127.FIRST.0.0 to 127.LAST.255.255.
struct LoopbackRange {
  int first = 0;
  int last = 255;
};
size_t connections_to(pid_t process, LoopbackRange peers);

// Raises the limit of descriptors as far as it goes, and throws ScaleError where that is less than `wanted`.
void need_descriptors(size_t wanted);

}  // namespace firvalve::loadtest
