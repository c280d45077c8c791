// Progress of a run for a person: one line rewritten on a terminal, plain lines elsewhere.
#pragma once

#include <cstdio>
#include <string>

namespace firvalve::loadtest {

class ProgressLine {
 public:
  // To a stream that stays open; a quiet one prints nothing.
  ProgressLine(std::FILE* stream, bool is_quiet);
  ~ProgressLine();
  ProgressLine(const ProgressLine&) = delete;
  ProgressLine& operator=(const ProgressLine&) = delete;

  void show(const std::string& line);
  // Takes the line off a terminal, so that what is printed next stands by itself.
  void clear();

 private:
  std::FILE* const stream_;
  const bool is_quiet_;
  const bool is_terminal_;
  bool is_shown_ = false;
};

}  // namespace firvalve::loadtest
