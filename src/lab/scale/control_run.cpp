#include "lab/scale/parts.h"

namespace firvalve::lab::scale {

std::vector<Measurement> measure_control(const ScaleOptions&, const Progress&) { return {}; }

}  // namespace firvalve::lab::scale
