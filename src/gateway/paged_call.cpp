#include "gateway/paged_call.h"

#include <unistd.h>

#include <cstdio>
#include <utility>

#include "gateway/call_report.h"

namespace firvalve {
namespace {

using client::Outcome;
using Next = client::PageReader::Next;
using PrintfUint = unsigned long long;

// Standard output, or a file that the destructor closes.
class Output {
 public:
  Output(const std::string& file_name, bool appends)
      : is_file_(!file_name.empty()),
        stream_(is_file_ ? std::fopen(file_name.c_str(), appends ? "ab" : "wb") : stdout) {}
  ~Output() {
    if (is_file_ && stream_) std::fclose(stream_);
  }
  Output(const Output&) = delete;
  Output& operator=(const Output&) = delete;

  bool is_open() const { return stream_ != nullptr; }
  bool write(const std::string& rows) {
    return std::fwrite(rows.data(), 1, rows.size(), stream_) == rows.size();
  }
  // Flushes standard output or closes the file. Returns false if not everything could be written.
  bool finish() {
    std::FILE* const stream = std::exchange(stream_, nullptr);
    return (is_file_ ? std::fclose(stream) : std::fflush(stream)) == 0;
  }

 private:
  const bool is_file_;
  std::FILE* stream_;
};

// Copies all remaining pages. Returns the reader's last result, or kFailed if a page cannot be written.
Next copy_pages(const PagedCallOptions& options, client::PageReader& pages, Output& output) {
  const bool shows_progress =
      !options.is_quiet && ::isatty(STDERR_FILENO) != 0 && !options.output_file.empty();
  std::string rows;
  Next next;
  while ((next = pages.next(rows)) == Next::kPage) {
    if (!output.write(rows)) {
      std::fprintf(stderr, "firvalve call: cannot write %s; the last complete page is %llu\n",
                   options.output_file.c_str(), static_cast<PrintfUint>(pages.last_page() - 1));
      next = Next::kFailed;
      break;
    }
    if (shows_progress)
      std::fprintf(stderr, "\rpage %llu of %llu", static_cast<PrintfUint>(pages.last_page()),
                   static_cast<PrintfUint>(pages.pages()));
  }
  if (shows_progress) std::fputc('\n', stderr);
  return next;
}

int read_pages(const PagedCallOptions& options, client::PageReader& pages) {
  Output output(options.output_file, options.first_page > 1);
  if (!output.is_open()) {
    std::fprintf(stderr, "firvalve call: cannot open %s for writing\n", options.output_file.c_str());
    return kExitUsage;
  }
  Next next = copy_pages(options, pages, output);
  if (!output.finish()) next = Next::kFailed;
  if (next == Next::kEnd) {
    pages.release();
    return kExitAnswered;
  }
  if (!options.is_quiet)
    std::fprintf(stderr, "firvalve call: %s; the last page read is %llu\n",
                 next == Next::kGone ? "the result no longer exists" : "no gateway answered",
                 static_cast<PrintfUint>(pages.last_page()));
  return kExitFailed;
}

}  // namespace

int run_paged_call(const PagedCallOptions& options) {
  client::Client client(options.client);
  if (!options.resume_token.empty()) {
    client::PageReader pages(client, options.client.gateways, options.resume_token, options.command.key,
                             options.first_page, {});
    return read_pages(options, pages);
  }
  const client::Result result = client.call(options.command);
  if (result.outcome != Outcome::kAnswered) {
    if (!options.is_quiet) print_result(result);
    return exit_code_of(result);
  }
  if (!options.is_quiet && !result.token.empty())
    std::fprintf(stderr, "firvalve call: token %s at %s, %llu pages, %llu rows\n", result.token.c_str(),
                 result.gateway.c_str(), static_cast<PrintfUint>(result.pages),
                 static_cast<PrintfUint>(result.total_rows));
  client::PageReader pages(client, result, options.command.key, {});
  return read_pages(options, pages);
}

}  // namespace firvalve
