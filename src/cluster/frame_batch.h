// Collects the outgoing messages of one event loop turn per connection and packs them into few frames.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/peer_codec.h"
#include "consensus/register.h"
#include "net/connection.h"

namespace firvalve::cluster {

// Holds pointers to connections, which must outlive it; so it must not be kept beyond the turn.
class FrameBatch {
 public:
  void add(net::Connection& connection, const consensus::Message& message) {
    messages_[&connection].push_back(message);
  }
  // Calls visit(connection, messages) once per connection, messages in the order added, and empties the
  // batch.
  template <class Visit>
  void drain(Visit&& visit) {
    for (auto& [connection, messages] : messages_) visit(*connection, std::move(messages));
    messages_.clear();
  }

 private:
  std::map<net::Connection*, std::vector<consensus::Message>> messages_;
};

// Packs the messages, in order, into frames. A frame that has reached kTargetFrameBytes gets no more
// messages.
std::vector<Frame> pack_frames(const std::string& sender, uint64_t replicas_hash,
                               std::vector<consensus::Message> messages);

}  // namespace firvalve::cluster
