#include "cluster/frame_batch.h"

#include <utility>

#include "cluster/peer_limits.h"

namespace firvalve::cluster {

std::vector<Frame> pack_frames(const std::string& sender, uint64_t replicas_hash,
                               std::vector<consensus::Message> messages) {
  std::vector<Frame> frames;
  for (size_t next = 0; next < messages.size();) {
    Frame& frame = frames.emplace_back();
    frame.sender = sender;
    frame.replicas_hash = replicas_hash;
    for (size_t bytes = 0; next < messages.size() && bytes < kTargetFrameBytes; ++next) {
      bytes += estimated_size(messages[next]);
      frame.messages.push_back(std::move(messages[next]));
    }
  }
  return frames;
}

}  // namespace firvalve::cluster
