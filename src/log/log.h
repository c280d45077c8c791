// Structured logs on standard error: one event a line, as logfmt or JSON. A line that repeats within a second
// is written once and then counted.
//
// One thread: the event loop's.
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

// `time=2026-12-01T18:10:29.123Z level=info event="serving" ...`, or the same as a JSON object, without a
// line feed. `unix_ms`: milliseconds since the Unix epoch; the time is written in UTC.
std::string format_line(Form form, Ms unix_ms, Level level, std::string_view event,
                        const std::vector<Field>& fields);

// Decides which of the lines that repeat within a window are written. No clock. Memory is bounded: a line
// beyond those it remembers is written each time.
class RepeatSuppressor {
 public:
  explicit RepeatSuppressor(Duration window) : window_(window) {}

  // Whether the line is to be written. If not, the same was written within the window, and it is counted.
  bool admit(TimePoint now, const std::string& line);

  struct Suppressed {
    std::string line;
    uint64_t times = 0;
    auto operator<=>(const Suppressed&) const = default;
  };
  // Forgets lines whose window has passed. Gives those that were suppressed meanwhile, with how often.
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
  Level level() const { return level_; }  // the least that is written

  // `now` only measures how long a line has been repeating; the line has the wall clock's time.
  void write(TimePoint now, Level level, std::string_view event, Fields fields = {});
  // Writes an event `repeated`, with the line and how often, for each line that was suppressed and whose
  // window has passed.
  void write_suppressed(TimePoint now);
  // When write_suppressed() is to be called. Nothing: no line is waiting.
  std::optional<TimePoint> next_due() const { return repeats_.next_expiry(); }

 private:
  struct Sink;
  void put(Level level, std::string_view event, const std::vector<Field>& fields);

  Form form_;
  Level level_;
  RepeatSuppressor repeats_;
  std::map<std::string, Level> suppressed_levels_;  // by line
  std::unique_ptr<Sink> sink_;
};

}  // namespace firvalve::log
