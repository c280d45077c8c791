// The cost model: a quantity of the planned cluster (`fleet`) as a sum of terms. A term is a measured series
// evaluated at a cluster size, times a factor, or the factor alone.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/capacity_file.h"
#include "loadtest/fit.h"

namespace firvalve::loadtest {

// Selects the measurement for a term: of those with this name and varied size, the one whose fixed sizes are
// closest to the cluster's.
struct SeriesQuery {
  const char* name;
  const char* varied;
  std::optional<double> zones = std::nullopt;  // required number of zones; unset: closest to the cluster's
};

// Multiplier of a measured value, or the whole term if there is no series.
struct Factor {
  const char* text;  // as shown on the capacity page; empty: not shown
  double (*value)(const FleetSize& fleet);
};

// Part of the series value that a term uses.
enum class Part {
  kWhole,   // the value at the size
  kGrowth,  // without the value at size zero, which another term of the sum already includes
};

// One summand of a quantity.
struct Term {
  std::optional<SeriesQuery> series;  // unset: the factor alone
  Part part = Part::kWhole;
  Factor factor;
};

using Quantity = std::vector<Term>;

// How well the measured points support a value.
struct Evidence {
  double measured_to = 0;        // largest measured size, including the held-out point
  bool is_extrapolated = false;  // the cluster's size is larger than that
  std::optional<double> miss;    // prediction error at the held-out point, if above its bound
  bool is_interpolated = false;  // too few sizes for a fit
};

// A term with its value and derivation.
struct EvaluatedTerm {
  std::optional<double> value;  // unset: not measured
  const Measurement* measurement = nullptr;
  std::string formula;  // "60 + 0.12 x 1100 engines"
  std::string source;   // "gateway.core_share by engines (rate 1364, zones 20)"
  Evidence evidence;
};

// A quantity with its evaluated terms.
struct Evaluation {
  std::optional<double> value;  // unset if any term has no value
  std::vector<EvaluatedTerm> terms;
};

// Evaluates each term at the cluster's size and adds the values.
Evaluation evaluate(const Quantity& quantity, const CapacityFile& file, const FleetSize& fleet);

// Formats a fit with a size, "60.2 + 0.0123 x 1,100 engines", or with a variable, "60.2 + 0.0123 x n".
std::string formula_text(const Fit& fit, const std::string& size = "n", const std::string& varied = "");

// Formats the fixed sizes of a measurement: "rate 1,364, zones 20". Empty if there are none.
std::string fixed_sizes_text(const Measurement& measurement);

// Formats a number for display: integers in full, fractions with three significant digits, and from a
// thousand on rounded to an integer with commas.
std::string number_text(double value);

}  // namespace firvalve::loadtest
