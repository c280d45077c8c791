// Least squares over a series of measured points: how a cost grows with a size, and whether the largest size,
// which the fit has not seen, bears it out.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "loadtest/measurement.h"

namespace firvalve::loadtest {

// How a value grows with the size, the simplest first.
enum class Form { kConstant, kLinear, kLogLinear, kQuadratic };

// "constant", "linear", "n log n", "n squared".
std::string_view form_name(Form form);
std::optional<Form> form_by_name(std::string_view name);

// A form is taken where its residual is under this part of the mean value, or near that of the best one.
constexpr double kGoodResidual = 0.02;
constexpr double kNearBest = 2;

// Points that a fit needs beside the one held out.
constexpr size_t kFitPoints = 5;

// Part by which the held-out point may differ from what the fit says of it.
constexpr double kHeldOutBound = 0.20;

struct Fit {
  Form form = Form::kConstant;
  double intercept = 0;
  double slope = 0;     // per size, per size * ln(size) or per size squared; 0 for a constant
  double residual = 0;  // root mean square of what it leaves, as a part of the mean absolute value

  double predict(double size) const;
};

// A fit over all points but the last, and what it says of that one.
struct HeldOutFit {
  Fit fit;
  Point held_out;
  double predicted = 0;  // at the held-out size
  double miss = 0;       // (measured - predicted) / predicted; infinite where nothing was predicted
  double from = 0;       // the smallest size measured
  double fitted_to = 0;  // the largest size that the fit has seen

  bool is_within_bound() const;
};

// By one form alone.
Fit fit_form(Form form, const std::vector<Point>& points);

// By the simplest form that explains the points.
Fit fit_simplest(const std::vector<Point>& points);

// Nothing where there are fewer than kFitPoints and one to hold out.
std::optional<HeldOutFit> fit_held_out(const std::vector<Point>& points);

}  // namespace firvalve::loadtest
