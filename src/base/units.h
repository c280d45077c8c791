// The unit of time shared by all packages.
#pragma once

namespace firvalve {

using Ms = double;  // milliseconds with fractions, for all times and amounts of work

}  // namespace firvalve
