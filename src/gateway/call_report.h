// The output of `firvalve call`: exit codes, messages on standard error and the summary of --json.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "client/client.h"

namespace firvalve {

constexpr int kExitAnswered = 0, kExitUsage = 2, kExitRefused = 3, kExitFailed = 4, kExitUnknown = 5;

int exit_code_of(const client::Result& result);

// Writes the outcome of a call that was not answered to standard error.
void print_result(const client::Result& result);

// The outcomes and latencies of the calls of one run. add() may be called from any thread.
class CallReport {
 public:
  void add(const client::Result& result, Duration latency);  // latency: since the intended start
  int exit_code() const { return exit_code_; }               // the highest exit code of all calls
  // Returns one line of JSON. Call it only after all calls have ended.
  std::string json_summary(const client::Stats& stats, Duration run_time);

 private:
  std::mutex mutex_;
  std::array<uint64_t, 5> outcome_counts_{};  // indexed by client::Outcome
  std::vector<double> answered_latencies_ms_;
  int exit_code_ = kExitAnswered;
};

}  // namespace firvalve
