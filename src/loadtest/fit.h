// Least-squares fits over a series of measured points: how a cost grows with a size, and whether the
// prediction holds at the largest size, which is held out of the fit.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "loadtest/measurement.h"

namespace firvalve::loadtest {

// How a value grows with the size, from the simplest form to the most complex.
enum class Form { kConstant, kLinear, kLogLinear, kQuadratic };

// Returns "constant", "linear", "n log n" or "n squared".
std::string_view form_name(Form form);
std::optional<Form> form_by_name(std::string_view name);

// A form is accepted if its residual is at most kGoodResidual of the mean value, or at most kNearBest times
// the residual of the best form.
constexpr double kGoodResidual = 0.02;
constexpr double kNearBest = 2;

// Minimum number of points for a fit, in addition to the one held out.
constexpr size_t kFitPoints = 5;

// Maximum relative difference between the held-out point and its prediction.
constexpr double kHeldOutBound = 0.20;

// The parameters of a fitted form.
struct Fit {
  Form form = Form::kConstant;
  double intercept = 0;
  double slope = 0;     // per size, size * ln(size) or size squared; 0 for a constant
  double residual = 0;  // root mean square error, relative to the mean absolute value

  double predict(double size) const;
};

// A fit over all points but the last, and its prediction for the last one.
struct HeldOutFit {
  Fit fit;
  Point held_out;
  double predicted = 0;  // at the held-out size
  double miss = 0;       // (measured - predicted) / |predicted|; infinite if only `predicted` is 0
  double from = 0;       // the smallest size measured
  double fitted_to = 0;  // the largest size that the fit includes

  bool is_within_bound() const;
};

// Fits the given form.
Fit fit_form(Form form, const std::vector<Point>& points);

// Fits every form and returns the simplest acceptable one; see kGoodResidual and kNearBest.
Fit fit_simplest(const std::vector<Point>& points);

// Fits all points but the last. std::nullopt if there are fewer than kFitPoints + 1 points.
std::optional<HeldOutFit> fit_held_out(const std::vector<Point>& points);

}  // namespace firvalve::loadtest
