// Evaluates quantities of the cost model from the measured series.
#include "loadtest/quantity.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace firvalve::loadtest {
namespace {

constexpr double kCommasFrom = 999.5;  // three significant digits would round this to 1000
constexpr double kExactSizeTolerance = 1e-9;

// Distance of the measurement's fixed sizes from the cluster's (`fleet`): the sum of absolute log ratios.
// Infinite if the query requires another number of zones.
double distance(const Measurement& measurement, const SeriesQuery& query, const FleetSize& fleet) {
  double sum = 0;
  for (const auto& [name, held] : measurement.fixed) {
    if (name == "zones" && query.zones) {
      if (std::abs(held - *query.zones) > kExactSizeTolerance) return std::numeric_limits<double>::infinity();
      continue;
    }
    const std::optional<double> wanted = size_by_name(fleet, name);
    if (wanted && *wanted > 0 && held > 0) sum += std::abs(std::log(held / *wanted));
  }
  return sum;
}

const Measurement* find_measurement(const SeriesQuery& query, const CapacityFile& file,
                                    const FleetSize& fleet) {
  const Measurement* nearest = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (const Measurement& measurement : file.measurements) {
    if (measurement.name != query.name || measurement.varied != query.varied) continue;
    const double apart = distance(measurement, query, fleet);
    if (apart >= least) continue;
    least = apart;
    nearest = &measurement;
  }
  return nearest;
}

// Interpolates linearly between the two measured sizes around `size`. Returns nothing outside the measured
// range.
std::optional<double> interpolate(const std::vector<Point>& points, double size) {
  for (size_t i = 0; i < points.size(); ++i) {
    if (points[i].size == size) return points[i].value;
    if (i == 0 || points[i].size < size || points[i - 1].size > size) continue;
    const double share = (size - points[i - 1].size) / (points[i].size - points[i - 1].size);
    return points[i - 1].value + share * (points[i].value - points[i - 1].value);
  }
  return std::nullopt;
}

void apply_factor(EvaluatedTerm& term, const Factor& factor, const FleetSize& fleet) {
  if (!term.value) return;
  *term.value *= factor.value(fleet);
  if (!*factor.text) return;
  const bool is_sum = term.formula.find(' ') != std::string::npos;
  term.formula = fmt::format("{}{}{} x {}", is_sum ? "(" : "", term.formula, is_sum ? ")" : "", factor.text);
}

EvaluatedTerm evaluate_arithmetic(const Factor& factor, const FleetSize& fleet) {
  EvaluatedTerm out;
  out.value = factor.value(fleet);
  out.formula = factor.text;
  out.source = "arithmetic";
  return out;
}

void evaluate_fitted(EvaluatedTerm& out, const HeldOutFit& held_out, Part part, double size) {
  const std::string& varied = out.measurement->varied;
  Fit fit = held_out.fit;
  if (part == Part::kGrowth) fit.intercept = 0;
  out.value = fit.predict(size);
  out.formula = formula_text(fit, number_text(size), varied);
  if (!held_out.is_within_bound()) out.evidence.miss = held_out.miss;
}

void evaluate_interpolated(EvaluatedTerm& out, Part part, double size) {
  const std::vector<Point>& points = out.measurement->points;
  out.value = interpolate(points, size);
  if (out.value && part == Part::kGrowth) *out.value -= points.front().value;
  out.formula = fmt::format("as measured at {} {}", number_text(size), out.measurement->varied);
  out.evidence.is_interpolated = true;
}

EvaluatedTerm evaluate_term(const Term& term, const CapacityFile& file, const FleetSize& fleet) {
  if (!term.series) return evaluate_arithmetic(term.factor, fleet);
  EvaluatedTerm out;
  out.source = fmt::format("{} by {}", term.series->name, term.series->varied);
  const std::optional<double> size = size_by_name(fleet, term.series->varied);
  out.measurement = find_measurement(*term.series, file, fleet);
  if (!out.measurement || !size) return out;
  const std::string fixed = fixed_sizes_text(*out.measurement);
  if (!fixed.empty()) out.source += " (" + fixed + ")";
  out.evidence.measured_to = out.measurement->points.back().size;
  out.evidence.is_extrapolated = *size > out.evidence.measured_to;
  if (const auto held_out = fit_held_out(out.measurement->points))
    evaluate_fitted(out, *held_out, term.part, *size);
  else
    evaluate_interpolated(out, term.part, *size);
  apply_factor(out, term.factor, fleet);
  return out;
}

std::string with_commas(const std::string& digits) {
  std::string out;
  const size_t count = digits.size();
  for (size_t i = 0; i < count; ++i) {
    if (i > 0 && (count - i) % 3 == 0) out += ',';
    out += digits[i];
  }
  return out;
}

}  // namespace

Evaluation evaluate(const Quantity& quantity, const CapacityFile& file, const FleetSize& fleet) {
  Evaluation out;
  double sum = 0;
  bool is_whole = !quantity.empty();
  for (const Term& term : quantity) {
    out.terms.push_back(evaluate_term(term, file, fleet));
    const std::optional<double>& value = out.terms.back().value;
    is_whole = is_whole && value.has_value();
    sum += value.value_or(0);
  }
  if (is_whole) out.value = sum;
  return out;
}

std::string formula_text(const Fit& fit, const std::string& size, const std::string& varied) {
  if (fit.form == Form::kConstant) return number_text(fit.intercept);
  const std::string basis = fit.form == Form::kLogLinear   ? fmt::format("{0} ln {0}", size)
                            : fit.form == Form::kQuadratic ? size + " squared"
                                                           : size;
  std::string growth = fmt::format("{} x {}", number_text(std::abs(fit.slope)), basis);
  if (!varied.empty()) growth += " " + varied;
  if (fit.intercept == 0) return (fit.slope < 0 ? "-" : "") + growth;
  return fmt::format("{} {} {}", number_text(fit.intercept), fit.slope < 0 ? "-" : "+", growth);
}

std::string fixed_sizes_text(const Measurement& measurement) {
  std::string out;
  for (const auto& [name, value] : measurement.fixed)
    out += fmt::format("{}{} {}", out.empty() ? "" : ", ", name, number_text(value));
  return out;
}

std::string number_text(double value) {
  if (!std::isfinite(value)) return "without bound";
  const double magnitude = std::abs(value);
  const std::string sign = value < 0 ? "-" : "";
  if (magnitude >= kCommasFrom) return sign + with_commas(fmt::format("{:.0f}", magnitude));
  if (magnitude == std::floor(magnitude)) return sign + fmt::format("{:.0f}", magnitude);
  return sign + fmt::format("{:.3g}", magnitude);
}

}  // namespace firvalve::loadtest
