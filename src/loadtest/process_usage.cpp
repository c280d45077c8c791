// Reads resource usage from /proc and the CPU clock of a process.
#include "loadtest/process_usage.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>
#include <unordered_set>

#include "base/process_memory.h"
#include "loadtest/parts.h"

namespace firvalve::loadtest {
namespace {

constexpr double kBytesPerMegabyte = 1024 * 1024;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::string_view kEstablished = "01";  // TCP state in /proc/net/tcp

// Returns the inodes of the open sockets of the process.
std::unordered_set<std::string> sockets_of(pid_t process) {
  constexpr std::string_view kPrefix = "socket:[";
  std::unordered_set<std::string> inodes;
  std::error_code ended;  // `closed` below: a descriptor may close during the scan
  const std::filesystem::path folder = fmt::format("/proc/{}/fd", process);
  for (const auto& entry : std::filesystem::directory_iterator(folder, ended)) {
    std::error_code closed;
    const std::string target = std::filesystem::read_symlink(entry.path(), closed).string();
    if (closed || !target.starts_with(kPrefix)) continue;
    inodes.insert(target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
  }
  if (ended) throw ScaleError(fmt::format("process {} has ended", process));
  return inodes;
}

// Parses an IPv4 address of /proc/net/tcp: a hexadecimal number whose bytes in memory order are the address.
std::array<int, 4> bytes_of(std::string_view address) {
  uint32_t number = 0;
  std::from_chars(address.data(), address.data() + address.size(), number, 16);
  std::array<int, 4> bytes{};
  for (size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<int>(number >> (8 * i) & 0xff);
  return bytes;
}

}  // namespace

double processor_seconds(pid_t process) {
  clockid_t clock = 0;
  timespec used{};
  if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &used) != 0)
    throw ScaleError(fmt::format("process {} has ended", process));
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / kNanosecondsPerSecond;
}

MemoryUse memory_of(pid_t process) {
  const std::optional<ProcessMemory> memory = read_process_memory(std::to_string(process));
  if (!memory) throw ScaleError(fmt::format("process {} has ended", process));
  return {static_cast<double>(memory->resident_bytes) / kBytesPerMegabyte,
          static_cast<double>(memory->peak_bytes) / kBytesPerMegabyte};
}

size_t connections_to(pid_t process, LoopbackRange peers) {
  const std::unordered_set<std::string> inodes = sockets_of(process);
  std::ifstream table(fmt::format("/proc/{}/net/tcp", process));
  std::string line;
  std::getline(table, line);  // skips the header
  size_t count = 0;
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
    words >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
    const std::array<int, 4> address = bytes_of(std::string_view(remote).substr(0, remote.find(':')));
    const bool in_range = address[0] == 127 && address[1] >= peers.first && address[1] <= peers.last;
    if (state == kEstablished && in_range && inodes.contains(inode)) ++count;
  }
  return count;
}

void need_descriptors(size_t wanted) {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max < wanted)
    throw ScaleError(
        fmt::format("{} descriptors are needed, the limit is {}: see ulimit -Hn", wanted, limit.rlim_max));
}

}  // namespace firvalve::loadtest
