// Structured logging to standard error: one event per line, as logfmt or JSON. A line that repeats within a
// second is written once; the repetitions are counted and reported.
//
// Not thread-safe: used only on the event loop's thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace firvalve::log {

enum class Level { kDebug, kInfo, kWarning, kError };
enum class Form { kLogfmt, kJson };

struct Field {
  std::string_view name;  // letters, digits and underscores
  std::string value;
};
using Fields = std::initializer_list<Field>;

// Formats `time=2026-12-01T18:10:29.123Z level=info event="serving" ...`, or the same as a JSON object,
// without a line feed. `unix_ms`: milliseconds since the Unix epoch; the time is written in UTC.
std::string format_line(Form form, Ms unix_ms, Level level, std::string_view event,
                        const std::vector<Field>& fields);

// Suppresses lines that repeat within a time window. Reads no clock. Memory is bounded: it remembers at most
// kMaxLines lines, and any further line is written each time.
class RepeatSuppressor {
 public:
  explicit RepeatSuppressor(Duration window) : window_(window) {}

  // Whether to write the line. False if the same line was written within the window; it is then counted.
  bool admit(TimePoint now, const std::string& line);

  struct Suppressed {
    std::string line;
    uint64_t times = 0;
    auto operator<=>(const Suppressed&) const = default;
  };
  // Removes lines whose window has passed. Returns those that were suppressed, with the number of times.
  std::vector<Suppressed> expire(TimePoint now);
  std::optional<TimePoint> next_expiry() const;

 private:
  struct Seen {
    TimePoint since;
    uint64_t suppressed = 0;
  };
  static constexpr size_t kMaxLines = 256;
  Duration window_;
  std::map<std::string, Seen> seen_;
};

class Log {
 public:
  explicit Log(Form form = Form::kLogfmt, Level level = Level::kInfo);
  ~Log();

  void configure(Form form, Level level) {
    form_ = form;
    level_ = level;
  }
  Level level() const { return level_; }  // the lowest level that is written

  // `now` is used only for the repeat window; the line shows the wall clock's time.
  void write(TimePoint now, Level level, std::string_view event, Fields fields = {});
  // Writes one event `repeated` for each suppressed line whose window has passed, with the line and the
  // number of times.
  void write_suppressed(TimePoint now);
  // When write_suppressed() must be called. Nothing if no window is open.
  std::optional<TimePoint> next_due() const { return repeats_.next_expiry(); }

 private:
  struct Sink;
  void write_line(Level level, std::string_view event, const std::vector<Field>& fields);

  Form form_;
  Level level_;
  RepeatSuppressor repeats_;
  std::map<std::string, Level> suppressed_levels_;  // by line
  std::unique_ptr<Sink> sink_;
};

}  // namespace firvalve::log
