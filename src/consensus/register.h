// Replicated registers: versioned values agreed on by a quorum of replicas, and the messages of the protocol.
//
// Each key has an independent register, changed by compare-and-set: a proposal names the change that it
// expects to be current and is committed only if it is. There is no log, no leader and no term; a replica
// stores one slot per key. The algorithm is CASPaxos, single-decree Paxos repeated on one register (prepare,
// promise, accept, accepted), extended with replica incarnations so that a replica that lost its storage can
// rejoin. docs/design-cluster.md compares it with alternatives and states its guarantees.
//
// Acceptor (acceptor.h) votes and stores, Proposer (proposer.h) changes and reads registers, RegisterWatcher
// (register_watcher.h) follows changes. They do no I/O, read no clock and start no threads: the caller passes
// in messages and the current time, and takes out messages to send and state to make durable. An object must
// not be used by two threads at the same time.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace firvalve::consensus {

using namespace std::chrono_literals;

// Consensus and leases use the boot-time clock, which keeps counting while the machine is suspended.
using BootTime = BootClock::time_point;

// A deadline that has always passed: the next tick handles it, whatever the current time is.
constexpr BootTime kImmediately = time_point_of<BootClock>(1);

// A peer's number, assigned by the local driver. 0 to replica_count - 1 are the replicas in configured order,
// the same on every gateway. Other peers have higher numbers, which differ between gateways.
using PeerId = uint32_t;
// Identifies a change. The proposer chooses it; it is unique. 0: no change.
using ChangeId = uint64_t;
// Matches a response to its request. Unique per sender of requests.
using RequestId = uint64_t;
// Identifies one lifetime of a replica's storage. A replica that starts without the promises it made earlier
// takes a new incarnation, greater than its previous ones. 0: unknown.
using Incarnation = uint64_t;
// Position of a change in the order in which one incarnation of a replica accepted changes. 0: before the
// first change.
using WatchPosition = uint64_t;

// Orders the attempts to change or read one key. proposer_id is unique, so no two attempts share a ballot.
struct Ballot {
  uint64_t number = 0, proposer_id = 0;
  auto operator<=>(const Ballot&) const = default;
};

// A register stores the ids of this many changes before the current one. A proposer that lost the response to
// its proposal can so learn whether its change was committed.
constexpr size_t kMaxEarlierChanges = 16;

// The value of a key, with the changes that led to it.
struct Register {
  uint64_t version = 0;                   // number of changes committed so far; 0: the register has no value
  ChangeId change_id = 0;                 // the change that set the current value
  std::vector<ChangeId> earlier_changes;  // changes before it, newest first, at most kMaxEarlierChanges
  std::string value;
  bool is_urgent = false;  // watchers are notified of the current change without delay
  bool operator==(const Register&) const = default;
  bool includes_change(ChangeId id) const;  // whether `id` is the current change or in earlier_changes
};

// A replica's promise and accepted register for one key.
struct AcceptorSlot {
  Ballot promised_ballot, accepted_ballot;
  Register accepted;
  bool operator==(const AcceptorSlot&) const = default;
};

// Message types, each with its sender and the fields it uses; "incarnation(s)" means incarnation and
// known_incarnations. The values are part of the wire format.
enum class MessageType : uint8_t {
  kPrepare = 1,      // proposer: request_id, key, ballot
  kPromise,          // acceptor: request_id, ballot, accepted_ballot, register_state, incarnation(s)
  kAccept,           // proposer: request_id, key, ballot, register_state
  kAccepted,         // acceptor: request_id, ballot, incarnation(s)
  kRejected,         // acceptor: request_id, ballot (the promised one), is_out_of_space
  kWatch,            // watcher: request_id, incarnation (the replica's, that `since` refers to), since
  kChanges,          // replica: request_id, incarnation, since (for the next kWatch), entries, has_more
  kMetadataRequest,  // non-voting replica: request_id (its own incarnation)
  kMetadata,         // replica: request_id, incarnation(s), is_voting, bootstrap_incarnations
  kFetchState,       // recovering replica: request_id (its own incarnation), key (the last one it has)
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
  bool is_out_of_space = false;  // kRejected: a limit is exceeded, so no ballot would be accepted
  bool is_voting = false;        // kMetadata
  bool has_more = false;         // kChanges and kState: another request returns further entries
  std::vector<std::pair<std::string, AcceptorSlot>> entries;
  bool operator==(const Message&) const = default;
};

// A message to be sent.
struct Envelope {
  PeerId to = 0;
  Message message;
};

constexpr size_t kMaxKeyBytes = 400;
constexpr size_t kMaxValueBytes = size_t{512} * 1024;

// A quorum is a majority of the replicas.
constexpr uint32_t quorum_size(uint32_t replica_count) { return replica_count / 2 + 1; }

}  // namespace firvalve::consensus
