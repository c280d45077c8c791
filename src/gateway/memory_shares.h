// How the memory limit of the process is divided among the parts that grow with what clients and peers send.
#pragma once

#include <cstddef>

namespace firvalve {

// What takes memory before any client has connected.
struct FixedMemory {
  double program_bytes = 0;       // resident after the start: code, libraries, the configuration
  double result_store_bytes = 0;  // what the operator's file grants to paged results
};

// The most that each part may take.
struct MemoryShares {
  size_t buffer_bytes = 0;           // buffers of all connections
  size_t command_bytes = 0;          // pending commands with their statements
  size_t register_bytes = 0;         // a replica's registers
  size_t cluster_request_bytes = 0;  // requests that wait for the cluster's agreement
};

// Divides what is left of the limit. A part of it stays free, for rows that are being received and for what
// the allocator cannot reuse. At least half of the limit is divided: a process that needs more than that for
// itself can run only with few clients.
MemoryShares divide_memory(double limit_bytes, const FixedMemory& fixed);

}  // namespace firvalve
