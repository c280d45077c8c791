// The core: owns the module's state, ties commands to client calls and sends to engine calls. It does no I/O
// and reads no clock: clients stand behind ResponseSink, engines behind EngineTransport, and time comes in
// with every call.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/command_event.h"
#include "core/result_store.h"
#include "policy/policy.h"

namespace firvalve {

// A client's call, as its front numbers them. 0 is none.
using CallRef = uint64_t;

// Where final answers go. Each call taken in gets exactly one, unless its client went first.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  virtual void answer(CallRef call, std::string_view rows) = 0;
  virtual void shed(CallRef call, Ms advice) = 0;  // advice 0: none
  virtual void fail(CallRef call, std::string_view why) = 0;
  virtual void answer_paged(CallRef call, ResultHandle no) = 0;  // its result lies on the shelf
};

// One send, as the back needs it. The views are good until the send has ended.
struct AttemptRequest {
  uint64_t send = 0;  // new with each send
  uint32_t engine = 0;
  std::string_view command, profile, statement;
  Ms until = 0;
  int priority = -1;        // below 0: the engine's own choice
  bool paged = false;       // its rows go to Core::page() as they come, not to Core::ended()
  bool may_cancel = false;  // by the settings: its engine may be told that nobody waits for it any more
};

// What carries sends to engines. Each send started ends once, by Core::ended, never within one of these
// calls.
class EngineTransport {
 public:
  virtual ~EngineTransport() = default;
  virtual void start(Ms now, const AttemptRequest& order) = 0;
  virtual void withdraw(Ms now, uint64_t send,
                        Outcome as) = 0;  // gives it up; it ends as that, or as it does
  virtual void rank(Ms now, uint64_t send, int priority) = 0;
  virtual void list(Ms now, uint32_t engine, std::string_view address, EngineState life) = 0;
};

// A command as a front read it. The views need only last for the call that takes it in.
struct CommandRequest {
  std::string_view command, profile;
  std::string statement;
  int64_t tables = -1;
  Ms timeout = 0, estimate = 0;
  double memory_mb = 0;
  bool paged = false;                     // asked for as pages
  std::string_view owner = {}, key = {};  // whose share it is; what its pages are bound to, empty: nothing
  std::string_view first = {};  // marked as a repeat: the id of its chain's first command; empty: no mark
};

// Estimates are rough. One of so many times what the largest engine can give within the longest client
// timeout is none.
constexpr double kRough = 10;
constexpr double kUntold = 1e12;  // ms, MB: the most of what the settings give no measure for

// The sooner of two moments, where 0 is none.
inline Ms sooner(Ms a, Ms b) { return a == 0 || (b > 0 && b < a) ? b : a; }

// kFound: nothing is to run, its result lies on the shelf.
enum class AdmissionResult { kTaken, kUnknownProfile, kNotNew, kOutOfRange, kNoRoom, kFound };

Ms longest_timeout(const Settings& settings);  // of any profile's clients; 0: not told

struct NamedEngineInfo {
  std::string name, address;
  EngineInfo listing;
};

// What the module has to say: in words, and of which engine by its listed name (empty: of none).
using LogSink = std::function<void(const std::string& text, const std::string& engine)>;

struct Metrics {
  std::map<std::string, uint64_t, std::less<>> counts;
  void add(std::string_view what, std::string_view kind = {});
  std::string text() const;
};

class Core {
 public:
  Core(const Settings& settings, uint64_t seed, ResponseSink& front, EngineTransport& back, Metrics& counters,
       LogSink say);

  void limit(size_t bytes) { most_held_ = bytes; }  // of statements in hand
  // Told of each command's and attempt's course; none: nobody is.
  void observe(CommandObserver observer) { observer_ = std::move(observer); }
  void shelve(ResultStore& shelf) { shelf_ = &shelf; }  // without one there are no paged answers
  bool shelves() const { return shelf_ != nullptr; }
  ResultHandle found() const { return found_; }  // after kFound
  void room(Ms now);                             // the shelf may have a place again
  AdmissionResult admit(Ms now, CallRef call, CommandRequest&& asked);
  void client_gone(Ms now, CallRef call);           // revoked, or its connection ended
  void half_closed(Ms now, CallRef call);           // its connection's stream has ended: it may be read still
  CallRef call_of(std::string_view command) const;  // 0: not in hand
  bool may_begin(Ms now, uint64_t send) const;      // asked right before a start is written
  // current_at: the list was known to be current then, before this change; 0: it never was.
  void roster(Ms now, bool full, std::vector<NamedEngineInfo> listings, Ms current_at = 0);
  void noted(Ms now, uint64_t send, AttemptStatusKind kind, double value);
  // Rows of a paged send, a page more.
  ResultStore::Put page(Ms now, uint64_t send, std::string_view rows);
  void ended(Ms now, uint64_t send, Outcome outcome, std::string rows = {});

  // This gateway ends at that moment: until then everything taken in gets its answer.
  void closing(Ms now, Ms at);

  // Once after the events of one reactor turn: what they call for is decided and carried out. Turns that
  // follow within the stated tick are decided together at its end.
  void turn(Ms now);
  Ms next_due() const;  // the moment at which turn() must be called at the latest; 0: none
  size_t in_hand() const {
    return held_.size() - done_.size();
  }  // with those answered of which a send is out
  size_t unanswered() const { return calls_.size(); }

 private:
  using Id = std::array<char, 16>;
  // Until it has its answer, nothing of it is out, and the module has decided since: until then its id is not
  // new. Guards against a client that says the same again at once, or takes it back: the module would take
  // the one for the other and count a send as out for good.
  struct Held {
    CallRef call = 0;             // 0: no client waits for it any more
    std::vector<CallRef> joined;  // further calls for it: marked repeats
    Id chain{};                   // the first id of its repeats: its own, or the one it was marked with
    std::string statement;
    int profile = 0, sends = 0, priority = -1;
    uint32_t engine = 0;  // of the last attempt
    uint64_t send = 0;    // out now; 0: none
    Ms gives_up_at = 0, sent_at = 0;
    bool overdue = false, half_closed = false;  // half closed: all clients that wait for it
    // Of a paged one: its place on the shelf, 0: it waits for one, and what the place is asked for with.
    bool paged = false;
    ResultHandle place = 0;
    std::string owner, key;
    int64_t tables = -1;
  };
  using HeldMap = std::map<Id, Held>;

  void handle_now(Ms now, const Event& event);
  void end_overdue(Ms now);
  void carry_out(Ms now, const Action& action);
  void tell_observer(Ms now, CommandEvent::Kind kind, const Id& id, const Held& h,
                     Reason reason = Reason::kNone, Outcome outcome = Outcome::kOk, Ms took = 0) const;
  std::string_view engine_name(uint32_t engine) const;  // empty: it is listed no longer
  void erase(HeldMap::iterator at);
  void finish(HeldMap::iterator at);  // answered: it stays for as long as a send is out
  bool seek_place(Ms now, HeldMap::iterator at);
  ResultStore::Reservation wish_of(const Held& h) const;
  void give_up(Ms now, HeldMap::iterator at, std::string_view why);
  void review_clients(Ms now, const Id& id);  // whether any of them is sure to be there still
  bool join(Ms now, CallRef call, const CommandRequest& asked, int profile);
  template <class Tell>
  void tell(const Held& h, Tell&& one) const {  // each call that waits for it
    if (h.call != 0) one(h.call);
    for (const CallRef call : h.joined) one(call);
  }
  uint32_t number_of(const std::string& name);
  void forget_number(const std::string& name);

  State state_;
  std::vector<std::string> profiles_;
  ResponseSink& front_;
  EngineTransport& back_;
  Metrics& counters_;
  LogSink say_;
  CommandObserver observer_;
  HeldMap held_;
  struct Call {
    Id id{};
    bool half_closed = false;
  };
  std::map<CallRef, Call> calls_;
  std::map<Id, Id> chains_;  // of those marked with another's id, while a client waits: the one in hand
  std::map<uint64_t, Id> sends_;
  ResultStore* shelf_ = nullptr;
  ResultHandle found_ = 0;
  std::vector<Id> placeless_;  // paged ones that wait for a place, in the order taken
  std::vector<Id> done_;       // held until the next decisions alone
  std::map<std::string, uint32_t> numbers_;
  std::set<uint32_t> numbers_in_use_;       // of numbers_
  std::map<uint32_t, std::string> listed_;  // names by number, of engines not gone
  std::set<Ms> bells_;
  Actions actions_;
  uint64_t last_send_ = 0;
  const Ms tick_;
  const bool may_cancel_;
  Ms most_timeout_ = kUntold, most_estimate_ = kUntold;
  double most_memory_mb_ = kUntold;
  size_t most_held_ = SIZE_MAX, held_bytes_ = 0;
  Ms now_ = 0;  // of the last event
  Ms decided_at_ = 0, closes_at_ = 0;
  Ms look_at_ = 0;     // no attempt out reaches its client's deadline before; 0: none is out
  bool heard_ = true;  // at start the module is asked once
};

}  // namespace firvalve
