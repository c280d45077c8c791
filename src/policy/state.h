// The state that the policy works on. What is decided, and every value that shapes a decision, is in
// rules.cpp.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/units.h"
#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace firvalve {

enum class Effect { kReplayable, kUniqued, kNonReplayable };
enum class Group { kAll, kZone, kCell };

// ---- State --------------------------------------------------------------------------------------

struct Pcg {
  uint64_t state = 0;
  uint32_t next();
};

struct Profile {
  double benefit = 0, late_share = 0;
  Ms latency_target = 0, repeat_window = 0;
  double target_stretch = 0;
  Effect effect = Effect::kReplayable;
  Group group = Group::kAll;
  bool in_order = false, is_load = false, waits = false;
  int threads = 0;
  std::vector<std::string> zones, machines;  // where it may run; empty: anywhere
  // Learned:
  double correction = 0;   // running mean of true over estimated cost
  double grant = 0;        // of the estimated memory that covers most commands
  Ms mean_cost = 0;        // running mean of predicted cost
  Ms mean_work = 0;        // running mean of true cost, for commands that carry no estimate
  double base = 0;         // of latency x threads to the estimate, in the quickest stretch so far: uncrowded
  bool base_read = false;  // a whole reading was taken
  bool told = false;       // answers tell the cost: base is then of latency x threads to it
  double window_sum = 0;
  int window_count = 0;
};

struct Engine {
  EngineId id{};
  std::string zone, machine;
  int zone_number = 0;  // its zone's place in the state's zones
  int cell = 0;
  EngineState life = EngineState::kRemoved;
  Ms born = 0;  // its start as last told
  double cores = 0;
  bool in_pool = false;
  // This gateway's own sends there:
  int sends_out = 0, threads_out = 0, short_out = 0;
  Ms work_out = 0;
  // Its health as seen from here:
  double tries = 0, fails = 0, seen = 0;  // fading counts; seen: samples of the stretch
  Ms counted_at = 0;
  Ms sign_at = 0;        // last sign of life
  bool doubted = false;  // gets one trial at a time
  bool silent = false;   // and owes a sign of life
  bool told = false;     // the doubt as last logged
  Ms trial_at = 0;       // the next trial
  int trials = 0;        // in a row without success
  int good_trials = 0;   // in a row with success, while doubted
  // Its level:
  double limit = 0;         // threads that this gateway runs there at once
  double stretch = 1;       // recent time over time alone, mean of commands
  double work_stretch = 1;  // the same, mean over their work
  double crowding = 1;      // the worse of the two, as the level takes it
  double usual = 1;         // stretch, with that of its kin where it has few outcomes of its own
  int kind = 0, kin = 0;    // places in the state's machines and kin
  bool limit_met = false;
  bool awaited = false, awaits = false;  // a command bound to it found no room: now or in the last look; now
  Ms limit_moved_at = 0;
  Ms closed_until = 0;  // it turned a send away, or let one wait that needs this much memory
  double closed_from_mb = 0;
  int closed_doors = 0;  // sends in a row that never began there: full, or no connection came up
  // Its warmth:
  Ms cold_since = -1;     // below 0: warm
  double cold_phase = 0;  // 0 to 1: where in its rests the gateway sends the first small command
  std::vector<std::pair<Ms, Ms>> spent;  // while cold: when and how much work was sent
  std::array<int64_t, 4> tables{-1, -1, -1, -1};
};

// Engines of one kind of machine, those of the pool or the others.
struct EngineGroup {
  double stretch = 1, work_stretch = 1;
};

enum class ColdRoom { kShut, kOpen, kMyTurn };

enum class Want { kHold, kOut, kWithdraw, kShed, kFail };

// What was admitted, with plain times.
struct AskedCommand {
  CommandId id;
  int profile = 0;
  bool has_key = false;
  uint64_t key = 0;
  Ms gives_up_at = 0;
  Ms estimate = 0;  // work of all threads; 0: none given
  double memory_mb = 0;
  int64_t tables = -1;
};

struct Command {
  AskedCommand asked;
  Ms taken_at = 0;
  Ms cost = 0;   // predicted
  Ms alone = 0;  // predicted time on an engine by itself
  bool heavy = false;
  Ms held_since = 0;
  // Present state:
  bool out = false, withdrawn = false, ended = false, placeless = false;
  int sends = 0, engine = -1;
  Ms sent_at = 0, noted_at = 0;
  double share_done = 0;
  bool waited = false, waiting = false,
       stuck = false;              // stood still at some time; stands still behind a load
  int withdrawals = 0, moves = 0;  // for a bad plan; since it stood still
  Ms rest_until = 0;               // between moves
  Ms left_at = 0;                  // its client ended its stream then; 0: it did not
  bool may_have_run = false;
  int risked_on = -1;  // the engine and time of the first send that may have run
  Ms risked_at = 0;
  int rank = -1;
  double grant_mb = 0;
  // Wanted state:
  Want want = Want::kHold;
  Reason reason = Reason::kNone;  // of a wanted withdrawal or end
  int want_engine = -1, want_rank = -1;
  double want_grant_mb = 0;
};

// A queue of moments in reused places.
class SlidingWindow {
 public:
  void add(Ms at);
  void forget_before(Ms at);
  size_t size() const { return count_; }

 private:
  std::vector<Ms> places_;
  size_t first_ = 0, count_ = 0;
};

struct KeyRest {
  uint64_t key = 0;
  Ms until = 0;
};

struct HeldTables {
  EngineId engine{};
  int64_t tables = -1;
  Ms until = 0;
};

struct State {
  Pcg chance;
  std::vector<Profile> profiles;
  Settings settings;
  std::vector<Engine> engines;  // by id; places move only when a new id is listed
  std::vector<std::string> machines, zones;
  std::vector<size_t> zone_counts;  // scratch: ready engines by zone number
  uint64_t zones_looked_at = 0;     // to draw the pool, since the start: a measure of its work
  std::array<double, 2> debts{};  // light engines, pool: thread-ms that ran past the levels, not made up for
  Ms debts_at = 0;
  std::vector<EngineGroup> kin;  // two for each of the machines: light, pool
  std::vector<Command> slab;     // commands in hand, places reused
  std::vector<int> free_places;
  std::vector<int> live;           // places in the order taken
  std::vector<int> line, drawn;    // scratch
  std::vector<CommandId> unknown;  // of profiles never told: failed at once
  std::vector<KeyRest> key_rests;
  std::vector<HeldTables> held_tables;  // by loads, as waiting sends have told
  SlidingWindow taken, further;         // for the budget of further sends
  std::vector<Ms> recent_costs, sorted_costs;
  size_t recent_next = 0;
  Ms heavy_from = 0;
  double usual_stretch = 1;             // the median of the engines
  double heavy_work = 0, all_work = 0;  // fading sums of predicted work
  double pool_sends = 0, pool_bad = 0;  // fading counts
  Ms pool_counted_at = 0;
  Ms bell_at = 0, want_bell = 0, awake_at = -1;  // awake: since a stall of this gateway
  Ms closes_at = 0;                              // this gateway's own end; 0: none is known
  Ms opened_at = 0;                              // its start: the first event
  // Read from the settings once, since every command needs them:
  double gateways = 1, gateway_number = 0;
  int most_sends = 0;
  bool may_cancel = false, ranks = false, grants = false;
  bool budgeted = false;
  double budget_free = 0, budget_share = 0;
  Ms budget_window = 0, key_rest = 0, note_period = 0;
  Ms warm_up = 0, fall_window = 0, shed_advice = 0;
  double cold_share = 0, fall_multiple = 0;
};

// ---- Helpers of the state, in state.cpp: no decision there ---------------------------------------

Profile profile_from(const Settings& a, int number);
int number_of(std::vector<std::string>& names, const std::string& name);  // its place; a new one is added
Engine& engine_of(State& s, EngineId id);                                 // a new one takes its place by id
void forget_gone(State& s);  // once they are more than the others: those that no command in hand refers to
Command* command_of(State& s, const CommandId& id);  // null: not in hand
const Command* command_of(const State& s, const CommandId& id);
Command& new_place(State& s);  // in the slab, the last of those in hand

void emit(State& s, Ms now, Actions& out);  // the difference of wanted and present state

// The parts of decide, apart for the tests.
void judge_engines(State& s, Ms now);
void draw_pool(State& s);
void count_debts(State& s, Ms now);
void review_out(State& s, Ms now);
void review_line(State& s, Ms now);
bool may_send(const State& s, const Command& c, const Engine& e, Ms now);
bool stands_still(const State& s, const Command& c, const Engine& e);
bool has_turn(const State& s, const Command& c, Ms now);
bool budget_left(State& s, Ms now);
double warmth(const State& s, const Engine& e, Ms now);
// When an engine that is told to have started did so, on this gateway's clock.
Ms start_of(Ms born, Ms current_at, Ms now);
ColdRoom cold_room(const State& s, Engine& e, Ms work, Ms now);
int choose(State& s, const Command& c, Ms now);

}  // namespace firvalve
