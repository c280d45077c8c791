// Shows the progress of a run: one line that is overwritten on a terminal, separate lines otherwise.
#pragma once

#include <cstdio>
#include <string>

namespace firvalve::loadtest {

// Writes progress lines to a stream and clears the last one on destruction.
class ProgressLine {
 public:
  // `stream` must outlive this object. Prints nothing if `is_quiet`.
  ProgressLine(std::FILE* stream, bool is_quiet);
  ~ProgressLine();
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

  void show(const std::string& line);
  // Erases the line on a terminal, so that the next output starts on an empty line.
  void clear();

 private:
  std::FILE* const stream_;
  const bool is_quiet_;
  const bool is_terminal_;
  bool is_shown_ = false;
};

}  // namespace firvalve::loadtest
