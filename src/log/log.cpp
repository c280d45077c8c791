// Formats log lines, suppresses repetitions and writes lines through spdlog.
#include "log/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <ctime>

#include "base/monotonic_clock.h"

namespace firvalve::log {
namespace {

constexpr Duration kRepeatWindow{1000};
constexpr std::string_view kLevels[] = {"debug", "info", "warning", "error"};

std::string format_time(Ms unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / 1000);
  const int ms = static_cast<int>(unix_ms - 1000.0 * static_cast<double>(seconds));
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), std::clamp(ms, 0, 999));
}

std::string json_string(std::string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return buffer.GetString();
}

// Quotes a value that is empty or contains a character with a meaning in logfmt.
std::string logfmt_value(const std::string& value) {
  const bool needs_no_quotes = !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127;
  });
  return needs_no_quotes ? value : json_string(value);
}

}  // namespace

std::string format_line(Form form, Ms unix_ms, Level level, std::string_view event,
                        const std::vector<Field>& fields) {
  const std::string_view name = kLevels[static_cast<size_t>(level)];
  if (form == Form::kJson) {
    std::string line = fmt::format(R"({{"time":"{}","level":"{}","event":{})", format_time(unix_ms), name,
                                   json_string(event));
    for (const Field& field : fields)
      line += fmt::format(R"(,"{}":{})", field.name, json_string(field.value));
    return line + "}";
  }
  std::string line = fmt::format("time={} level={} event={}", format_time(unix_ms), name, json_string(event));
  for (const Field& field : fields) line += fmt::format(" {}={}", field.name, logfmt_value(field.value));
  return line;
}

bool RepeatSuppressor::admit(TimePoint now, const std::string& line) {
  const auto at = seen_.find(line);
  if (at != seen_.end()) {
    ++at->second.suppressed;
    return false;
  }
  if (seen_.size() < kMaxLines) seen_[line] = {now, 0};
  return true;
}

std::vector<RepeatSuppressor::Suppressed> RepeatSuppressor::expire(TimePoint now) {
  std::vector<Suppressed> expired;
  for (auto at = seen_.begin(); at != seen_.end();) {
    if (now < at->second.since + window_) {
      ++at;
      continue;
    }
    if (at->second.suppressed > 0) expired.push_back({at->first, at->second.suppressed});
    at = seen_.erase(at);
  }
  return expired;
}

std::optional<TimePoint> RepeatSuppressor::next_expiry() const {
  std::optional<TimePoint> next;
  for (const auto& [line, seen] : seen_) next = earlier_of(next, std::optional(seen.since + window_));
  return next;
}

struct Log::Sink {
  Sink() : logger("firvalve", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
    logger.set_pattern("%v");
    logger.set_level(spdlog::level::trace);
    logger.flush_on(spdlog::level::trace);
  }
  spdlog::logger logger;
};

Log::Log(Form form, Level level)
    : form_(form), level_(level), repeats_(kRepeatWindow), sink_(std::make_unique<Sink>()) {}
Log::~Log() = default;

void Log::write_line(Level level, std::string_view event, const std::vector<Field>& fields) {
  static constexpr spdlog::level::level_enum kSpdlogLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                                spdlog::level::warn, spdlog::level::err};
  sink_->logger.log(kSpdlogLevels[static_cast<size_t>(level)],
                    format_line(form_, wall_clock_ms(), level, event, fields));
}

void Log::write(TimePoint now, Level level, std::string_view event, Fields fields) {
  if (level < level_) return;
  std::string line(event);
  for (const Field& field : fields) line.append(" ").append(field.name).append("=").append(field.value);
  if (!repeats_.admit(now, line)) {
    suppressed_levels_[line] = level;
    return;
  }
  write_line(level, event, fields);
}

void Log::write_suppressed(TimePoint now) {
  for (const auto& [line, times] : repeats_.expire(now)) {
    const auto level = suppressed_levels_.find(line);
    write_line(level == suppressed_levels_.end() ? Level::kInfo : level->second, "repeated",
               {{"line", line}, {"times", std::to_string(times)}});
    if (level != suppressed_levels_.end()) suppressed_levels_.erase(level);
  }
}

}  // namespace firvalve::log
