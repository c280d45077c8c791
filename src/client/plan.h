// Everything that a client decides: which gateway, when to connect, send, send again, and give up. No I/O, no
// clock, no thread: events and the time come in, actions go out; same seed and events, same actions.
//
// A call is in one of three places: parked until a moment, in its profile's line, or out on a link. decide()
// moves calls between them and is the only place that sends; finish() is the only place that ends one.
//
// What holds whatever the gateways do (tests/client/plan_property_test.cpp):
//   - a call ends exactly once;
//   - a non-replayable command goes out again only if each earlier send was refused, or was not wholly handed
//     to the system before its connection ended;
//   - nothing goes out at or after its deadline, and the time-out told is what is left;
//   - nothing of a profile goes to a gateway within the time that gateway told it to stay away;
//   - repeats stay within the budget, save one a call that crosses a gateway's close of an idle connection.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.h"
#include "client/budget.h"
#include "client/outage.h"

namespace firvalve::client {

using CallNo = uint64_t;  // given by the caller, from 1 up
using LinkNo = uint64_t;  // given by the plan, from 1 up

enum class End { kAnswered, kRefused, kFailed, kUnknown, kExpired };

struct PlanOptions {
  int gateways = 1;
  uint64_t seed = 0;
  int links_most = 4;               // connections to one gateway
  int calls_a_link = 32;            // open at once, by the protocol
  int64_t ids_a_link = 1000000000;  // then a new one is made: numbers never come again on a connection
  size_t open_most = 10000;         // calls in hand
  int sends_most = 3;               // of one call
  double retry_share = 0.1;         // repeats as a share of first tries
  Ms retry_window = 10000;
  Ms backoff = 50, backoff_most = 2000;  // full jitter over it, doubled with each send
  Ms holdoff_most = 30000;               // longer advice is cut to it
  Ms connect = 1000;                     // until a connection must be up
  Ms silence = 1000;          // without a byte while calls are open: asked for a heartbeat, then left
  Ms idle = 3500;             // a connection that rests is closed, before the gateway would
  Ms throttle_window = 3000;  // after an overload, what is sent doubles in less than it
  bool marks = true;
  SpreadOptions spread;
};

struct PlanAction {
  enum class Kind { kConnect, kSend, kRevoke, kHeartbeat, kClose, kEnd, kLog };
  Kind kind = Kind::kLog;
  int gateway = 0;
  LinkNo link = 0;
  CallNo call = 0;
  int64_t id = 0;          // on its link
  std::string req, first;  // 16 hex digits; first: empty but on a marked repeat
  Ms timeout = 0;          // kSend: what is left
  // kEnd:
  End end = End::kFailed;
  bool cancelled = false, may_have_run = false;
  int sends = 0;
  Ms come_back = 0;  // kRefused: not before; 0: nothing is known
  std::string text;  // kLog, and kEnd's reason
};
using PlanActions = std::vector<PlanAction>;

// An answer as the plan needs it.
struct PlanReply {
  enum class Kind { kAnswered, kRefused, kFailed, kHeartbeat };
  Kind kind = Kind::kAnswered;
  int64_t id = 0;
  Ms holdoff = 0;
  bool healthy = false, marks = false;
  std::string_view text;
};

struct PlanStats {
  uint64_t calls = 0, answered = 0, refused = 0, failed = 0, unknown = 0, expired = 0;  // calls by their end
  uint64_t cancelled = 0, stopped_here = 0;  // of those: taken back; refused without having been sent
  uint64_t sends = 0, repeats = 0, crossings = 0, revoked = 0, late_answers = 0;
  uint64_t connects = 0, connects_failed = 0, links_lost = 0, outages = 0, reconnects = 0;
};

class Plan {
 public:
  explicit Plan(const PlanOptions& terms);

  // Events. `replayable`: it may run twice. `only`: the one gateway that it is for; below 0: any.
  void call(Ms now, CallNo call, const std::string& profile, bool replayable, Ms deadline, int only = -1);
  void cancel(Ms now, CallNo call);
  void link_up(Ms now, LinkNo link);
  // `unsent`: numbers of the calls whose message was not wholly handed to the system.
  void link_lost(Ms now, LinkNo link, Loss::How how, const std::set<int64_t>& unsent = {});
  // Gives the call that has ended with it, 0: none (late, or to be tried again).
  CallNo reply(Ms now, LinkNo link, const PlanReply& reply);

  // After the events of one moment: what they call for.
  void decide(Ms now, PlanActions& out);
  Ms next_due() const;  // when decide() is wanted at the latest; 0: nothing is due

  const PlanStats& stats() const { return stats_; }
  size_t in_hand() const { return calls_.size(); }
  bool uses(LinkNo link) const { return links_.count(link) > 0; }

 private:
  enum class Place { kNone, kParked, kLine, kOut };
  struct Call {
    int profile = 0, only = -1;
    bool replayable = false, may_have_run = false, crossed = false;
    bool free_repeat = false;  // the next send is not counted against the budget: a crossing
    bool reserved = false;     // the next send is a repeat with a place in the budget
    Place place = Place::kNone;
    Ms deadline = 0, from = 0;  // from: while parked
    std::list<CallNo>::iterator in_line;
    LinkNo link = 0;
    int64_t id = 0;
    Ms sent_at = 0, rested = 0;  // rested: how long its link had been idle when it went out
    int sends = 0, gateway = -1;
    uint64_t first_req = 0, req = 0;
  };
  using CallMap = std::unordered_map<CallNo, Call>;
  struct Link {
    int gateway = 0;
    bool up = false, trial = false, silent = false;
    Ms made_at = 0, passed_at = 0, heard_at = 0;  // passed: something either way
    int64_t last_id = 0;
    int64_t heartbeat = 0;             // asked for and not answered; 0: none
    Ms heartbeat_at = 0, busy_at = 0;  // busy: calls open without a gap since
    std::map<int64_t, CallNo> open;
  };
  struct Gateway {
    explicit Gateway(const SpreadOptions& spread) : standing(spread) {}
    Standing standing;
    int open = 0, links = 0, connecting = 0;
    Ms latency = 0;  // running mean of answers; 0: none yet
    Ms lost_at = -1e18;
    Ms grow_at = 0;  // no further connection before
    bool marks = false, asked_marks = false;
    std::map<int, Ms> away_until;  // by profile
  };
  struct Line {
    std::string name;
    std::list<CallNo> calls;
    Throttle throttle;
  };

  double draw();
  uint64_t new_req();
  int profile_of(const std::string& name);
  void park(Call& c, CallNo no, Ms from);
  void to_line(Call& c, CallNo no, bool front);
  void leave_place(Call& c, CallNo no);
  void finish(Ms now, CallMap::iterator at, End end, bool cancelled, Ms come_back, std::string why);
  void give_up(Ms now, CallMap::iterator at, bool cancelled, const char* why);
  bool again(Ms now, CallMap::iterator at, Ms from);
  void end_unsent(Ms now, CallMap::iterator at, const char* why);
  Ms backoff(const Call& c);  // full jitter
  void revoke(const Call& c);
  void close(LinkNo link);
  void proved_unrun(Ms now, CallMap::iterator at, Ms from, const char* why);
  void drop_link(Ms now, LinkNo no, Loss::How how, const std::set<int64_t>& unsent);
  void leave_gateway(Ms now, int gateway, const char* why);
  void expire(Ms now);
  void watch_links(Ms now);
  void unpark(Ms now);
  void try_left(Ms now);
  void place_calls(Ms now);
  bool place_one(Ms now, Line& line, int profile);
  int choose(Ms now, const Call& c, int& other);
  double score(const Gateway& g) const;
  LinkNo room_on(int gateway) const;
  bool may_open(Ms now, int gateway) const;
  void open_link(Ms now, int gateway, bool trial);
  void send(Ms now, CallNo no, Call& c, LinkNo link);
  void ask_heartbeat(Ms now, LinkNo no, Link& link);
  void refuse_hopeless(Ms now);
  Ms usable_at(Ms now, const Call& c) const;
  bool wanted(Ms now) const;

  PlanOptions terms_;
  pcg32 chance_;
  pcg64 reqs_;
  RetryBudget budget_;
  uint64_t reserved_ = 0;  // repeats decided on and not yet sent
  CallMap calls_;
  std::set<std::pair<Ms, CallNo>> deadlines_, parked_;
  std::vector<Line> lines_;
  size_t next_line_ = 0;
  std::map<LinkNo, Link> links_;
  std::vector<Gateway> gateways_;
  LinkNo last_link_ = 0;
  Ms asked_at_ = -1e18;  // the last call came
  Ms decided_at_ = 0;
  bool hopeless_look_ = false;  // a gateway was left or held off: those who wait are looked at again
  PlanActions pending_;
  PlanStats stats_;
};

}  // namespace firvalve::client
