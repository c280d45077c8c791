// Replicated registers: versioned values agreed on by a quorum of replicas, and the messages of the protocol.
//
// Each register stands under a key by itself and is changed by compare-and-set: a change names the change
// that it builds on and is committed only on top of that one. There is no log, no leader and no term; all
// that a replica remembers is one slot per key. The algorithm is CASPaxos, single-decree Paxos repeated on
// one register (prepare, promise, accept, accepted), extended by incarnations of replicas, so that one that
// lost its storage can rejoin. docs/design-fleet.md compares it with others and states its guarantees.
//
// Acceptor (acceptor.h) votes and stores, Proposer (proposer.h) changes and reads, RegisterWatcher
// (register_watcher.h) follows changes. None of them does I/O, reads a clock or starts a thread: messages and
// times come in, messages and what has to be made durable go out. Each is used by one thread at a time.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace firvalve::consensus {

using namespace std::chrono_literals;

// All times of this package and of leases are read from the clock that counts through suspension.
using BootTime = BootClock::time_point;

// A deadline of that time is met at the next tick, whenever that is.
constexpr BootTime kImmediately = time_point_of<BootClock>(1);

// A peer as the local driver numbers them: 0 to replica_count - 1 are the replicas in the order of their
// list, all others have higher numbers. Not the same on two gateways for those.
using PeerId = uint32_t;
// The identity of a change, chosen by the proposer and unique. 0: no change.
using ChangeId = uint64_t;
// Ties a response to its request: unique for one sender of requests.
using RequestId = uint64_t;
// A replica's start without what an earlier one had promised. A later one is greater. 0: none known.
using Incarnation = uint64_t;
// The place of a change in the order in which one incarnation of a replica accepted changes. 0: before all.
using WatchPosition = uint64_t;

// The order of attempts on one key. No two attempts have the same ballot: the id is the proposer's own.
struct Ballot {
  uint64_t number = 0, proposer_id = 0;
  auto operator<=>(const Ballot&) const = default;
};

// How many changes before the last are remembered by their ids, so that a proposer whose response was lost
// can learn whether its change was committed.
constexpr size_t kMaxEarlierChanges = 16;

struct Register {
  uint64_t version = 0;                   // number of changes so far; 0: there is no value
  ChangeId change_id = 0;                 // of the last change
  std::vector<ChangeId> earlier_changes;  // before it, the newest first, kMaxEarlierChanges at most
  std::string value;
  bool is_urgent = false;  // watchers are notified of it without delay
  bool operator==(const Register&) const = default;
  bool includes_change(ChangeId id) const;  // whether it is among the changes remembered
};

// What a replica has promised and accepted under one key.
struct AcceptorSlot {
  Ballot promised_ballot, accepted_ballot;
  Register accepted;
  bool operator==(const AcceptorSlot&) const = default;
};

// The kinds of messages with the fields that each uses. The values are on the wire.
enum class MessageType : uint8_t {
  kPrepare = 1,      // proposer: request_id, key, ballot
  kPromise,          // acceptor: request_id, ballot, accepted_ballot, register_state, incarnation(s)
  kAccept,           // proposer: request_id, key, ballot, register_state
  kAccepted,         // acceptor: request_id, ballot, incarnation(s)
  kRejected,         // acceptor: request_id, ballot (the one promised), is_out_of_space
  kWatch,            // watcher: request_id, incarnation (of the replica, for which `since` holds), since
  kChanges,          // replica: request_id, incarnation, since (to continue from), entries, has_more
  kMetadataRequest,  // replica that may not vote yet: request_id (its own incarnation)
  kMetadata,         // replica: request_id, incarnation(s), is_voting, bootstrap_incarnations
  kFetchState,       // replica that recovers: request_id (its own incarnation), key (the last that it has)
  kState,            // replica: request_id, incarnation(s), entries, has_more
};

struct Message {
  MessageType type = MessageType::kPrepare;
  RequestId request_id = 0;
  std::string key;
  Ballot ballot, accepted_ballot;
  Register register_state;
  Incarnation incarnation = 0;                                          // the sender's
  std::vector<Incarnation> known_incarnations, bootstrap_incarnations;  // as in ReplicaMetadata
  WatchPosition since = 0;
  bool is_out_of_space = false;  // kRejected: no ballot would be accepted
  bool is_voting = false;        // kMetadata
  bool has_more = false;         // further entries follow on request
  std::vector<std::pair<std::string, AcceptorSlot>> entries;
  bool operator==(const Message&) const = default;
};

struct Envelope {
  PeerId to = 0;
  Message message;
};

constexpr size_t kMaxKeyBytes = 400;
constexpr size_t kMaxValueBytes = size_t{512} * 1024;

constexpr uint32_t quorum_size(uint32_t replica_count) { return replica_count / 2 + 1; }

}  // namespace firvalve::consensus
