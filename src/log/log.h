// Structured logs: one line an event, as logfmt or JSON, on standard error. The same line in a burst is
// written once and then counted. One thread.
#pragma once

#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.h"

namespace firvalve::log {

enum class Level { kDebug, kInfo, kWarning, kError };
enum class Form { kLogfmt, kJson };

struct Field {
  std::string_view name;  // letters, digits and underscores
  std::string value;
};
using Fields = std::initializer_list<Field>;

// `time=2026-12-01T18:10:29.123Z level=info event="serving" ...`, or the same as a JSON object. Times are
// UTC.
std::string line_of(Form form, Ms unix_now, Level level, std::string_view event,
                    const std::vector<Field>& fields);

// Which lines of a burst are written. No clock, bounded: lines beyond those it remembers are written each
// time.
class Bursts {
 public:
  explicit Bursts(Ms window) : window_(window) {}
  // False: the same has been written within the window; it is counted.
  bool handle(Ms now, const std::string& line);
  // Lines whose window is over, with how often they came unwritten.
  std::vector<std::pair<std::string, uint64_t>> over(Ms now);
  Ms next_due() const;  // 0: nothing is due

 private:
  struct Seen {
    Ms since = 0;
    uint64_t unwritten = 0;
  };
  static constexpr size_t kMost = 256;
  Ms window_;
  std::map<std::string, Seen> seen_;
};

class Log {
 public:
  explicit Log(Form form = Form::kLogfmt, Level level = Level::kInfo);
  ~Log();
  void set(Form form, Level level) {
    form_ = form;
    level_ = level;
  }
  Level level() const { return level_; }
  // `now` measures bursts alone; the time of a line is the wall clock's.
  void write(Ms now, Level level, std::string_view event, Fields fields = {});
  void due(Ms now);  // tells the counts of bursts that are over
  Ms next_due() const { return bursts_.next_due(); }

 private:
  struct Sink;
  void put(Level level, std::string_view event, const std::vector<Field>& fields);
  Form form_;
  Level level_;
  Bursts bursts_;
  std::map<std::string, Level> levels_;  // of lines in bursts
  std::unique_ptr<Sink> sink_;
};

}  // namespace firvalve::log
