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
