// Prints the tables of the capacity page and replaces them in the page.
#include "loadtest/capacity_page.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

#include "loadtest/cost_model.h"
#include "loadtest/trouble.h"

namespace firvalve::loadtest {
namespace {

constexpr std::string_view kTableMark = "<!-- table: ";
constexpr std::string_view kMarkEnd = " -->";
constexpr std::string_view kEndMark = "<!-- end -->";
constexpr const char* kNotMeasured = "not measured";

using Row = std::vector<std::string>;

std::string row_text(const Row& cells) {
  std::string out = "|";
  for (const std::string& cell : cells) out += " " + cell + (cell.empty() ? "|" : " |");
  return out + "\n";
}

std::string table_text(const Row& heads, const std::vector<Row>& rows) {
  std::string out = row_text(heads) + row_text(Row(heads.size(), "---"));
  for (const Row& row : rows) out += row_text(row);
  return out;
}

// Clears the first cell of a row if it repeats the first cell of the row above.
void group_by_first(std::vector<Row>& rows) {
  std::string above;
  for (Row& row : rows) {
    const std::string name = row.front();
    if (name == above) row.front().clear();
    above = name;
  }
}

std::string percent_text(double part) {
  if (part > 0 && part < 0.01) return "under 1";
  return number_text(std::round(part * 100));
}

std::string with_unit(double value, const std::string& unit) {
  return number_text(value) + (unit.empty() ? "" : " " + unit);
}

// Describes why a figure is uncertain (extrapolated, interpolated, off at the held-out size).
std::string evidence_text(const Evaluation& evaluation) {
  std::vector<std::string> parts;
  const auto add = [&](std::string part) {
    if (std::find(parts.begin(), parts.end(), part) == parts.end()) parts.push_back(std::move(part));
  };
  for (const EvaluatedTerm& term : evaluation.terms) {
    if (!term.value || !term.measurement) continue;
    const std::string& varied = term.measurement->varied;
    if (term.evidence.is_extrapolated)
      add(fmt::format("calculated past {} {}", number_text(term.evidence.measured_to), varied));
    if (term.evidence.is_interpolated) add("too few sizes for a slope");
    if (term.evidence.miss)
      add(fmt::format("held-out {} {}: {} in 100 off", number_text(term.measurement->points.back().size),
                      varied, percent_text(*term.evidence.miss)));
  }
  return fmt::format("{}", fmt::join(parts, "; "));
}

// Describes the evidence for a breaking size.
std::string basis_text(const Evaluation& evaluation) {
  std::string weak = evidence_text(evaluation);
  if (!weak.empty()) return weak;
  const bool is_measured = std::any_of(evaluation.terms.begin(), evaluation.terms.end(),
                                       [](const EvaluatedTerm& term) { return term.measurement != nullptr; });
  return is_measured ? "within the sizes measured" : "arithmetic";
}

std::string value_text(const Evaluation& evaluation, const char* unit) {
  if (!evaluation.value) return kNotMeasured;
  const std::string weak = evidence_text(evaluation);
  return with_unit(*evaluation.value, unit) + (weak.empty() ? "" : " (" + weak + ")");
}

std::string formulas_text(const Evaluation& evaluation) {
  std::string out;
  for (const EvaluatedTerm& term : evaluation.terms) {
    if (!out.empty()) out += " + ";
    out += term.value ? term.formula : kNotMeasured;
  }
  return out.empty() ? "-" : out;
}

std::string sources_text(const Evaluation& evaluation) {
  std::vector<std::string> seen;
  for (const EvaluatedTerm& term : evaluation.terms)
    if (std::find(seen.begin(), seen.end(), term.source) == seen.end()) seen.push_back(term.source);
  std::string out;
  for (const std::string& source : seen) out += (out.empty() ? "" : "; ") + source;
  return out.empty() ? "no measurement of it" : out;
}

std::string print_planned(const CapacityFile& file) {
  std::vector<Row> rows;
  rows.reserve(std::size(kPlannedFields) + std::size(kAssumedFields));
  for (const auto& [name, field] : kPlannedFields)
    rows.push_back({name, number_text(file.fleet.planned.*field), "asked for"});
  for (const auto& [name, field] : kAssumedFields)
    rows.push_back({name, number_text(file.fleet.assumed.*field), "assumed"});
  return table_text({"size", "value", "from"}, rows);
}

std::string print_roles(const CapacityFile& file) {
  std::vector<Row> rows;
  for (const Cost& cost : role_costs()) {
    const Evaluation evaluation = evaluate(cost.quantity, file, file.fleet);
    const std::string assumed = *cost.assumption ? fmt::format(" (assumed: {})", cost.assumption) : "";
    rows.push_back({std::string(role_name(cost.role)),
                    fmt::format("{}: {}{}", resource_name(cost.resource), cost.what, assumed),
                    value_text(evaluation, cost.unit), formulas_text(evaluation), sources_text(evaluation),
                    cost.mechanism});
  }
  group_by_first(rows);
  return table_text({"role", "what", "at the planned size", "slope x size", "measurement", "mechanism"},
                    rows);
}

std::string verdict_text(const Check& check, const Verdict& verdict) {
  if (!verdict.is_kept) return fmt::format("not known: {} would tell", check.would_tell);
  const double part = *verdict.evaluation.value / verdict.limit;
  const char* const word = *verdict.is_kept ? "kept" : "**not kept**";
  return fmt::format("{}: {} in 100 of the limit", word, percent_text(part));
}

std::string limit_text(const Check& check, double limit) {
  const char* const bound = check.limit.bound == Bound::kAtMost ? "at most" : "at least";
  return fmt::format("{} {}{}", bound, with_unit(limit, check.unit),
                     check.limit.is_assumed ? " (assumed)" : "");
}

std::string print_lines(const CapacityFile& file) {
  std::vector<Row> rows;
  for (const Check& check : planned_checks()) {
    const Verdict verdict = evaluate_check(check, file, file.fleet);
    rows.push_back({planned_line_text(check.line, file.fleet.planned), check.what,
                    value_text(verdict.evaluation, check.unit), limit_text(check, verdict.limit),
                    verdict_text(check, verdict)});
  }
  group_by_first(rows);
  return table_text({"line", "held against it", "at the planned size", "limit", "verdict"}, rows);
}

struct BreakingCheck {
  const Check* check;
  BreakingSize size;
};

// Orders by kind: checks that break at a known size come first, smallest size first; then checks that hold
// as far as measured, or always; then checks whose breaking size is unknown.
bool breaks_before(const BreakingCheck& a, const BreakingCheck& b) {
  if (a.size.kind != b.size.kind) return a.size.kind < b.size.kind;
  return a.size.gateways < b.size.gateways;
}

std::string breaking_text(const BreakingSize& size) {
  switch (size.kind) {
    case BreakingSize::Kind::kAt:
      if (size.gateways <= kSmallestFleet) return number_text(kSmallestFleet) + " or fewer";
      return number_text(std::round(size.gateways));
    case BreakingSize::Kind::kBeyond:
      return fmt::format("past {}", number_text(std::floor(size.gateways)));
    case BreakingSize::Kind::kNever:
      return "none up to " + number_text(kLargestFleet);
    case BreakingSize::Kind::kUnknown:
      return "not known";
  }
  return "";
}

std::string print_gives_way(const CapacityFile& file) {
  std::vector<BreakingCheck> all;
  for (const Check& check : planned_checks()) all.push_back({&check, breaking_size(check, file)});
  std::stable_sort(all.begin(), all.end(), breaks_before);
  std::vector<Row> rows;
  for (const auto& [check, size] : all) {
    const bool is_known = size.kind != BreakingSize::Kind::kUnknown;
    const FleetSize fleet = is_known ? file.fleet.with_gateways(size.gateways) : file.fleet;
    const Verdict verdict = evaluate_check(*check, file, fleet);
    rows.push_back(
        {breaking_text(size), check->what, limit_text(*check, verdict.limit),
         is_known ? basis_text(verdict.evaluation) : fmt::format("{} would tell", check->would_tell),
         check->mechanism, std::string(owner_name(check->owner))});
  }
  return table_text({"gateways", "what gives way", "limit", "evidence", "mechanism", "whose"}, rows);
}

std::string print_machines(const CapacityFile& file) {
  std::vector<Row> rows;
  for (const ControlPlace& place : control_places(file))
    rows.push_back({place.role, place.machines, place.where, place.may_be_lost});
  return table_text({"role", "machines", "where", "how many may be lost"}, rows);
}

std::string print_troubles(const CapacityFile& file) {
  std::vector<Row> rows;
  for (const Trouble& trouble : troubles(file))
    rows.push_back({trouble.what, trouble.how_often, trouble.arithmetic});
  return table_text({"trouble", "how often", "what it comes to"}, rows);
}

std::string sizes_text(const Measurement& measurement) {
  std::string out;
  for (const Point& point : measurement.points) out += (out.empty() ? "" : " · ") + number_text(point.size);
  return out;
}

std::string values_text(const Measurement& measurement) {
  std::string out;
  for (const Point& point : measurement.points) out += (out.empty() ? "" : " · ") + number_text(point.value);
  return out;
}

std::string held_out_text(const HeldOutFit& held_out) {
  const std::string miss =
      std::isfinite(held_out.miss) ? percent_text(held_out.miss) + " in 100 off" : "nothing was expected";
  return fmt::format("{}, the fit says {}: {}{}", number_text(held_out.held_out.value),
                     number_text(held_out.predicted), held_out.is_within_bound() ? "" : "**", miss) +
         (held_out.is_within_bound() ? "" : "**");
}

std::string print_measurements(const CapacityFile& file) {
  std::vector<Row> rows;
  for (const Measurement& measurement : file.measurements) {
    const std::optional<HeldOutFit> held_out = fit_held_out(measurement.points);
    const std::string fixed = fixed_sizes_text(measurement);
    rows.push_back({fmt::format("{}, {}", measurement.name, measurement.unit),
                    measurement.varied + (fixed.empty() ? "" : " (" + fixed + ")"), sizes_text(measurement),
                    values_text(measurement),
                    held_out
                        ? fmt::format("{}: {}", form_name(held_out->fit.form), formula_text(held_out->fit))
                        : "too few sizes",
                    held_out ? held_out_text(*held_out) : "-"});
  }
  if (rows.empty()) return "Nothing was measured yet.\n";
  return table_text({"what", "by", "sizes, the last held out", "values", "form and fit", "held out"}, rows);
}

std::string print_runs(const CapacityFile& file) {
  std::set<Row> rows;
  for (const Measurement& measurement : file.measurements)
    rows.insert({measurement.date, "`" + measurement.command + "`", measurement.machine,
                 fmt::format("{}", measurement.seed)});
  if (rows.empty()) return "Nothing was measured yet.\n";
  return table_text({"date", "command", "machine", "seed"}, {rows.begin(), rows.end()});
}

const PageTable* find_table(std::string_view name) {
  for (const PageTable& table : page_tables())
    if (table.name == name) return &table;
  return nullptr;
}

// Returns the table name if the line is an opening marker, otherwise an empty string.
std::string opened_table(const std::string& line) {
  if (!line.starts_with(kTableMark) || !line.ends_with(kMarkEnd)) return {};
  return line.substr(kTableMark.size(), line.size() - kTableMark.size() - kMarkEnd.size());
}

}  // namespace

const std::vector<PageTable>& page_tables() {
  static const std::vector<PageTable> tables = {
      {"planned", "Sizes", print_planned},
      {"gives-way", "What gives way, the smallest size first", print_gives_way},
      {"lines", "Against each line of the planned size", print_lines},
      {"roles", "What each role costs", print_roles},
      {"machines", "The machines for control", print_machines},
      {"troubles", "Troubles", print_troubles},
      {"measurements", "Measurements", print_measurements},
      {"runs", "Runs", print_runs},
  };
  return tables;
}

PageError::PageError(int line, const std::string& why)
    : std::runtime_error(fmt::format("line {}: {}", line, why)) {}

std::string fill_page(const std::string& page, const CapacityFile& file) {
  std::istringstream lines(page);
  std::string out;
  std::set<std::string> placed;
  int number = 0;
  int opened_at = 0;  // line number of the open table marker; 0: no table is open
  for (std::string line; std::getline(lines, line);) {
    ++number;
    if (opened_at > 0 && line != kEndMark) continue;
    out += line;
    out += '\n';
    if (opened_at > 0) {
      opened_at = 0;
      continue;
    }
    const std::string name = opened_table(line);
    if (name.empty()) continue;
    const PageTable* const table = find_table(name);
    if (!table) throw PageError(number, "there is no table \"" + name + "\"");
    placed.insert(name);
    out += '\n';
    out += table->print(file);
    out += '\n';
    opened_at = number;
  }
  if (opened_at > 0) throw PageError(opened_at, "a table without " + std::string(kEndMark));
  for (const PageTable& table : page_tables())
    if (!placed.contains(table.name))
      throw PageError(number, fmt::format("no place for table \"{}\"", table.name));
  return out;
}

std::string print_tables(const CapacityFile& file) {
  std::string out;
  for (const PageTable& table : page_tables())
    out += fmt::format("{}## {}\n\n{}", out.empty() ? "" : "\n", table.title, table.print(file));
  return out;
}

}  // namespace firvalve::loadtest
