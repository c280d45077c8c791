// One keeper of the record: promises, holds, tells. No I/O and no clock.
//
// What it has promised must be kept before its answer leaves: the driver takes a step, makes its writes
// durable, and only then sends its messages. Where writes fail it sends nothing and offers the same writes
// again with the next step (unwritten()).
//
// A keeper that starts without a memory takes no part until it can break no promise:
//  - Where every other keeper is without one, too, this is the record's beginning: all are empty.
//  - Where another was there at the beginning together with this very life, nothing was promised by it yet.
//  - Else it takes a new life, has it noted by a majority of the others before each tells all it holds, and
//    adopts the highest of what they tell. Answers of its earlier life count no longer beside those of who
//    has noted the new one (asker.cpp), so what it forgot cannot be missed.
// This guards against a promise forgotten in a crash. It harms where a majority lost its memory at once: the
// others wait, and an operator has to end them all to begin an empty record.
#pragma once

#include <map>
#include <optional>

#include "consensus/register.h"

namespace firvalve::consensus {

struct AcceptorOptions {
  uint32_t self = 0, keepers = 3;
  Ms ask_again = 200;                         // between questions while it has no memory
  Ms look_every = 250;                        // changes that are not urgent are told to lookers so often
  Ms look_longest = 1000;                     // a look with nothing to tell is answered after it
  size_t page = 64, page_bytes = 256 * 1024;  // facts in one message, and about how large it gets
  size_t facts_most = 65536, bytes_most = 32 * 1024 * 1024;  // of values; beyond, what grows is refused
};

// What outlives a process, beside the slots.
struct ReplicaMetadata {
  Incarnation life = 0;
  bool full = false;
  std::vector<Incarnation> lives, founders;  // of all keepers, as last noted; at the record's beginning
  bool operator==(const ReplicaMetadata&) const = default;
};

// What the driver does next, in this order.
struct Step {
  std::optional<ReplicaMetadata> standing;
  std::vector<std::pair<std::string, AcceptorSlot>> writes;
  std::vector<Envelope> sends;
  bool empty() const { return !standing && writes.empty() && sends.empty(); }
};

class Acceptor {
 public:
  // Without a memory; `chance` is drawn anew at each start.
  Acceptor(const AcceptorOptions& options, uint64_t chance);
  // With all that it had made durable.
  Acceptor(const AcceptorOptions& options, ReplicaMetadata standing,
           std::map<std::string, AcceptorSlot> slots);

  void handle(Ms now, PeerId from, const Message& m);
  void due(Ms now);
  Ms next_due() const;
  Step take();
  // The writes of the step could not be made durable: they come again, its messages are gone.
  void unwritten(Step step);
  void gone(PeerId looker) { lookers_.erase(looker); }

  bool full() const { return standing_.full; }
  const ReplicaMetadata& standing() const { return standing_; }
  const std::map<std::string, AcceptorSlot>& slots() const { return slots_; }
  std::string digest() const;  // all that its future depends on, for searches over states

 private:
  struct Watcher {
    uint64_t op = 0, since = 0;
    Ms at = 0;
  };
  struct Source {  // another keeper, as one without a memory sees it
    bool answered = false, full = false, fetched = false;
    Incarnation life = 0;
    std::vector<Incarnation> lives, founders;
    std::string have;  // all keys up to it have come
  };

  void say(PeerId to, Message m) { sends_.push_back({to, std::move(m)}); }
  Message answer(const Message& m, MessageType say) const;
  AcceptorSlot* slot(const std::string& key);
  void touch(const std::string& key);
  void note(PeerId keeper, Incarnation life);
  void hold(Ms now, const std::string& key, AcceptorSlot& slot, const Message& m);
  bool fits(const Message& m, size_t entries_bytes) const;
  void tell(PeerId to, const Watcher& looker);
  void hear_standing(PeerId from, const Message& m);
  void hear_state(PeerId from, const Message& m);
  void begin(std::vector<Incarnation> lives, std::vector<Incarnation> founders);
  void recover();
  void fetch(PeerId from);

  AcceptorOptions options_;
  ReplicaMetadata standing_;
  std::map<std::string, AcceptorSlot> slots_;
  std::map<uint64_t, std::string> order_;    // what lookers follow: the key of each change, the last of each
  std::map<std::string, uint64_t> ordered_;  // the same, by key
  uint64_t last_ = 0;
  std::map<PeerId, Watcher> lookers_;
  std::vector<Source> sources_;
  size_t bytes_ = 0;  // of values held
  bool recovering_ = false, urgent_ = false, standing_changed_ = false;
  Ms ask_at_ = 0, told_at_ = 0;
  std::map<std::string, bool> dirty_;
  std::vector<Envelope> sends_;
};

}  // namespace firvalve::consensus
