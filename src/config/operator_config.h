// The operator's configuration file: JSON with comments and trailing commas. Every field is optional. Nothing
// is used of a file in which anything is wrong.
//
// The members of OperatorConfig have the names and units of the file's keys (`spool.memory_mb`), which are
// the operators' and do not change; their ranges are in fields.cpp.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace firvalve::config {

struct OperatorConfig {
  struct Clients {
    bool marks = false;  // read retry markers, and answer a retry together with the command it retries
  } clients;

  // The result store: results of paged commands.
  struct Spool {
    bool on = false;                // clients that ask for them get paged results
    double memory_mb = 8;           // budget of pages in memory
    std::string folder;             // of segment files; empty: pages are in memory only
    double disk_mb = 256;           // budget of pages on disk, where there is a folder
    double lease_s = 60;            // how long a result is kept since it was last read
    double result_mb = 64;          // limit of one result
    double page_kb = 6;             // size of the pages that engines are asked for
    double first_expected_kb = 64;  // expected size of a result, before any of its profile is known
    double results = 10000;         // limit of results kept at once
  } spool;

  // The cluster of gateways: replicated registers and the leases kept in them.
  struct Fleet {
    bool on = false;         // take part in the cluster
    std::string site;        // where this gateway stands: a lodge, an office
    std::string listen;      // HOST:PORT for connections from peers
    std::string reached_at;  // the address that peers connect to; empty: the same as `listen`
    std::vector<std::string>
        keepers;             // addresses of the acceptors: three, five or seven, the same in every file
    std::string folder;      // of an acceptor's durable state; empty: it is in memory only
    double lease_ms = 3000;  // how long a lease lasts without renewal
    std::vector<std::string> duties;  // the leases this gateway may hold: KIND:NAME, or KIND:* for any name
    bool trusted_network = false;  // peers may have addresses off the loopback: connections are not encrypted

    // The address that names this gateway among its peers.
    const std::string& advertised_address() const { return reached_at.empty() ? listen : reached_at; }
  } fleet;

  struct Log {
    std::string level = "info";   // debug, info, warning or error: the least that is written
    std::string form = "logfmt";  // logfmt or json
  } log;
};

enum class DiagnosticCode {
  kUnreadableFile,
  kFileTooLarge,
  kSyntaxError,  // not JSON
  kNotAnObject,  // the file, or a section, is something else
  kUnknownField,
  kDuplicateField,
  kWrongType,
  kOutOfRange,    // a number; also one with a fraction where none is allowed
  kNotAllowed,    // a string or list entry that is none of those allowed, or not of the form that is wanted
  kMissingField,  // that another field makes necessary
  kInconsistent,  // with another field
};

// One thing that is wrong with a configuration file.
struct Diagnostic {
  DiagnosticCode code = DiagnosticCode::kSyntaxError;
  std::optional<int> line;  // from 1; nothing: it concerns the whole file
  std::string path;         // of the field, as in "spool.memory_mb"; empty: it concerns no field
  std::string message;      // what is wrong, and what would be right
};

// A file as it was read. `values` may be used only if is_valid().
struct ParsedConfig {
  OperatorConfig values;
  std::vector<Diagnostic> diagnostics;  // everything that is wrong, in the order of the file
  std::map<std::string, int> lines;     // where each field that is in the file stands
  bool is_valid() const { return diagnostics.empty(); }
};

ParsedConfig parse_operator_config(std::string_view text);
// A file that cannot be read gives a diagnostic, too.
ParsedConfig load_operator_config(const std::string& file);

// "FILE:LINE: FIELD: MESSAGE".
std::string format_diagnostic(const std::string& file, const Diagnostic& diagnostic);
// All fields with their values, and what each may be, one a line.
std::string describe(const OperatorConfig& values);

}  // namespace firvalve::config
