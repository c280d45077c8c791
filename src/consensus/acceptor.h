// Acceptor: one replica's part in consensus. It answers prepare and accept requests, stores the accepted
// registers and notifies watchers. No I/O, clock or thread.
//
// A promise must be durable before its response leaves: the driver takes the output, makes its metadata and
// writes durable, and only then sends its messages. Where the writes fail it sends none of them and gives the
// output back (on_write_failed()); the writes come again with the next output.
//
// A replica that starts without storage does not vote until it can break no promise:
//  - Where every other replica is without storage, too, this is the bootstrap: all are empty.
//  - Where another voting replica was bootstrapped together with this very incarnation, this one has promised
//    nothing yet and votes at once.
//  - Else it takes a new incarnation, fetches the whole state from a quorum of the others, each of which
//    notes the new incarnation before it answers, and adopts the highest of each slot. Proposers do not count
//    responses of an earlier incarnation beside those of a replica that has noted a later one (proposer.cpp),
//    so what it forgot cannot be missed.
// This guards against a promise forgotten in a crash. It harms where a quorum lost its storage at once: the
// others wait, and an operator has to stop them all to bootstrap anew.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "consensus/register.h"

namespace firvalve::consensus {

struct AcceptorOptions {
  uint32_t self = 0, replica_count = 3;
  Duration metadata_retry_interval = 200ms;    // between requests while it may not vote
  Duration notify_interval = 250ms;            // for changes that are not urgent
  Duration watch_timeout = 1000ms;             // a watch request is answered after it, also without changes
  size_t max_page_entries = 64;                // of one message
  size_t max_page_bytes = size_t{256} * 1024;  // after which no further entry is added to a message
  size_t max_registers = 65536;
  size_t max_value_bytes = size_t{32} * 1024 * 1024;  // of all values; beyond, changes that grow are rejected
};

// What outlives a process beside the slots.
struct ReplicaMetadata {
  Incarnation incarnation = 0;
  bool is_voting = false;
  // Of all replicas: the latest known, and those at the bootstrap.
  std::vector<Incarnation> known_incarnations, bootstrap_incarnations;
  bool operator==(const ReplicaMetadata&) const = default;
};

// What the driver does next, in this order.
struct AcceptorOutput {
  std::optional<ReplicaMetadata> metadata;
  std::vector<std::pair<std::string, AcceptorSlot>> writes;
  std::vector<Envelope> messages;
  bool empty() const { return !metadata && writes.empty() && messages.empty(); }
};

class Acceptor {
 public:
  // Without storage; `random` is drawn anew at each start.
  Acceptor(const AcceptorOptions& options, uint64_t random);
  // With all that it had made durable.
  Acceptor(const AcceptorOptions& options, ReplicaMetadata metadata,
           std::map<std::string, AcceptorSlot> slots);

  void handle(BootTime now, PeerId from, const Message& message);
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;
  AcceptorOutput take_output();
  // The writes of `output` could not be made durable: they come again, its messages do not.
  void on_write_failed(const AcceptorOutput& output);
  void remove_watcher(PeerId watcher) { watchers_.erase(watcher); }

  bool is_voting() const { return metadata_.is_voting; }
  const ReplicaMetadata& metadata() const { return metadata_; }
  const std::map<std::string, AcceptorSlot>& slots() const { return slots_; }
  std::string digest() const;  // all that its future depends on, for searches over states

 private:
  struct Watcher {
    RequestId request_id = 0;
    WatchPosition since = 0;
    BootTime asked_at;
  };
  struct PeerState {  // another replica, as seen by one that may not vote yet
    bool has_answered = false, is_voting = false, is_fetched = false;
    Incarnation incarnation = 0;
    std::vector<Incarnation> known_incarnations, bootstrap_incarnations;
    std::string last_key;  // all keys up to it are here
  };

  bool is_other_replica(PeerId peer) const { return peer < options_.replica_count && peer != options_.self; }

  void handle_prepare(PeerId from, const Message& message);
  void handle_accept(BootTime now, PeerId from, const Message& message);
  void handle_watch(BootTime now, PeerId from, const Message& message);
  void handle_metadata_request(PeerId from, const Message& message);
  void handle_metadata(PeerId from, const Message& message);
  void handle_fetch_state(PeerId from, const Message& message);
  void handle_state(PeerId from, const Message& message);

  void send(PeerId to, Message message) { messages_.push_back({to, std::move(message)}); }
  void reject(PeerId to, const Message& request, const AcceptorSlot* slot, bool is_out_of_space);
  Message response_to(const Message& request, MessageType type) const;
  Message metadata_response_to(const Message& request) const;

  AcceptorSlot* find_or_add_slot(const std::string& key);  // null: there is no space for another key
  bool exceeds_limits(const AcceptorSlot& slot, const Register& proposed) const;
  void store_accepted(BootTime now, const std::string& key, AcceptorSlot& slot, const Message& accept);
  void move_to_newest(const std::string& key);

  bool has_changes_after(WatchPosition since) const {
    return changes_by_position_.upper_bound(since) != changes_by_position_.end();
  }
  bool page_has_space(const Message& page, size_t value_bytes) const;
  void send_changes(PeerId to, const Watcher& watcher);
  void notify_watchers(BootTime now);

  void note_incarnation(PeerId replica, Incarnation incarnation);
  void start_voting(std::vector<Incarnation> known, std::vector<Incarnation> bootstrap);
  void request_metadata(BootTime now);
  void start_recovery();
  void fetch_state(PeerId from);
  void merge_slot(const std::string& key, const AcceptorSlot& theirs);
  void finish_recovery(std::vector<Incarnation> bootstrap);

  AcceptorOptions options_;
  ReplicaMetadata metadata_;
  std::map<std::string, AcceptorSlot> slots_;
  // What watchers follow: the key of each change, only the last of each key; and the same by key.
  std::map<WatchPosition, std::string> changes_by_position_;
  std::map<std::string, WatchPosition> position_by_key_;
  WatchPosition last_position_ = 0;
  std::map<PeerId, Watcher> watchers_;
  std::vector<PeerState> peers_;
  size_t value_bytes_ = 0;
  bool is_recovering_ = false, has_urgent_change_ = false, has_new_metadata_ = false;
  std::optional<BootTime> metadata_request_due_;  // not before it; none: it was not requested yet, or votes
  std::optional<BootTime> unnotified_since_;      // of the first change that watchers were not notified of
  std::set<std::string> unwritten_keys_;
  std::vector<Envelope> messages_;
};

}  // namespace firvalve::consensus
