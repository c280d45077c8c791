// The operator's own file: JSON with comments and trailing commas. Everything in it is optional; without the
// file, and with an empty one, the gateway is what it was. Nothing is used of a file in which anything is
// wrong.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.h"

namespace firvalve::config {

struct OperatorConfig {
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
  struct Fleet {
    bool on = false;                   // this gateway talks with its peers
    std::string site;                  // where it stands: a lodge, an office
    std::string listen;                // HOST:PORT for its peers
    std::string reached_at;            // the address that they reach it at; empty: listen
    std::vector<std::string> keepers;  // three, five or seven addresses, the same in every file
    std::string folder;                // of a keeper: what it promised outlives it; empty: memory alone
    double lease_ms = 3000;            // of a duty
    std::vector<std::string> duties;   // that it is willing to hold: names, or kinds as "trial:*"
    bool trusted_network =
        false;  // addresses off the loopback are allowed: nobody else hears or speaks there
    const std::string& name() const { return reached_at.empty() ? listen : reached_at; }
  } fleet;
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
  OperatorConfig values;
  std::vector<Fault> faults;         // all that were found, in the file's order
  std::map<std::string, int> lines;  // where each field stands
  bool good() const { return faults.empty(); }
};

Reading read_operator(std::string_view text);
// Reads the file; one that cannot be read is a fault, too.
Reading read_operator_file(const std::string& path);

// "PATH:LINE: FIELD: TEXT".
std::string line_of(const std::string& file, const Fault& fault);
// All fields with their values and units, a line each, in the table's order.
std::string described(const OperatorConfig& values);

}  // namespace firvalve::config
