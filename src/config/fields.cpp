// The table of configuration fields, the lookup of fields by path, and their description.
#include "config/fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace firvalve::config {
namespace {

std::vector<Field> make_fields() {
  return {
      {"clients.marks", [](OperatorConfig& c) -> FieldTarget { return &c.clients.reads_retry_markers; },
       "true or false", "read the retry markers of clients"},
      {"spool.on", [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.on; }, "true or false",
       "return paged results to clients that ask for them"},
      {"spool.memory_mb",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.memory_mb; },
       "MB",
       "memory for stored pages",
       {0.1, 65536}},
      {"spool.folder", [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.folder; }, "a path",
       "directory for segment files; empty: memory only"},
      {"spool.disk_mb",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.disk_mb; },
       "MB",
       "disk space for stored pages",
       {1, 16777216}},
      {"spool.lease_s",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.lease_s; },
       "s",
       "how long a result is kept after its last read",
       {0.1, 86400}},
      {"spool.result_mb",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.result_mb; },
       "MB",
       "maximum size of one result",
       {0.01, 4096}},
      {"spool.page_kb",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.page_kb; },
       "kB",
       "size of the pages requested from engines",
       {1, 4096}},
      {"spool.first_expected_kb",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.first_expected_kb; },
       "kB",
       "expected size of a result while none of its profile is known",
       {1, 1048576}},
      {"spool.results",
       [](OperatorConfig& c) -> FieldTarget { return &c.paged_results.results; },
       "",
       "maximum number of stored results",
       {1, 1000000, true}},
      {"fleet.on", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.on; }, "true or false",
       "take part in the cluster of gateways"},
      {"fleet.site", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.site; }, "a name",
       "name of the site this gateway runs at"},
      {"fleet.listen", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.listen; }, "HOST:PORT",
       "address for connections from peers"},
      {"fleet.reached_at", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.peer_address; },
       "HOST:PORT", "address that peers connect to; empty: the same as listen"},
      {"fleet.keepers", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.acceptors; },
       "a list of three, five or seven HOST:PORT", "addresses of the acceptors, the same in every file"},
      {"fleet.folder", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.folder; }, "a path",
       "directory for an acceptor's durable state; empty: memory only"},
      {"fleet.lease_ms",
       [](OperatorConfig& c) -> FieldTarget { return &c.cluster.lease_ms; },
       "ms",
       "how long a lease lasts without renewal",
       {500, 60000}},
      {"fleet.duties", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.leases; },
       "a list of KIND:NAME or KIND:*", "leases this gateway may hold"},
      {"fleet.trusted_network", [](OperatorConfig& c) -> FieldTarget { return &c.cluster.trusted_network; },
       "true or false", "allow peers off the loopback; connections are not encrypted"},
      {"log.level",
       [](OperatorConfig& c) -> FieldTarget { return &c.log.level; },
       "",
       "lowest level that is written",
       {},
       {"debug", "info", "warning", "error"}},
      {"log.form",
       [](OperatorConfig& c) -> FieldTarget { return &c.log.form; },
       "",
       "format of a log line",
       {},
       {"logfmt", "json"}},
  };
}

// The Levenshtein distance: the number of letters to insert, delete or replace to turn one word into the
// other.
size_t edit_distance(std::string_view one, std::string_view other) {
  std::vector<size_t> row(other.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 0; i < one.size(); ++i) {
    size_t diagonal = row[0]++;
    for (size_t j = 0; j < other.size(); ++j) {
      const size_t substituted = diagonal + (one[i] != other[j]);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, substituted});
    }
  }
  return row[other.size()];
}

}  // namespace

std::string Field::expectation() const {
  if (range.max > range.min)
    return fmt::format("{}{}{} to {}: {}", unit, unit.empty() ? "" : ", ", range.min, range.max, purpose);
  if (!allowed_words.empty()) return fmt::format("{}: one of {}", purpose, fmt::join(allowed_words, ", "));
  return fmt::format("{}: {}", unit, purpose);
}

const std::vector<Field>& all_fields() {
  static const std::vector<Field> fields = make_fields();
  return fields;
}

const Field* find_field(std::string_view path) {
  for (const Field& field : all_fields())
    if (field.path == path) return &field;
  return nullptr;
}

bool is_section(std::string_view path) {
  const std::string prefix = std::string(path) + ".";
  return std::any_of(all_fields().begin(), all_fields().end(),
                     [&](const Field& field) { return field.path.starts_with(prefix); });
}

const Field* closest_field(std::string_view path) {
  const Field* closest = nullptr;
  size_t min_distance = SIZE_MAX;
  for (const Field& field : all_fields()) {
    const size_t distance = edit_distance(path, field.path);
    if (distance >= min_distance) continue;
    closest = &field;
    min_distance = distance;
  }
  return min_distance <= std::max<size_t>(3, path.size() / 3) ? closest : nullptr;
}

std::string describe(const OperatorConfig& values) {
  OperatorConfig copy = values;
  std::string all;
  for (const Field& field : all_fields()) {
    const std::string value = std::visit(
        [](auto* target) {
          using Value = std::remove_pointer_t<decltype(target)>;
          if constexpr (std::is_same_v<Value, std::string>)
            return fmt::format("\"{}\"", *target);
          else if constexpr (std::is_same_v<Value, std::vector<std::string>>)
            return target->empty() ? std::string("[]")
                                   : fmt::format("[\"{}\"]", fmt::join(*target, "\", \""));
          else
            return fmt::format("{}", *target);
        },
        field.target(copy));
    all += fmt::format("{} = {}  # {}\n", field.path, value, field.expectation());
  }
  return all;
}

}  // namespace firvalve::config
