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

constexpr Ms kBurst = 1000;  // the same line within it is counted, not written
constexpr std::string_view kLevels[] = {"debug", "info", "warning", "error"};

std::string time_of(Ms unix_now) {
  const auto seconds = static_cast<std::time_t>(unix_now / 1000);
  const int ms = static_cast<int>(unix_now - 1000.0 * static_cast<double>(seconds));
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), std::clamp(ms, 0, 999));
}

std::string json_text(std::string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return buffer.GetString();
}

// A value stands bare where nothing in it could be taken for the form's own signs.
std::string logfmt_value(const std::string& value) {
  const bool bare = !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 127;
  });
  return bare ? value : json_text(value);
}

}  // namespace

std::string line_of(Form form, Ms unix_now, Level level, std::string_view event,
                    const std::vector<Field>& fields) {
  const std::string_view name = kLevels[static_cast<size_t>(level)];
  if (form == Form::kJson) {
    std::string line =
        fmt::format(R"({{"time":"{}","level":"{}","event":{})", time_of(unix_now), name, json_text(event));
    for (const Field& f : fields) line += fmt::format(R"(,"{}":{})", f.name, json_text(f.value));
    return line + "}";
  }
  std::string line = fmt::format("time={} level={} event={}", time_of(unix_now), name, json_text(event));
  for (const Field& f : fields) line += fmt::format(" {}={}", f.name, logfmt_value(f.value));
  return line;
}

bool Bursts::handle(Ms now, const std::string& line) {
  const auto at = seen_.find(line);
  if (at != seen_.end()) {
    ++at->second.unwritten;
    return false;
  }
  if (seen_.size() < kMost) seen_[line] = {now, 0};
  return true;
}

std::vector<std::pair<std::string, uint64_t>> Bursts::over(Ms now) {
  std::vector<std::pair<std::string, uint64_t>> all;
  for (auto at = seen_.begin(); at != seen_.end();) {
    if (now < at->second.since + window_) {
      ++at;
      continue;
    }
    if (at->second.unwritten > 0) all.emplace_back(at->first, at->second.unwritten);
    at = seen_.erase(at);
  }
  return all;
}

Ms Bursts::next_due() const {
  Ms due = 0;
  for (const auto& [line, seen] : seen_)
    due = due == 0 ? seen.since + window_ : std::min(due, seen.since + window_);
  return due;
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
    : form_(form), level_(level), bursts_(kBurst), sink_(std::make_unique<Sink>()) {}
Log::~Log() = default;

void Log::put(Level level, std::string_view event, const std::vector<Field>& fields) {
  static constexpr spdlog::level::level_enum kTo[] = {spdlog::level::debug, spdlog::level::info,
                                                      spdlog::level::warn, spdlog::level::err};
  sink_->logger.log(kTo[static_cast<size_t>(level)], line_of(form_, wall_clock_ms(), level, event, fields));
}

void Log::write(Ms now, Level level, std::string_view event, Fields fields) {
  if (level < level_) return;
  std::string same(event);
  for (const Field& f : fields) same.append(" ").append(f.name).append("=").append(f.value);
  if (!bursts_.handle(now, same)) {
    levels_[same] = level;
    return;
  }
  put(level, event, fields);
}

void Log::due(Ms now) {
  for (const auto& [line, count] : bursts_.over(now)) {
    const auto level = levels_.find(line);
    put(level == levels_.end() ? Level::kInfo : level->second, "repeated",
        {{"line", line}, {"times", std::to_string(count)}});
    if (level != levels_.end()) levels_.erase(level);
  }
}

}  // namespace firvalve::log
