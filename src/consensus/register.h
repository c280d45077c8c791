// The agreed record: the few facts of which the fleet may have only one. Each fact stands under a key by
// itself and is changed by compare-and-set: a change names the change that it builds on and is agreed only
// on top of that one. There is no log, no leader and no term; what a keeper has to remember is one slot a
// key.
//
// Keepers answer (keeper.h), whoever wants something asks a majority of them (asker.h). Neither does I/O nor
// reads a clock: messages and times come in, messages and what must be kept go out. The algorithm is
// single-decree agreement repeated on one register (as in CASPaxos), with lives of keepers added so that one
// without a disk may come back; docs/design-fleet.md weighs it and says what it promises.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/units.h"

namespace firvalve::consensus {

// The order of attempts on one key. No two attempts have the same: the second number is an asker's own,
// drawn at its start.
struct Ballot {
  uint64_t number = 0, asker = 0;
  auto operator<=>(const Ballot&) const = default;
};

// How many changes before the last are known by their ids, so that an asker whose answer was lost learns
// whether its change was made.
constexpr size_t kRemembered = 16;

struct Register {
  uint64_t version = 0;          // changes so far; 0: nothing stands under the key
  uint64_t change = 0;           // the id of the last one
  std::vector<uint64_t> before;  // ids of those before it, the newest first, kRemembered at most
  std::string value;
  bool urgent = false;  // those who look on handle of it at once
  bool operator==(const Register&) const = default;
  bool made(uint64_t id) const;  // whether it is among the changes remembered
};

// What a keeper has promised and holds under one key.
struct AcceptorSlot {
  Ballot promised, held;
  Register fact;
  bool operator==(const AcceptorSlot&) const = default;
};

// A peer as the driver numbers them: 0 to keepers - 1 are the keepers in the order of their list, everybody
// else has a higher number.
using PeerId = uint32_t;

// A keeper's life: it changes when it comes back without what it had promised. A later one is greater.
using Incarnation = uint64_t;

enum class MessageType : uint8_t {
  kPrepare = 1,  // asker: op, key, ballot
  kPromise,      // keeper: op, ballot, held, fact, life, lives
  kAccept,       // asker: op, key, ballot, fact
  kAccepted,     // keeper: op, ballot, life, lives
  kRefused,      // keeper: op, ballot (the one promised), or no room: full
  kLook,         // looker: op, life (the keeper's that `since` is of), since
  kChanges,      // keeper: op, life, since (to go on from), entries, more
  kStanding,     // keeper without a memory: op (its life)
  kStandingIs,   // keeper: op, life, full, lives, founders
  kFetch,        // keeper that recovers: op (its life), key (that it has all up to)
  kState,        // keeper: op, life, lives, entries, more
};

struct Message {
  MessageType say = MessageType::kPrepare;
  uint64_t op = 0;
  std::string key;
  Ballot ballot, held;
  Register fact;
  Incarnation life = 0;
  std::vector<Incarnation> lives, founders;
  uint64_t since = 0;
  bool full = false, more = false;
  std::vector<std::pair<std::string, AcceptorSlot>> entries;
  bool operator==(const Message&) const = default;
};

struct Envelope {
  PeerId to = 0;
  Message message;
};

constexpr size_t kKeyMost = 400;           // bytes of a key
constexpr size_t kValueMost = 512 * 1024;  // bytes of a value

constexpr uint32_t majority(uint32_t keepers) { return keepers / 2 + 1; }

}  // namespace firvalve::consensus
