// The messages of one turn, collected by the connection that they leave on and packed into few frames.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "cluster/peer_codec.h"
#include "consensus/register.h"
#include "net/connection.h"

namespace firvalve::cluster {

// Lives within one turn: the connections must outlive it.
class FrameBatch {
 public:
  void add(net::Connection& connection, const consensus::Message& message) {
    messages_[&connection].push_back(message);
  }
  // visit(connection, its messages in the order added), for each connection once; the batch is empty after.
  template <class Visit>
  void take_each(Visit&& visit) {
    for (auto& [connection, messages] : messages_) visit(*connection, std::move(messages));
    messages_.clear();
  }

 private:
  std::map<net::Connection*, std::vector<consensus::Message>> messages_;
};

// The messages in as few frames as kTargetFrameBytes allows, in their order.
std::vector<Frame> pack_frames(const std::string& sender, uint64_t replicas_hash,
                               std::vector<consensus::Message> messages);

}  // namespace firvalve::cluster
