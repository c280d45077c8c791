// RegisterWatcher: follows changes of the registers at one replica at a time, at another where that one does
// not answer. What it sees may be late, and may never be committed: a reason to read or to wait, never a
// decision. No I/O, clock or thread.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/register.h"

namespace firvalve::consensus {

class RegisterWatcher {
 public:
  // `first`: the replica that it begins with. Guards against all gateways watching one: they begin with
  // different ones.
  RegisterWatcher(uint32_t replica_count, PeerId first)
      : replica_count_(replica_count), replica_(first % replica_count) {}

  void on_tick(BootTime now) {
    if (requested_at_ && now < *requested_at_ + timeout()) return;
    if (requested_at_) {
      replica_ = (replica_ + 1) % replica_count_;
      incarnation_ = 0;
      since_ = 0;
    }
    send_watch(now);
  }
  BootTime next_deadline() const { return requested_at_ ? *requested_at_ + timeout() : kImmediately; }

  // Takes a replica's response and requests what follows; its registers are then in take_updates().
  void handle(BootTime now, PeerId from, const Message& message) {
    if (message.type != MessageType::kChanges || from != replica_ || message.request_id != request_id_)
      return;
    incarnation_ = message.incarnation;
    since_ = message.since;
    for (const auto& [key, slot] : message.entries) updates_.emplace_back(key, slot.accepted);
    is_synced_ |= !message.has_more;
    send_watch(now);
  }
  bool is_synced() const { return is_synced_; }  // all that one replica had was seen once
  std::vector<std::pair<std::string, Register>> take_updates() { return std::exchange(updates_, {}); }
  std::vector<Envelope> take_messages() { return std::exchange(messages_, {}); }

 private:
  // A replica answers within AcceptorOptions::watch_timeout, also where nothing has changed; the first
  // request at once.
  static constexpr Duration kTimeout = 1600ms, kFirstTimeout = 300ms;
  Duration timeout() const { return incarnation_ == 0 ? kFirstTimeout : kTimeout; }

  void send_watch(BootTime now) {
    requested_at_ = now;
    Message watch;
    watch.type = MessageType::kWatch;
    watch.request_id = ++request_id_;
    watch.incarnation = incarnation_;
    watch.since = since_;
    messages_.push_back({replica_, std::move(watch)});
  }

  uint32_t replica_count_;
  PeerId replica_;  // that it watches now
  RequestId request_id_ = 0;
  WatchPosition since_ = 0;
  Incarnation incarnation_ = 0;  // of that replica; 0: it has not answered yet
  std::optional<BootTime> requested_at_;
  bool is_synced_ = false;
  std::vector<std::pair<std::string, Register>> updates_;
  std::vector<Envelope> messages_;
};

}  // namespace firvalve::consensus
