// Acceptor: one replica of the consensus protocol. It answers prepare and accept requests, stores the
// accepted registers and notifies watchers. It does no I/O, reads no clock and starts no threads.
//
// A promise must be durable before the response that makes it is sent. The driver takes the output, makes its
// metadata and writes durable, and only then sends its messages. If a write fails, the driver sends none of
// the messages and calls on_write_failed(); the next output then contains the same writes again.
//
// A replica that starts without storage may have made promises that it no longer knows. It does not vote
// until it can no longer break one:
//  - If every other replica has no storage either, the cluster is being bootstrapped, and all start empty.
//  - If a voting replica lists this incarnation among those it was bootstrapped with, this replica has not
//    promised anything yet and votes at once.
//  - Otherwise it recovers. It takes a new incarnation, fetches the complete state from a quorum of the other
//    replicas, each of which records the new incarnation before it answers, and adopts the highest promise
//    and the latest accepted register of each key. A proposer ignores a response of an earlier incarnation
//    if another response comes from a replica that has recorded a later one (proposer.cpp), so a forgotten
//    promise or vote never counts towards a quorum.
// Without this, a promise lost with the storage could be broken. The cost: if a quorum of replicas loses its
// storage at the same time, too few voting replicas are left to recover from. The replicas without storage
// then wait until an operator stops all replicas and bootstraps the cluster again.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "consensus/register.h"

namespace firvalve::consensus {

// A part of the space is reserved for small changes, such as acquired leases and started jobs, so that long
// results leave room for them.
constexpr size_t kMaxSmallGrowthBytes = 4096;
constexpr double kMaxLargeGrowthShare = 0.75;

// Settings of an acceptor.
struct AcceptorOptions {
  uint32_t self = 0, replica_count = 3;        // `self`: this replica's PeerId
  Duration metadata_retry_interval = 200ms;    // between metadata requests while not voting
  Duration notify_interval = 250ms;            // delay of notifications of non-urgent changes
  Duration watch_timeout = 1000ms;             // after which a watch request is answered without changes
  size_t max_page_entries = 64;                // per message
  size_t max_page_bytes = size_t{256} * 1024;  // a message with this many value bytes gets no further entry
  size_t max_registers = 65536;
  // Total size of all values. A change that makes a value longer is rejected if it would exceed the limit, or
  // if it adds more than kMaxSmallGrowthBytes and would exceed kMaxLargeGrowthShare of the limit.
  size_t max_value_bytes = size_t{32} * 1024 * 1024;
};

// The durable state of a replica besides its slots.
struct ReplicaMetadata {
  Incarnation incarnation = 0;
  bool is_voting = false;
  // Indexed by replica: the latest incarnation known, and the incarnation at bootstrap.
  std::vector<Incarnation> known_incarnations, bootstrap_incarnations;
  bool operator==(const ReplicaMetadata&) const = default;
};

// Work for the driver, in the order of the members: store the metadata, store the writes, send the messages.
struct AcceptorOutput {
  std::optional<ReplicaMetadata> metadata;
  std::vector<std::pair<std::string, AcceptorSlot>> writes;
  std::vector<Envelope> messages;
  bool empty() const { return !metadata && writes.empty() && messages.empty(); }
};

class Acceptor {
 public:
  // Starts without stored state. `random` must be a new random number at each start.
  Acceptor(const AcceptorOptions& options, uint64_t random);
  // Starts with the stored state: all metadata and slots that were made durable.
  Acceptor(const AcceptorOptions& options, ReplicaMetadata metadata,
           std::map<std::string, AcceptorSlot> slots);

  void handle(BootTime now, PeerId from, const Message& message);
  void on_tick(BootTime now);
  std::optional<BootTime> next_deadline() const;  // when to call on_tick(); none: not needed
  AcceptorOutput take_output();
  // Reports that the writes of `output` could not be made durable. The next output contains them again; the
  // messages of `output` are dropped.
  void on_write_failed(const AcceptorOutput& output);
  void remove_watcher(PeerId watcher) { watchers_.erase(watcher); }

  bool is_voting() const { return metadata_.is_voting; }
  const ReplicaMetadata& metadata() const { return metadata_; }
  const std::map<std::string, AcceptorSlot>& slots() const { return slots_; }
  std::string digest() const;  // state that determines future behaviour, for state-space searches

 private:
  struct Watcher {  // an open watch request
    RequestId request_id = 0;
    WatchPosition since = 0;
    BootTime requested_at;
  };
  struct PeerState {  // state of another replica, as a non-voting replica knows it
    // is_fetched: its complete state has been merged.
    bool has_answered = false, is_voting = false, is_fetched = false;
    Incarnation incarnation = 0;
    std::vector<Incarnation> known_incarnations, bootstrap_incarnations;
    std::string last_fetched_key;  // the peer's keys up to this one are merged
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
  Message make_response(const Message& request, MessageType type) const;
  Message make_metadata_response(const Message& request) const;

  AcceptorSlot* find_or_add_slot(const std::string& key);  // null: too many registers, or the key is too long
  bool exceeds_limits(const AcceptorSlot& slot, const Register& proposed) const;
  bool has_space_for(size_t growth_bytes) const;
  void store_accepted(BootTime now, const std::string& key, AcceptorSlot& slot, const Message& accept);
  void assign_newest_position(const std::string& key);

  bool has_changes_after(WatchPosition since) const {
    return changes_by_position_.upper_bound(since) != changes_by_position_.end();
  }
  bool page_has_space(const Message& page, size_t value_bytes) const;
  void send_changes(PeerId to, const Watcher& watcher);
  void notify_watchers(BootTime now);

  void record_incarnation(PeerId replica, Incarnation incarnation);
  void start_voting(std::vector<Incarnation> known, std::vector<Incarnation> bootstrap);
  void request_metadata(BootTime now);
  void start_recovery();
  void fetch_state(PeerId from);
  void merge_slot(const std::string& key, const AcceptorSlot& fetched);
  void finish_recovery(std::vector<Incarnation> bootstrap);

  AcceptorOptions options_;
  ReplicaMetadata metadata_;
  std::map<std::string, AcceptorSlot> slots_;
  // The latest change of each key, indexed by position (to answer watch requests) and by key.
  std::map<WatchPosition, std::string> changes_by_position_;
  std::map<std::string, WatchPosition> position_by_key_;
  WatchPosition last_position_ = 0;
  std::map<PeerId, Watcher> watchers_;
  std::vector<PeerState> peers_;
  size_t value_bytes_ = 0;
  bool is_recovering_ = false, has_urgent_change_ = false, has_new_metadata_ = false;
  std::optional<BootTime> metadata_request_due_;  // time of the next request; none: none sent yet, or voting
  std::optional<BootTime> unnotified_since_;      // when the oldest change not yet notified was accepted
  std::set<std::string> unwritten_keys_;
  std::vector<Envelope> messages_;
};

}  // namespace firvalve::consensus
