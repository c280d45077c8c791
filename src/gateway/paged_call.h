// `firvalve call --paged` and `--resume`: reads a result page by page into a file or to standard output.
#pragma once

#include <cstdint>
#include <string>

#include "client/client.h"

namespace firvalve {

struct PagedCallOptions {
  client::Options client;
  client::Command command;
  std::string output_file;   // empty: standard output
  std::string resume_token;  // not empty: continues to read its result and sends no statement
  uint64_t first_page = 1;   // with resume_token; if above 1, the file is appended to
  bool is_quiet = false;
};

// Returns the exit code. Throws std::invalid_argument if the client's options are invalid.
int run_paged_call(const PagedCallOptions& options);

}  // namespace firvalve
