// One client that sends requests which are not served, on one connection and as fast as it can.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ostream>
#include <string>
#include <thread>

#include "base/process_memory.h"
#include "gateway/logged_gateway_fixture.h"
#include "loadtest/process_usage.h"
#include "sanitized.h"

namespace firvalve {
namespace {

constexpr std::chrono::seconds kFloodTime(2);
constexpr size_t kMaxGrowthBytes = size_t{4} * 1024 * 1024;

std::string revoke_of(int id) {
  return R"({"jsonrpc":"2.0","method":"revoke","params":{"id":)" + std::to_string(id) + "}}";
}

struct FloodKind {
  const char* name;
  std::string (*message)(int number);
};

void PrintTo(const FloodKind& kind, std::ostream* out) { *out << kind.name; }

const FloodKind kFloodKinds[] = {
    {"Unsound", [](int) { return framed("{}"); }},
    {"Heartbeats", [](int) { return framed(kHeartbeat); }},
    {"UnknownMethods",
     [](int number) {
       const std::string method = fmt::format("m{}", number);
       return framed(command_request(number, "select 1", 4000, method.c_str()));
     }},
    {"RevokedCommands",
     [](int number) {
       return framed(command_request(number, "select 1", 4000, "load")) + framed(revoke_of(number));
     }},
    {"ManyFields", [](int) { return framed(std::string(100001, '[')); }},
};

class Flood : public LoggedGateway, public testing::WithParamInterface<FloodKind> {
 protected:
  Flood() : LoggedGateway(3) {}
  void SetUp() override { start(deployment_.config(address_)); }

  // Sends until the time is over; answers are read by another thread.
  void send_flood(RawClient& client) {
    std::thread reader([&] { client.read_until_close(); });
    const auto until = std::chrono::steady_clock::now() + kFloodTime;
    std::string bytes;
    for (int number = 1; std::chrono::steady_clock::now() < until; ++number) {
      bytes += GetParam().message(number);
      if (bytes.size() < 50000) continue;
      client.send_bytes_until(bytes, until);
      bytes.clear();
    }
    client.close();
    reader.join();
  }
};

TEST_P(Flood, LeavesMemoryAndMostOfTheProcessorToOthers) {
  RawClient usual(address_);
  EXPECT_TRUE(contains(usual.exchange(command_request(1 << 24, "select 1")), R"("result")"));
  RawClient flooding(address_);
  const std::string process = std::to_string(process_->id());
  const size_t resident_before = read_process_memory(process).value().resident_bytes;
  const double used_before = loadtest::processor_seconds(process_->id());
  std::thread flood([&] { send_flood(flooding); });
  std::chrono::steady_clock::duration slowest{};
  for (int i = 1; i <= 20; ++i) {
    const auto sent_at = std::chrono::steady_clock::now();
    const std::string answer = usual.exchange(command_request((1 << 24) + i, "select 1"));
    EXPECT_TRUE(contains(answer, R"("result")")) << answer;
    slowest = std::max(slowest, std::chrono::steady_clock::now() - sent_at);
    ::usleep(50000);
  }
  flood.join();
  EXPECT_LT(loadtest::processor_seconds(process_->id()) - used_before, kFloodTime.count() / 2.0);
  if (!kIsSanitized) {
    EXPECT_LT(read_process_memory(process).value().resident_bytes, resident_before + kMaxGrowthBytes);
  }
  EXPECT_LT(slowest, std::chrono::milliseconds(800));  // the latency target of the profile
}

INSTANTIATE_TEST_SUITE_P(Kinds, Flood, testing::ValuesIn(kFloodKinds),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace firvalve
