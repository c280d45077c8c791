// The operator's own file: JSON with comments and trailing commas. Everything in it is optional; without the
// file, and with an empty one, the gateway is what it was. Nothing is used of a file in which anything is
// wrong.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "index/units.h"

namespace firvalve::config {

struct Operator {
  struct Clients {
    bool marks = false;  // read marks of repeats, and join a repeat to what it repeats
  } clients;
  struct Spool {
    bool on = false;                // paged results for clients that ask for them
    double memory_mb = 8;           // for pages in memory
    std::string folder;             // for segment files; empty: memory alone
    double disk_mb = 256;           // for pages on disk, where a folder is named
    double lease_s = 60;            // since its last read, a result is kept
    double result_mb = 64;          // of one result
    double page_kb = 6;             // of an engine's page
    double first_expected_kb = 64;  // of a result of which nothing is known
    double results = 10000;         // kept at once
  } spool;
  struct Log {
    std::string level = "info", form = "logfmt";
  } log;
};

struct Fault {
  int line = 0;      // from 1; 0: of the whole file
  std::string path;  // as in "spool.memory_mb"; empty: of none
  std::string text;  // what is wrong, and what would do
};

struct Reading {
  Operator values;
  std::vector<Fault> faults;  // all that were found, in the file's order
  bool good() const { return faults.empty(); }
};

Reading read_operator(std::string_view text);
// Reads the file; one that cannot be read is a fault, too.
Reading read_operator_file(const std::string& path);

// "PATH:LINE: FIELD: TEXT".
std::string line_of(const std::string& file, const Fault& fault);
// All fields with their values and units, a line each, in the table's order.
std::string described(const Operator& values);

}  // namespace firvalve::config
