// `firvalve call --paged` and `--resume`: a result read page by page into a file or to standard output.
#pragma once

#include <cstdint>
#include <string>

#include "client/client.h"

namespace firvalve {

struct PagedCallOptions {
  client::Options client;
  client::Command command;
  std::string output_file;   // empty: standard output
  std::string resume_token;  // not empty: its result is read on, and no statement is sent
  uint64_t first_page = 1;   // with resume_token; from 2 on the file is appended to
  bool is_quiet = false;
};

// Returns the exit code. Throws std::invalid_argument where the options are of no use.
int run_paged_call(const PagedCallOptions& options);

}  // namespace firvalve
