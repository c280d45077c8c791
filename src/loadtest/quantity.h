// A quantity of the planned fleet as a sum of terms, each a measured slope times a size, or plain arithmetic.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <vector>

#include "loadtest/capacity_file.h"
#include "loadtest/fit.h"

namespace firvalve::loadtest {

// Which measurement a term wants. Among those of that name and varied size, the one whose held sizes are
// nearest to the fleet's is taken.
struct SeriesQuery {
  const char* name;
  const char* varied;
  std::optional<double> zones = std::nullopt;  // held at just this; nothing: as the fleet has
};

// What a measured value, or one, is multiplied with.
struct Factor {
  const char* text;  // as the page shows it; empty: one
  double (*value)(const FleetSize& fleet);
};

enum class Part {
  kWhole,   // what the series says at the size
  kGrowth,  // without what it says at size zero: for a sum in which another term has that already
};

struct Term {
  std::optional<SeriesQuery> series;  // nothing: the factor alone
  Part part = Part::kWhole;
  Factor factor;
};

using Quantity = std::vector<Term>;

// How far a value rests on what was measured.
struct Evidence {
  double measured_to = 0;        // the largest size, the held-out one among them
  bool is_extrapolated = false;  // the fleet's size lies past it
  std::optional<double> miss;    // of the held-out point, where that is past its bound
  bool is_interpolated = false;  // too few sizes for a fit
};

struct EvaluatedTerm {
  std::optional<double> value;  // nothing: not measured
  const Measurement* measurement = nullptr;
  std::string formula;  // "60 + 0.12 x 1100 engines"
  std::string source;   // "gateway.core_share by engines (rate 1364, zones 20)"
  Evidence evidence;
};

struct Evaluation {
  std::optional<double> value;  // nothing where one term has none
  std::vector<EvaluatedTerm> terms;
};

Evaluation evaluate(const Quantity& quantity, const CapacityFile& file, const FleetSize& fleet);

// A fit with a size put in, "60.2 + 0.0123 x 1,100 engines", or left open, "60.2 + 0.0123 x n".
std::string formula_text(const Fit& fit, const std::string& size = "n", const std::string& varied = "");

// The held sizes of a measurement: "rate 1,364, zones 20"; empty: none.
std::string fixed_sizes_text(const Measurement& measurement);

// A number for people: three digits that count, commas from a thousand on.
std::string number_text(double value);

}  // namespace firvalve::loadtest
