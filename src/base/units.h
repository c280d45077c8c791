// The one unit that every package shares.
#pragma once

namespace firvalve {

using Ms = double;  // all times and all work: milliseconds with fractions

}  // namespace firvalve
