// Least-squares fits, and the choice of the simplest form that explains the points.
#include "loadtest/fit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace firvalve::loadtest {
namespace {

constexpr std::array kForms = {Form::kConstant, Form::kLinear, Form::kLogLinear, Form::kQuadratic};
constexpr std::array<std::string_view, kForms.size()> kFormNames = {"constant", "linear", "n log n",
                                                                    "n squared"};

// Returns the factor of the slope at `size`.
double basis(Form form, double size) {
  switch (form) {
    case Form::kConstant:
      return 0;
    case Form::kLinear:
      return size;
    case Form::kLogLinear:
      return size > 0 ? size * std::log(size) : 0;
    case Form::kQuadratic:
      return size * size;
  }
  return 0;
}

// Returns the root mean square error, relative to the mean absolute value.
double relative_residual(const Fit& fit, const std::vector<Point>& points) {
  double squares = 0;
  double magnitude = 0;
  for (const Point& point : points) {
    const double left = point.value - fit.predict(point.size);
    squares += left * left;
    magnitude += std::abs(point.value);
  }
  const double count = static_cast<double>(points.size());
  if (magnitude == 0) return 0;
  return std::sqrt(squares / count) / (magnitude / count);
}

}  // namespace

std::string_view form_name(Form form) { return kFormNames[static_cast<size_t>(form)]; }

std::optional<Form> form_by_name(std::string_view name) {
  for (const Form form : kForms)
    if (form_name(form) == name) return form;
  return std::nullopt;
}

double Fit::predict(double size) const { return intercept + slope * basis(form, size); }

bool HeldOutFit::is_within_bound() const { return std::abs(miss) <= kHeldOutBound; }

Fit fit_form(Form form, const std::vector<Point>& points) {
  Fit fit;
  fit.form = form;
  if (points.empty()) return fit;
  const double count = static_cast<double>(points.size());
  double mean_basis = 0;
  double mean_value = 0;
  for (const Point& point : points) {
    mean_basis += basis(form, point.size) / count;
    mean_value += point.value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    const double offset = basis(form, point.size) - mean_basis;
    covariance += offset * (point.value - mean_value);
    variance += offset * offset;
  }
  fit.slope = variance > 0 ? covariance / variance : 0;
  fit.intercept = mean_value - fit.slope * mean_basis;
  fit.residual = relative_residual(fit, points);
  return fit;
}

Fit fit_simplest(const std::vector<Point>& points) {
  std::array<Fit, kForms.size()> fits;
  double best = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < kForms.size(); ++i) {
    fits[i] = fit_form(kForms[i], points);
    best = std::min(best, fits[i].residual);
  }
  const double bound = std::max(kGoodResidual, kNearBest * best);
  for (const Fit& fit : fits)
    if (fit.residual <= bound) return fit;
  return fits.back();
}

std::optional<HeldOutFit> fit_held_out(const std::vector<Point>& points) {
  if (points.size() < kFitPoints + 1) return std::nullopt;
  const std::vector<Point> seen(points.begin(), points.end() - 1);
  HeldOutFit out;
  out.fit = fit_simplest(seen);
  out.held_out = points.back();
  out.predicted = out.fit.predict(out.held_out.size);
  out.from = seen.front().size;
  out.fitted_to = seen.back().size;
  const double difference = out.held_out.value - out.predicted;
  if (difference == 0)
    out.miss = 0;
  else if (out.predicted == 0)
    out.miss = std::numeric_limits<double>::infinity();
  else
    out.miss = difference / std::abs(out.predicted);
  return out;
}

}  // namespace firvalve::loadtest
