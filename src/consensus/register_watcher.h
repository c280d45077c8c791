// RegisterWatcher: follows changes of all registers by watching one replica at a time, and switches to the
// next replica if that one does not answer. Updates may be stale or never be committed: use them as a hint to
// read or to wait, never to decide. It does no I/O, reads no clock and starts no threads.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/register.h"

namespace firvalve::consensus {

class RegisterWatcher {
 public:
  // Starts at replica `first_replica` modulo `replica_count`. Gateways should pass different numbers so that
  // they do not all watch the same replica.
  RegisterWatcher(uint32_t replica_count, PeerId first_replica)
      : replica_count_(replica_count), watched_replica_(first_replica % replica_count) {}

  void on_tick(BootTime now) {
    if (requested_at_ && now < *requested_at_ + response_timeout()) return;
    if (requested_at_) {
      watched_replica_ = (watched_replica_ + 1) % replica_count_;
      incarnation_ = 0;
      since_ = 0;
    }
    send_watch(now);
  }
  BootTime next_deadline() const {
    return requested_at_ ? *requested_at_ + response_timeout() : kImmediately;
  }

  // Handles a watch response: adds its registers to the updates and requests the changes that follow.
  void handle(BootTime now, PeerId from, const Message& message) {
    if (message.type != MessageType::kChanges || from != watched_replica_ ||
        message.request_id != request_id_)
      return;
    incarnation_ = message.incarnation;
    since_ = message.since;
    for (const auto& [key, slot] : message.entries) updates_.emplace_back(key, slot.accepted);
    is_synced_ |= !message.has_more;
    send_watch(now);
  }
  bool is_synced() const { return is_synced_; }  // all registers of one replica were received at least once
  std::vector<std::pair<std::string, Register>> take_updates() { return std::exchange(updates_, {}); }
  std::vector<Envelope> take_messages() { return std::exchange(messages_, {}); }

 private:
  // A replica answers the first request at once, and later ones within AcceptorOptions::watch_timeout even if
  // nothing has changed.
  static constexpr Duration kResponseTimeout = 1600ms, kFirstResponseTimeout = 300ms;
  Duration response_timeout() const { return incarnation_ == 0 ? kFirstResponseTimeout : kResponseTimeout; }

  void send_watch(BootTime now) {
    requested_at_ = now;
    Message watch;
    watch.type = MessageType::kWatch;
    watch.request_id = ++request_id_;
    watch.incarnation = incarnation_;
    watch.since = since_;
    messages_.push_back({watched_replica_, std::move(watch)});
  }

  uint32_t replica_count_;
  PeerId watched_replica_;
  RequestId request_id_ = 0;
  WatchPosition since_ = 0;
  Incarnation incarnation_ = 0;  // of watched_replica_; 0: it has not answered yet
  std::optional<BootTime> requested_at_;
  bool is_synced_ = false;
  std::vector<std::pair<std::string, Register>> updates_;
  std::vector<Envelope> messages_;
};

}  // namespace firvalve::consensus
