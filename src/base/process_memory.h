// Memory of a process as the kernel reports it. Linux only.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>

namespace firvalve {

// Kernel socket buffers are not attributed to a process and are not included.
struct ProcessMemory {
  size_t resident_bytes = 0;
  size_t peak_bytes = 0;  // the highest resident size since the process started
};

// `process`: its id, or "self". Empty: the process does not exist, or /proc cannot be read.
inline std::optional<ProcessMemory> read_process_memory(const std::string& process) {
  constexpr size_t kBytesPerKilobyte = 1024;
  std::ifstream status("/proc/" + process + "/status");
  ProcessMemory memory;
  for (std::string line; std::getline(status, line);) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::string_view name = std::string_view(line).substr(0, colon);
    if (name == "VmHWM") memory.peak_bytes = std::stoul(line.substr(colon + 1)) * kBytesPerKilobyte;
    if (name == "VmRSS") memory.resident_bytes = std::stoul(line.substr(colon + 1)) * kBytesPerKilobyte;
  }
  return memory.resident_bytes > 0 ? std::optional(memory) : std::nullopt;
}

}  // namespace firvalve
