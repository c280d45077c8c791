// Implements the progress line.
#include "loadtest/progress_line.h"

#include <sys/ioctl.h>
#include <unistd.h>

namespace firvalve::loadtest {
namespace {

constexpr const char* kClearLine = "\r\033[K";
constexpr size_t kDefaultColumns = 80;

size_t columns_of(std::FILE* terminal) {
  winsize size{};
  if (ioctl(fileno(terminal), TIOCGWINSZ, &size) != 0 || size.ws_col < 2) return kDefaultColumns;
  return size.ws_col;
}

}  // namespace

ProgressLine::ProgressLine(std::FILE* stream, bool is_quiet)
    : stream_(stream), is_quiet_(is_quiet), is_terminal_(isatty(fileno(stream)) == 1) {}

ProgressLine::~ProgressLine() { clear(); }

void ProgressLine::show(const std::string& line) {
  if (is_quiet_) return;
  if (!is_terminal_) {
    std::fprintf(stream_, "%s\n", line.c_str());
    return;
  }
  const std::string fitting = line.substr(0, columns_of(stream_) - 1);
  std::fprintf(stream_, "%s%s", kClearLine, fitting.c_str());
  std::fflush(stream_);
  is_shown_ = true;
}

void ProgressLine::clear() {
  if (!is_shown_) return;
  std::fputs(kClearLine, stream_);
  std::fflush(stream_);
  is_shown_ = false;
}

}  // namespace firvalve::loadtest
