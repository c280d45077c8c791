// Size limits of connections between gateways.
#pragma once

#include <cstddef>

namespace firvalve::cluster {

constexpr size_t kMaxFrameBytes = size_t{4} * 1024 * 1024;  // body of a frame
// A frame that has reached this size gets no more messages.
constexpr size_t kTargetFrameBytes = size_t{128} * 1024;
// Limit on bytes queued for one peer, for example one that does not read. Frames beyond it are dropped.
constexpr size_t kMaxUnsentBytes = size_t{8} * 1024 * 1024;

}  // namespace firvalve::cluster
