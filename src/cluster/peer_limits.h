// Sizes on connections between gateways, in bytes.
#pragma once

#include <cstddef>

namespace firvalve::cluster {

constexpr size_t kMaxFrameBytes = size_t{4} * 1024 * 1024;  // of a frame's body
constexpr size_t kTargetFrameBytes =
    size_t{128} * 1024;  // a frame that has grown past it takes no more messages
// Unsent to one peer that does not read: frames beyond are dropped.
constexpr size_t kMaxUnsentBytes = size_t{8} * 1024 * 1024;

}  // namespace firvalve::cluster
