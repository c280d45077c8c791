#include "gateway/call_report.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace firvalve {

using client::Outcome;

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

double quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

void write_count(JsonWriter& writer, const std::string& name, uint64_t value) {
  writer.Key(name.c_str());
  writer.Uint64(value);
}

void write_latencies(JsonWriter& writer, const std::vector<double>& sorted_ms) {
  static constexpr std::pair<const char*, double> kQuantiles[] = {
      {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"max", 1.0}};
  writer.Key("latency_ms");
  writer.StartObject();
  for (const auto& [name, fraction] : kQuantiles) {
    writer.Key(name);
    writer.Double(quantile(sorted_ms, fraction));
  }
  writer.EndObject();
}

}  // namespace

int exit_code_of(const client::Result& result) {
  switch (result.outcome) {
    case Outcome::kAnswered:
      return kExitAnswered;
    case Outcome::kRefused:
      return kExitRefused;
    case Outcome::kFailed:
      return kExitFailed;
    case Outcome::kUnknown:
      return kExitUnknown;
    case Outcome::kExpired:
      return result.may_have_run ? kExitUnknown : kExitFailed;
  }
  return kExitFailed;
}

void print_result(const client::Result& result) {
  if (result.outcome == Outcome::kAnswered) return;
  std::string line = fmt::format("firvalve call: {}", client::name_of(result.outcome));
  if (result.cancelled) line += ", cancelled";
  if (!result.why.empty()) line += ": " + result.why;
  if (result.retry_after_ms > 0) line += fmt::format("; retry after {:.0f} ms", result.retry_after_ms);
  if (result.outcome != Outcome::kRefused)
    line += result.may_have_run ? "; it may have run" : "; it did not run";
  std::fprintf(stderr, "%s\n", line.c_str());
}

void CallReport::add(const client::Result& result, Duration latency) {
  const std::lock_guard lock(mutex_);
  ++outcome_counts_[static_cast<size_t>(result.outcome)];
  if (result.outcome == Outcome::kAnswered) answered_latencies_ms_.push_back(to_ms(latency));
  exit_code_ = std::max(exit_code_, exit_code_of(result));
}

std::string CallReport::json_summary(const client::Stats& stats, Duration run_time) {
  std::sort(answered_latencies_ms_.begin(), answered_latencies_ms_.end());
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(3);
  writer.StartObject();
  write_count(writer, "calls", stats.calls);
  for (size_t i = 0; i < outcome_counts_.size(); ++i)
    write_count(writer, std::string(client::name_of(static_cast<Outcome>(i))), outcome_counts_[i]);
  write_count(writer, "sends", stats.attempts);
  write_count(writer, "repeats", stats.retries + stats.idle_close_retries);
  write_count(writer, "stopped_here", stats.refused_without_attempt);
  write_count(writer, "connects", stats.connects);
  write_count(writer, "reconnects", stats.reconnects);
  write_count(writer, "late_answers", stats.late_answers);
  writer.Key("seconds");
  writer.Double(to_ms(run_time) / 1000);
  write_latencies(writer, answered_latencies_ms_);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace firvalve
