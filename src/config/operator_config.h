// The operator's configuration file: JSON with comments and trailing commas. Every field is optional. A file
// with any error is rejected as a whole.
//
// The members of OperatorConfig have the units of the file's keys. The names of the keys belong to the
// operators and do not change; some differ from the members' (`spool` is paged_results, `fleet` is cluster).
// fields.cpp maps the keys to the members and defines the allowed ranges.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace firvalve::config {

struct OperatorConfig {
  struct Clients {
    bool reads_retry_markers = false;  // if so, a marked retry joins the command it retries
  } clients;

  // The result store: results of paged commands.
  struct PagedResults {
    bool on = false;                // return paged results to clients that ask for them
    double memory_mb = 8;           // budget of pages in memory
    std::string folder;             // for segment files; empty: pages are stored in memory only
    double disk_mb = 256;           // budget of pages on disk, if `folder` is set
    double lease_s = 60;            // how long a result is kept after its last read
    double result_mb = 64;          // limit of one result
    double page_kb = 6;             // size of the pages requested from engines
    double first_expected_kb = 64;  // expected size of a result while none of its profile is known
    double results = 10000;         // limit of the number of stored results
  } paged_results;

  // The cluster of gateways: replicated registers and the leases stored in them.
  struct Cluster {
    bool on = false;           // take part in the cluster
    std::string site;          // name of the site this gateway runs at, such as an office
    std::string listen;        // HOST:PORT for connections from peers
    std::string peer_address;  // the address that peers connect to; empty: the same as `listen`
    // Addresses of the acceptors: three, five or seven, the same in every file.
    std::vector<std::string> acceptors;
    std::string folder;               // for an acceptor's durable state; empty: memory only
    double lease_ms = 3000;           // how long a lease lasts without renewal
    std::vector<std::string> leases;  // the leases this gateway may hold: KIND:NAME, or KIND:* for any name
    bool trusted_network = false;     // allow peers off the loopback, although connections are not encrypted

    // The address by which peers identify this gateway.
    const std::string& advertised_address() const { return peer_address.empty() ? listen : peer_address; }
  } cluster;

  struct Log {
    std::string level = "info";   // lowest level written: debug, info, warning or error
    std::string form = "logfmt";  // logfmt or json
  } log;
};

enum class DiagnosticCode {
  kUnreadableFile,
  kFileTooLarge,
  kSyntaxError,  // not JSON
  kNotAnObject,  // the file or a section is not an object
  kUnknownField,
  kDuplicateField,
  kWrongType,
  kOutOfRange,    // a number out of range, or a fraction where an integer is required
  kNotAllowed,    // a string or list entry that is not an allowed value or not in the expected form
  kMissingField,  // a field that another field requires
  kInconsistent,  // the value contradicts another field
};

// One error in a configuration file.
struct Diagnostic {
  DiagnosticCode code = DiagnosticCode::kSyntaxError;
  std::optional<int> line;  // from 1; nothing: the whole file
  std::string path;         // of the field, such as "spool.memory_mb"; empty: no field
  std::string message;      // the error, and what was expected
};

// The result of parsing a file. `values` may be used only if is_valid().
struct ParsedConfig {
  OperatorConfig values;
  std::vector<Diagnostic> diagnostics;  // all errors, in file order
  std::map<std::string, int> lines;     // line of each field in the file
  bool is_valid() const { return diagnostics.empty(); }
};

ParsedConfig parse_operator_config(std::string_view text);
// An unreadable file gives a diagnostic, too.
ParsedConfig load_operator_config(const std::string& file);

// "FILE:LINE: FIELD: MESSAGE".
std::string format_diagnostic(const std::string& file, const Diagnostic& diagnostic);
// All fields with their values and allowed values, one per line.
std::string describe(const OperatorConfig& values);

}  // namespace firvalve::config
