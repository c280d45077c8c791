// The decisions of firvalve: which engine runs which command, when, and what is shed.
//
// Invoked by its host: open() at start, handle() for each event, decide() once after the events of one
// moment; decide() sets what is wanted (out, held, ended, timed) and emit() alone turns the difference into
// actions. The interface is policy.h. The design it follows, and each departure from it, is in
// docs/design.md.
//
// Beside the design, six mechanisms:
//   1. level    a learned limit on the threads that this gateway runs at once, on each engine and on all
//   2. line     commands without room wait here, most benefit for its work first, and end when past hope
//   3. health   one judgement per engine from errors, silence and slowness; return by single trials
//   4. warm-up  an engine that started, or came back from silence, gets a budget of work
//   5. bad plan a send that runs far longer than predicted, or stands still, is withdrawn and sent again
//   6. terms    priority and memory by prediction, where engines heed them
#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "policy/policy.h"

namespace firvalve {
namespace {

// ---- Constants ----------------------------------------------------------------------------------
// Predictions (the design's open weightings)
constexpr double kLearn = 0.03;       // share of a new outcome in a running mean: some 30 outcomes
constexpr double kRatioMost = 20;     // times; a single outcome tells no more than this about a mean
constexpr int kBaseWindow = 20;       // outcomes whose mean is one reading of the uncrowded ratio
constexpr double kBaseGuess = 3;      // outcomes that the guess of 1 counts for, until the first reading
constexpr double kBaseDrift = 1.01;   // a window: the yardstick is forgotten within some hundred windows
constexpr size_t kRecent = 512;       // commands; the top share is taken among these
constexpr size_t kRecentLeast = 32;   // commands; fewer give no top share
constexpr double kHeavyShare = 0.01;  // of commands: the design's start
constexpr double kWorkFade = 0.998;   // a command; heavy and all work are summed over some 500
constexpr size_t kPoolLeast = 2;      // engines: the design's least
constexpr Ms kUnknownCost = 100;      // before anything is known of a profile
// Pool overload (the design's figures)
constexpr double kPoolBadShare = 0.2;   // of recent pool sends that end full or timed out
constexpr double kPoolSendsLeast = 20;  // sends before that share is believed
constexpr Ms kHeavyHold = 1000;         // that heavy commands are held before they are shed
// Health (the first two are the design's)
constexpr double kFailShare = 0.2;    // of sends that fail: the engine is skipped
constexpr Ms kFailWindow = 10000;     // over which they are counted (as a fading count)
constexpr double kFailLeast = 2.5;    // fading failures before the share is believed
constexpr Ms kTrialFirst = 1000;      // until the first trial of a doubted engine
constexpr int kTrialsGood = 4;        // in a row: past the luck of an engine that fails a third of its work
constexpr Ms kRestMost = 8000;        // the wait doubles up to this, and so does the rest of a closed door
constexpr Ms kSilence = 600;          // without a sign of life while something is overdue: above long pauses
constexpr Ms kStall = 200;            // that a bell comes late: this gateway itself stood still
constexpr double kOverdue = 4;        // times the predicted time before a send is overdue
constexpr double kNotesMissed = 1.6;  // note periods without a note: one was surely missed
constexpr double kSlowPeer = 3;       // times the median stretch: slower than its peers, not just busy
// Level
constexpr double kLevelStart = 1.5;     // threads a core, all gateways together: near where work done peaks
constexpr double kLevelLeast = 1.0;     // threads a core: all cores busy, never less
constexpr double kLevelMost = 4;        // threads a core: past any useful level
constexpr double kStretchHigh = 1.9;    // time over time alone: cores or disks are crowded
constexpr double kStretchLow = 1.5;     // below this there is room for more
constexpr double kStretchLearn = 0.08;  // share of a new outcome: follows within a dozen
constexpr double kStretchJump = 0.4;    // share of one outcome at most, however much work it was
constexpr double kStretchMost = 8;      // one sample tells no more
constexpr double kStretchNoMemory = 4;  // what a wait for memory counts as: twice the mark to cut at
constexpr double kLevelCut = 0.92;      // a step down
constexpr Ms kLevelCutWait = 400;       // between steps down: the cut must show first
constexpr Ms kLevelRaiseWait = 2000;    // between steps up: at 200 and 800 they outran the cuts
constexpr Ms kFullRest = 250;           // after 'full': some commands end there within it
constexpr double kKinWeight = 2;        // outcomes: an engine with fewer of late is judged by its kin as well
constexpr double kRaisePart = 0.25;     // of the start: a step up, one thread at most, alike for all
constexpr double kShortExtra = 1.25;    // times the limit for short commands, which free it soon
constexpr Ms kDebtMost = 2000;          // of its level that may be owed: some long commands' time
// Line
constexpr Ms kBeat = 20;             // between looks while commands are in hand: far under any target
constexpr Ms kEndSlack = 30;         // before the client gives up: a held command ends here at the latest
constexpr double kTryAnyway = 0.9;   // of its life: predictions err, so each command gets a first chance
constexpr Ms kRepeatSlack = 200;     // off the window of uniqued commands, for the way there
constexpr double kReturnPart = 0.5;  // of that window is left to a client that is told it may come again
constexpr Ms kLeftGrace = 50;        // after its client's half-close: at 100 a closed one counts as gone
// Bad plan
constexpr double kBadPlan = 4;      // times the predicted time: past the scatter of estimates
constexpr double kBlind = 4;        // times the predicted and the usual time without a word of progress
constexpr Ms kBadPlanLeast = 300;   // running time below which nothing is withdrawn
constexpr int kWithdrawMost = 2;    // withdrawals before the estimate is blamed instead
constexpr double kMoveRest = 0.25;  // of its time alone, times the moves so far: in all about its length
constexpr Ms kTablesHeld = 3000;    // that such news is kept: a load's usual length
// Warm-up
constexpr double kColdPart = 0.5;     // of the allowed work to a cold engine: the rest is for chance
constexpr double kColdSmall = 0.05;   // of that work: commands up to this come in numbers that even out
constexpr double kCapacity = 0.85;    // of the cores: the bench's and the operators' meaning of capacity
constexpr Ms kListLate = 8000;        // a list may be told so late: the protocol's 7 s, and the way
constexpr double kSilentCold = 3000;  // ms of silence after which an engine may have started anew
// Terms
constexpr int kRankShort = 3;         // short commands first where cores or disks are short
constexpr int kRankOther = 1;         // the default: the rest are held back in line, not on the engine
constexpr double kGrantStart = 1.4;   // times the estimate, until outcomes tell better
constexpr double kGrantCover = 0.95;  // of commands get all the memory they need
constexpr double kGrantLearn = 0.05;  // step towards it: settles within some hundred outcomes
constexpr double kWarmTables = 0.85;  // of the work: what tables seen lately save

// A rest that doubles with each in a row, up to the most.
Ms doubled(Ms first, int& in_a_row) { return std::min(kRestMost, first * (1 << std::min(in_a_row++, 8))); }

void blend(double& mean, double sample, double share) {
  mean = mean == 0 ? sample : mean + share * (sample - mean);
}

// Against a yardstick of estimates the samples scatter widely: there the mean is one of logarithms, as the
// yardstick is, so that the few largest do not make it.
void blend_stretch(const Profile& p, double& mean, double sample, double share) {
  if (p.told || p.base <= 0) return blend(mean, sample, share);
  mean *= std::pow(std::max(sample, 1 / kRatioMost) / mean, share);
}

// The first few samples of an engine count as their mean: one bad stay there tells more than none.
double own_share(const Engine& e, double share) { return std::max(share, 1 / (1 + e.seen)); }

Profile& profile_of(State& s, const Command& c) { return s.profiles[c.asked.profile]; }
const Profile& profile_of(const State& s, const Command& c) { return s.profiles[c.asked.profile]; }

bool allowed(const Profile& p, const Engine& e) {
  const auto named = [](const std::vector<std::string>& list, const std::string& name) {
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
  };
  return named(p.zones, e.zone) && named(p.machines, e.machine);
}

bool is_short(const State& s, const Command& c) { return profile_of(s, c).threads == 1 && !c.heavy; }

// Predicted on an engine as crowded as it is. Guards against estimates far too low: few commands of a profile
// are much quicker than its mean.
Ms usual_time(const State& s, const Command& c, const Engine& e) {
  const Profile& p = profile_of(s, c);
  return std::max(c.alone, p.mean_cost / p.threads) * std::max(1.0, e.usual);
}

bool in_window(const Profile& p, Ms since, Ms now) { return now + kRepeatSlack < since + p.repeat_window; }

// ---- Predictions --------------------------------------------------------------------------------

// What outcomes correct: the estimate. Without one, the mean of the costs told; where neither is told, a
// constant, so that the corrections and the yardstick of the quickest outcomes still say what the profile
// costs by itself.
Ms uncorrected(const Profile& p, const Command& c) {
  return c.asked.estimate > 0 ? c.asked.estimate : p.told && p.mean_work > 0 ? p.mean_work : kUnknownCost;
}
bool is_corrected(const Profile& p, const Command& c) { return c.asked.estimate > 0 || !p.told; }

void predict(State& s, Command& c) {
  Profile& p = profile_of(s, c);
  const Ms base = uncorrected(p, c);
  c.cost = std::max(1.0, base * (is_corrected(p, c) && p.correction > 0 ? p.correction : 1));
  c.alone = (p.told ? c.cost * std::max(1.0, p.base) : p.base > 0 ? base * p.base : c.cost) / p.threads;
  blend(p.mean_cost, c.alone * p.threads, kLearn);
  if (s.recent_costs.size() < kRecent) s.recent_costs.push_back(0);
  s.recent_costs[s.recent_next++ % kRecent] = c.cost;
  c.heavy = p.is_load || (s.heavy_from > 0 && c.cost >= s.heavy_from);
  s.all_work = s.all_work * kWorkFade + c.cost;
  s.heavy_work = s.heavy_work * kWorkFade + (c.heavy ? c.cost : 0);
}

void learn(State& s, Ms now, const Command& c, const AttemptFinished& r) {
  Profile& p = profile_of(s, c);
  const Ms told_work = r.work ? to_ms(*r.work) : 0, took = to_ms(r.elapsed);
  const double told_memory_mb = r.memory_mb.value_or(0);
  p.told = told_work > 0;
  const bool late = now == s.awake_at;
  if (late && !p.told) return;
  const Ms work = told_work > 0 ? told_work : took * p.threads;
  blend(p.mean_work, work, kLearn);
  const double most = c.asked.estimate > 0 ? kRatioMost : kRatioMost * kRatioMost;
  const double ratio = is_corrected(p, c) ? std::clamp(work / uncorrected(p, c), 1 / most, most) : 0;
  if (ratio > 0) blend(p.correction, ratio, kLearn);
  // A high quantile, not a mean: what falls short spills, and that costs far more than memory lying idle.
  if (told_memory_mb > 0 && c.asked.memory_mb > 0)
    p.grant *= told_memory_mb > p.grant * c.asked.memory_mb ? 1 + kGrantLearn * kGrantCover
                                                            : 1 - kGrantLearn * (1 - kGrantCover);
  // Guards against calling a crowd normal: where the answer tells no cost, latency stands in for it, and its
  // mean rises with the crowding that it should show. The quickest stretch of outcomes is the yardstick.
  if (late) return;
  const double slowness = p.told ? took * p.threads / told_work : ratio;
  if (slowness > 0) {
    p.window_sum += std::log(slowness);
    p.window_count += 1;
    if (!p.base_read) p.base = std::exp(p.window_sum / (p.window_count + kBaseGuess));
    if (p.window_count == kBaseWindow) {
      const double mean = std::exp(p.window_sum / kBaseWindow);
      p.base = p.base_read ? std::min(mean, p.base * kBaseDrift) : mean;
      p.base_read = true;
      p.window_sum = p.window_count = 0;
    }
  }
  Engine& e = s.engines[c.engine];
  EngineGroup& kin = s.kin[e.kin];
  const Ms by_itself = p.told ? told_work / p.threads * std::max(1.0, p.base) : c.alone;
  // Two means: short commands of high priority glide past a crowd that holds up all others, and where no
  // priority is heeded they are the first to feel one. Work that is only guessed adds noise to the weight.
  // Notes come from the commands that last: their quicker kin must count, too, or a level once cut stays cut.
  if (!c.waited) {
    const double stretch = std::min(took / std::max(by_itself, 1.0), kStretchMost);
    const double of_work = kStretchLearn * told_work / std::max(1.0, s.all_work * (1 - kWorkFade));
    const double weight = p.told ? std::min(of_work, kStretchJump) : p.threads > 1 ? kStretchLearn : 0;
    blend_stretch(p, kin.stretch, stretch, kStretchLearn);
    blend_stretch(p, kin.work_stretch, stretch, weight);
    blend_stretch(p, e.stretch, stretch, own_share(e, kStretchLearn));
    blend_stretch(p, e.work_stretch, stretch, weight > 0 ? own_share(e, weight) : 0);
    e.seen += 1;
  }
  e.tables[static_cast<size_t>(c.sends + c.taken_at) % e.tables.size()] = c.asked.tables;
}

// ---- Guards of the rules ------------------------------------------------------------------------

// Guards against a client that is told it may come again once the engines have forgotten its mark: it would
// run twice. It may cost a uniqued command late in its window the repeat that would still have been dropped.
bool shed_is_true(const State& s, const Command& c, Ms now) {
  const Profile& p = profile_of(s, c);
  if (p.effect == Effect::kReplayable || (!c.may_have_run && !c.out)) return true;
  const Ms back = now + std::max(s.shed_advice, kReturnPart * p.repeat_window);
  return p.effect == Effect::kUniqued && p.group == Group::kAll &&
         in_window(p, c.may_have_run ? c.risked_at : c.sent_at, back);
}

void end(const State& s, Command& c, Ms now, Reason reason) {
  c.want = shed_is_true(s, c, now) ? Want::kShed : Want::kFail;
  c.reason = reason;
}

bool has_left(const Command& c, Ms now) { return c.left_at > 0 && now > c.left_at + kLeftGrace; }

// Why no send of it may follow: a further one could run it twice, or nobody may wait for it any more. kNone:
// one may.
Reason why_spent(const State& s, const Command& c, Ms now) {
  const Profile& p = profile_of(s, c);
  if (has_left(c, now)) return Reason::kClientGone;
  if (c.sends >= s.most_sends) return Reason::kAttemptsExhausted;
  const bool unsafe = c.may_have_run && (p.effect == Effect::kNonReplayable ||
                                         (p.effect == Effect::kUniqued && !in_window(p, c.risked_at, now)));
  return unsafe ? Reason::kUnsafeToRetry : Reason::kNone;
}

bool is_spent(const State& s, const Command& c, Ms now) { return why_spent(s, c, now) != Reason::kNone; }

void start_cold(State& s, Engine& e, Ms since) {
  e.cold_since = since;
  e.cold_phase = std::ldexp(s.chance.next(), -32);
  e.spent.clear();
}

// ---- Events -------------------------------------------------------------------------------------

void hear_roster(State& s, Ms now, const EngineListUpdate& r) {
  if (r.is_complete) {
    std::vector<EngineId> listed;
    for (const EngineInfo& l : r.engines) listed.push_back(l.engine);
    std::sort(listed.begin(), listed.end());
    for (Engine& e : s.engines)
      if (!std::binary_search(listed.begin(), listed.end(), e.id)) e.life = EngineState::kRemoved;
  }
  for (const EngineInfo& l : r.engines) {
    Engine* e = &engine_of(s, l.engine);
    e->zone = l.zone;
    e->zone_number = number_of(s.zones, l.zone);
    e->machine = l.machine_type;
    e->kind = number_of(s.machines, l.machine_type);
    s.kin.resize(2 * s.machines.size());
    e->cell = l.cell;
    e->cores = number(s.settings, "cores." + l.machine_type, 1);
    if (e->limit == 0) e->limit = kLevelStart * e->cores / s.gateways;
    // Guards rule 4: a start within the warm-up makes a cold engine, whether it is new or came back.
    const bool joins = e->life == EngineState::kRemoved && l.state == EngineState::kReady && now > 0;
    e->life = l.state;
    const Ms born = l.started_at ? to_ms(*l.started_at) : 0;
    const bool starts = born > 0 && born != e->born;
    const Ms start = start_of(born, r.current_at ? to_ms(*r.current_at) : 0, now);
    e->born = born;
    if (starts && now - start < s.warm_up && e->cold_since < start) {
      start_cold(s, *e, start);
      // A new life: what the one before did tells nothing of it.
      e->tries = e->fails = 0;
      e->silent = false;
    }
    if (joins) e->sign_at = now;
  }
  forget_gone(s);
}

void hear_taken(State& s, Ms now, const Admitted& t) {
  if (!t.profile || *t.profile < 0 || *t.profile >= static_cast<int>(s.profiles.size()))
    return s.unknown.push_back(t.id);
  Command& c = new_place(s);
  c.asked = {t.id,
             *t.profile,
             t.ordering_key.has_value(),
             t.ordering_key.value_or(0),
             to_ms(t.deadline),
             to_ms(t.estimated_work.value_or(Duration())),
             t.estimated_memory_mb,
             t.table_group.value_or(-1)};
  c.taken_at = c.held_since = now;
  s.taken.add(now);
  predict(s, c);
}

void hear_note(State& s, Ms now, const AttemptStatus& n) {
  Command* c = command_of(s, n.id);
  if (!c || !c->out || n.attempt != c->sends - 1) return;
  Engine& e = s.engines[c->engine];
  e.sign_at = c->noted_at = now;
  c->waiting = n.kind == AttemptStatusKind::kWaiting;
  double seen = 0;  // a sample of the stretch
  if (n.kind == AttemptStatusKind::kProgress) {
    c->share_done = n.value;
    // Guards against a crowd of long commands that shows in no outcome for as long as they run. A pace far
    // off the engine's own is more likely a bad plan.
    const bool tells = n.value > 0 && !c->waited && now != s.awake_at;
    if (tells) seen = std::min(kStretchMost, (now - c->sent_at) / (n.value * std::max(1.0, c->alone)));
  } else if (c->waiting && n.value == kWaitingForMemory) {
    // Guards against standing in a line for memory behind others' heavy commands while other engines have
    // some: it has done nothing yet and goes elsewhere at no loss. What needs less may still fit here.
    c->stuck = true;
    e.closed_until = now + kFullRest;
    e.closed_from_mb = c->asked.memory_mb;
    seen = kStretchNoMemory;
  } else if (c->waiting && n.value == kWaitingForLoad && !stands_still(s, *c, e)) {
    s.held_tables.push_back({e.id, c->asked.tables, now + kTablesHeld});
    c->stuck = true;
  }
  c->waited |= c->waiting;
  if (seen <= 0) return;
  double& kin = s.kin[e.kin].work_stretch;
  blend_stretch(profile_of(s, *c), kin, std::min(seen, kBadPlan * kin), kStretchLearn);
  blend_stretch(profile_of(s, *c), e.work_stretch, std::min(seen, kBadPlan * e.work_stretch),
                own_share(e, kStretchLearn));
  e.seen += 1;
}

void fade(Ms& counted_at, Ms now, std::initializer_list<double*> counts) {
  const double left = std::exp(-(now - counted_at) / kFailWindow);
  for (double* count : counts) *count *= left;
  counted_at = now;
}

void hear_settled(State& s, Ms now, const AttemptFinished& r) {
  Command* found = command_of(s, r.id);
  if (!found || !found->out || r.attempt != found->sends - 1) return;
  Command& c = *found;
  Engine& e = s.engines[c.engine];
  const Profile& p = profile_of(s, c);
  c.out = false;
  e.sends_out -= 1;
  e.threads_out -= p.threads;
  if (is_short(s, c)) e.short_out -= 1;
  e.work_out = std::max(0.0, e.work_out - c.cost);
  fade(e.counted_at, now, {&e.tries, &e.fails, &e.seen});
  fade(s.pool_counted_at, now, {&s.pool_sends, &s.pool_bad});
  const bool lost =
      r.outcome == Outcome::kFailed || r.outcome == Outcome::kReset || r.outcome == Outcome::kConnectFailed;
  if (r.outcome == Outcome::kOk || lost || r.outcome == Outcome::kTimedOut) e.tries += 1;
  if (lost) {
    e.fails += 1;
    e.good_trials = 0;
  }
  if (e.in_pool && c.heavy) {
    s.pool_sends += 1;
    if (r.outcome == Outcome::kQueueFull || r.outcome == Outcome::kTimedOut) s.pool_bad += 1;
  }
  if (r.outcome == Outcome::kOk) {
    // Guards rule 4: an engine silent for long may have started anew before the list says so.
    if (e.silent && now - e.sign_at > kSilentCold) start_cold(s, e, now);
    e.silent = false;
    e.trials = 0;
    // Guards against a long way back: fading counts alone keep an engine out as long again as it failed.
    if (e.doubted) {
      e.trial_at = now;
      if (++e.good_trials >= kTrialsGood) e.fails = e.good_trials = 0;
    }
    learn(s, now, c, r);
  }
  if (r.outcome == Outcome::kOk || r.outcome == Outcome::kFailed || r.outcome == Outcome::kQueueFull)
    e.sign_at = now;
  // Guards against spending every further send on closed doors: what turns sends away at once has no work in
  // flight and would be drawn first each time. It rests longer with each in a row.
  if (r.outcome == Outcome::kQueueFull) e.limit *= kLevelCut;
  if (r.outcome == Outcome::kQueueFull || r.outcome == Outcome::kConnectFailed) {
    e.closed_from_mb = 0;
    e.closed_until = now + doubled(kFullRest, e.closed_doors);
  } else if (r.outcome != Outcome::kCancelledBeforeStart) {
    e.closed_doors = 0;
  }
  const bool never_ran = r.outcome == Outcome::kQueueFull || r.outcome == Outcome::kConnectFailed ||
                         r.outcome == Outcome::kCancelledBeforeStart;
  if (!never_ran && !c.may_have_run) {
    c.may_have_run = true;
    c.risked_on = c.engine;
    c.risked_at = c.sent_at;
  }
  // Guards rule 5: what may still run holds its key for the stated rest.
  if (p.in_order && c.asked.has_key && s.key_rest > 0 &&
      (r.outcome == Outcome::kTimedOut || r.outcome == Outcome::kReset || r.outcome == Outcome::kCancelled))
    s.key_rests.push_back({c.asked.key, now + s.key_rest});
  c.ended |= r.is_command_finished;
  if (c.ended) return;
  c.want = Want::kHold;
  c.held_since = now;
  c.withdrawn = false;
  if (r.outcome == Outcome::kTimedOut || now >= c.asked.gives_up_at - kEndSlack) {
    c.want = Want::kFail;
    c.reason = Reason::kDeadlineExceeded;
  }
}

// ---- Health -------------------------------------------------------------------------------------

// Whether a send has run so long that its engine owed a sign of life.
bool overdue(const State& s, const Command& c, const Engine& e, Ms now) {
  // Guards against doubt where no word is owed: what stands still sends none, and after a stall
  // of this gateway itself the first words are still to come.
  const Ms since = std::max({c.sent_at, e.sign_at, s.awake_at});
  if (c.waiting || now - since < kSilence) return false;
  if (s.note_period > 0 && now - std::max(since, c.noted_at) > kNotesMissed * s.note_period) return true;
  return now - since > kOverdue * usual_time(s, c, e);
}

}  // namespace

State open(const Settings& a, uint64_t salt) {
  State s;
  s.settings = a;
  s.chance.state = salt * 2 + 1;
  s.chance.next();
  s.gateways = std::max(1.0, number(a, "gateways", 1));
  s.gateway_number = number(a, "gateway number");
  s.most_sends = std::max(1, static_cast<int>(number(a, "sends at most", 1)));
  s.may_cancel = number(a, "may cancel") > 0;
  s.ranks = number(a, "priorities heeded") > 0;
  s.grants = number(a, "grants heeded") > 0;
  s.budgeted = a.count("further sends share") > 0 || a.count("further sends free") > 0;
  s.budget_free = number(a, "further sends free");
  s.budget_share = number(a, "further sends share");
  s.budget_window = number(a, "further sends window");
  s.key_rest = number(a, "key rest");
  s.note_period = number(a, "note period");
  s.warm_up = number(a, "warm-up");
  s.cold_share = number(a, "cold share", 1);
  s.fall_multiple = number(a, "fall multiple", 1);
  s.fall_window = number(a, "fall window");
  s.shed_advice = number(a, "may advise") > 0 ? number(a, "longest advice") : 0;
  for (int i = 0; a.count("profile." + std::to_string(i) + ".name"); ++i)
    s.profiles.emplace_back(profile_from(a, i)).grant = kGrantStart;
  return s;
}

void handle(State& s, TimePoint at, const Event& event) {
  const Ms now = to_ms(at);
  // Guards against a stall of this gateway itself: what it finds then came at some time before, so neither
  // times taken nor paces of that moment tell of the engines.
  if (s.want_bell > 0 && now > s.want_bell + kStall) s.awake_at = now;
  if (s.opened_at == 0) s.opened_at = now;
  if (const auto* r = std::get_if<EngineListUpdate>(&event)) return hear_roster(s, now, *r);
  if (const auto* t = std::get_if<Admitted>(&event)) return hear_taken(s, now, *t);
  if (const auto* n = std::get_if<AttemptStatus>(&event)) return hear_note(s, now, *n);
  if (const auto* r = std::get_if<AttemptFinished>(&event)) return hear_settled(s, now, *r);
  if (const auto* x = std::get_if<ShutdownStarted>(&event)) s.closes_at = to_ms(x->ends_at);
  if (const auto* g = std::get_if<ClientGone>(&event))
    if (Command* c = command_of(s, g->id)) c->ended = true;
  // Guards against sends for a client that has closed: what is out may end and be answered, nothing follows.
  if (const auto* h = std::get_if<ClientHalfClosed>(&event))
    if (Command* c = command_of(s, h->id)) c->left_at = h->is_half_closed ? now : 0;
  if (const auto* p = std::get_if<ResultReservation>(&event))
    if (Command* c = command_of(s, p->id)) c->placeless = !p->is_granted;
  if (std::get_if<TimerFired>(&event) && now >= s.bell_at) s.bell_at = 0;
}

void judge_engines(State& s, Ms now) {
  for (const int place : s.live) {
    const Command& c = s.slab[place];
    if (c.out && overdue(s, c, s.engines[c.engine], now)) s.engines[c.engine].silent = true;
  }
  // Guards against levels that never move, or by chance, where a gateway sees little of each engine: with few
  // samples of its own an engine is taken to be as crowded as its kin (of its machine, in the pool or not).
  const auto with_kin = [](const Engine& e, double own, double kin) {
    return (e.seen * own + kKinWeight * kin) / (e.seen + kKinWeight);
  };
  s.sorted_costs.clear();
  for (Engine& e : s.engines) {
    fade(e.counted_at, now, {&e.tries, &e.fails, &e.seen});
    e.usual = with_kin(e, e.stretch, s.kin[e.kin].stretch);
    if (e.life == EngineState::kReady) s.sorted_costs.push_back(e.usual);
  }
  std::sort(s.sorted_costs.begin(), s.sorted_costs.end());
  s.usual_stretch = s.sorted_costs.empty() ? 1 : std::max(1.0, s.sorted_costs[s.sorted_costs.size() / 2]);
  for (Engine& e : s.engines) {
    const bool failing = e.fails >= kFailLeast && e.fails >= kFailShare * e.tries;
    const bool doubted = e.silent || failing || e.usual > kSlowPeer * s.usual_stretch;
    if (doubted && !e.doubted) {
      e.trials = 0;
      e.trial_at = now + kTrialFirst;
    }
    e.doubted = doubted;
    // The level: down while its sends crowd each other, up while it binds and they do not.
    const double least = kLevelLeast * e.cores / s.gateways;
    e.crowding = std::max(e.usual, with_kin(e, e.work_stretch, s.kin[e.kin].work_stretch));
    if (e.crowding > kStretchHigh && now - e.limit_moved_at > kLevelCutWait) {
      e.limit *= kLevelCut;
      e.limit_moved_at = now;
    } else if (e.crowding < kStretchLow && e.limit_met && now - e.limit_moved_at > kLevelRaiseWait) {
      e.limit += std::min(1.0, kRaisePart * kLevelStart * e.cores / s.gateways);
      e.limit_moved_at = now;
    }
    e.limit = std::clamp(e.limit, least, kLevelMost * e.cores);
    e.limit_met = false;
  }
}

// The pool by the design: one zone of two or more engines where there are several zones, or else the last
// engines by id, sized to the heavy share of work. Every gateway draws the same zone: that of the last id.
void draw_pool(State& s) {
  std::vector<int>& ready = s.drawn;
  ready.clear();
  for (size_t i = 0; i < s.engines.size(); ++i) {
    s.engines[i].in_pool = false;
    if (s.engines[i].life == EngineState::kReady) ready.push_back(static_cast<int>(i));
  }
  if (ready.empty()) return;
  s.zone_counts.assign(s.zones.size(), 0);
  for (const int i : ready) ++s.zone_counts[s.engines[i].zone_number];
  const auto fits = [&](int i) {
    const size_t count = s.zone_counts[s.engines[i].zone_number];
    ++s.zones_looked_at;
    return count >= kPoolLeast && count < ready.size();
  };
  const auto last = std::find_if(ready.rbegin(), ready.rend(), fits);
  if (last != ready.rend()) {
    const int zone = s.engines[*last].zone_number;
    for (const int i : ready) s.engines[i].in_pool = s.engines[i].zone_number == zone;
  } else {
    const double share = s.all_work > 0 ? s.heavy_work / s.all_work : 0;
    const size_t count =
        std::clamp(static_cast<size_t>(std::lround(share * static_cast<double>(ready.size()))),
                   std::min(kPoolLeast, ready.size()), ready.size());
    for (size_t k = ready.size() - count; k < ready.size(); ++k) s.engines[ready[k]].in_pool = true;
  }
  for (Engine& e : s.engines) e.kin = 2 * e.kind + (e.in_pool ? 1 : 0);
  // The top share of predictions that counts as heavy.
  if (s.recent_costs.size() < kRecentLeast) return;
  s.sorted_costs = s.recent_costs;
  const size_t top = std::max<size_t>(1, static_cast<size_t>(kHeavyShare * s.sorted_costs.size()));
  std::nth_element(s.sorted_costs.begin(), s.sorted_costs.begin() + static_cast<long>(top - 1),
                   s.sorted_costs.end(), std::greater<>());
  s.heavy_from = s.sorted_costs[top - 1];
}

// Whether a load holds what the command reads on that engine: one of this gateway's own, or as told by a send
// that stood still there.
bool stands_still(const State& s, const Command& c, const Engine& e) {
  const Profile& p = profile_of(s, c);
  if (c.asked.tables < 0 || !(p.waits || p.is_load)) return false;
  for (const int place : s.live) {
    const Command& other = s.slab[place];
    const bool there = &other != &c && other.engine >= 0 && &s.engines[other.engine] == &e;
    if (there && other.out && other.asked.tables == c.asked.tables && profile_of(s, other).is_load)
      return true;
  }
  return std::any_of(s.held_tables.begin(), s.held_tables.end(),
                     [&](const HeldTables& h) { return h.engine == e.id && h.tables == c.asked.tables; });
}

bool has_turn(const State& s, const Command& c, Ms now) {
  const Profile& p = profile_of(s, c);
  if (!p.in_order || !c.asked.has_key) return true;
  for (const int place : s.live) {
    const Command& earlier = s.slab[place];
    if (&earlier == &c) break;
    if (earlier.asked.has_key && earlier.asked.key == c.asked.key && profile_of(s, earlier).in_order)
      return false;
  }
  // A command's own earlier sends do not delay it; rests of its key left by others do.
  if (c.sends > 0) return true;
  return std::none_of(s.key_rests.begin(), s.key_rests.end(),
                      [&](const KeyRest& k) { return k.key == c.asked.key && now < k.until; });
}

bool budget_left(State& s, Ms now) {
  if (!s.budgeted) return true;
  s.taken.forget_before(now - s.budget_window);
  s.further.forget_before(now - s.budget_window);
  return static_cast<double>(s.further.size()) + 1 <=
         s.budget_free + s.budget_share * static_cast<double>(s.taken.size());
}

// Whether the rules let it run there now, whatever room there is.
bool may_run_on(const State& s, const Command& c, const Engine& e, Ms now) {
  const Profile& p = profile_of(s, c);
  if (e.life != EngineState::kReady || !allowed(p, e) || has_left(c, now)) return false;
  if (!c.may_have_run || p.effect == Effect::kReplayable) return true;
  if (p.effect == Effect::kNonReplayable) return false;
  const Engine& first = s.engines[c.risked_on];
  const bool inside = p.group == Group::kAll || (p.group == Group::kZone && e.zone == first.zone) ||
                      (p.group == Group::kCell && e.cell == first.cell);
  return inside && in_window(p, c.risked_at, now);
}

bool may_send(const State& s, const Command& c, const Engine& e, Ms now) {
  return !c.ended && !c.out && c.sends < s.most_sends && may_run_on(s, c, e, now);
}

bool may_start_attempt(const State& s, const CommandId& id, TimePoint at) {
  const Ms now = to_ms(at);
  const Command* const c = command_of(s, id);
  return c && c->out && !c->ended && !c->withdrawn && may_run_on(s, *c, s.engines[c->engine], now);
}

// Guards rule 4 against a wall clock that was stepped, here or where the list is written: by it an engine
// that has just started may seem an hour old, or not to have started yet, and would get the load of a warm
// one, or none. A start cannot lie ahead; and one that the list did not hold when it was last known to be
// current lies after that, but for the time in which lists are told. What contradicts these is taken as a
// start now. It may cost a warm engine that joins late a warm-up.
Ms start_of(Ms born, Ms current_at, Ms now) {
  const bool is_ahead = born > now;
  const bool is_older_than_news = current_at > 0 && born < current_at - kListLate;
  return is_ahead || is_older_than_news ? now : born;
}

// The part of its capacity that an engine has by now, by an even ramp from the stated cold share.
double warmth(const State& s, const Engine& e, Ms now) {
  if (e.cold_since < 0 || now - e.cold_since >= s.warm_up) return 1;
  return s.cold_share + (1 - s.cold_share) * (now - e.cold_since) / s.warm_up;
}

// Guards rule 4: whether an engine that warms up may be sent this profile's usual work: this gateway's share,
// over any window of the stated length, of what a ramp from the cold share allows. A burst right after the
// start spends the same. Where the share is less than one command: small ones come as seldom as the share
// pays for them, the first at a moment drawn within that rest, for their number evens out; larger ones by
// turns, told by the engine's start and the gateway's number, one at a time. A gateway that has started since
// the engine did has forgotten what it sent before: it takes that for its share, and lets a turn pass that
// had begun.
ColdRoom cold_room(const State& s, Engine& e, Ms work, Ms now) {
  if (e.cold_since < 0 || now - e.cold_since > s.warm_up || s.fall_window <= 0) {
    e.cold_since = -1;
    return ColdRoom::kOpen;
  }
  const Ms all = kColdPart * s.fall_multiple * warmth(s, e, now) * kCapacity * e.cores * s.fall_window;
  const Ms share = all / s.gateways, rare = s.fall_window * std::max(1.0, work / share);
  const Ms forgotten = e.cold_since < s.opened_at ? s.fall_window - (now - s.opened_at) : 0;
  Ms spent = share * std::max(0.0, forgotten / s.fall_window),
     last = std::max(e.cold_since, s.opened_at) - rare * (1 - e.cold_phase);
  std::erase_if(e.spent, [&](const auto& x) { return x.first < now - std::max(s.warm_up, rare); });
  for (const auto& x : e.spent) {
    if (x.first > now - s.fall_window) spent += x.second;
    last = x.first;
  }
  if (spent + work <= share) return ColdRoom::kOpen;
  if (work <= kColdSmall * all) return work > share && now - last >= rare ? ColdRoom::kOpen : ColdRoom::kShut;
  if (work > all) return ColdRoom::kShut;
  Ms largest = work;  // whose turns are long enough for all: the turns of the profiles must not add up
  for (const Profile& p : s.profiles)
    if (p.mean_cost <= all) largest = std::max(largest, p.mean_cost);
  const double turns = std::floor(all / largest);  // within the window
  const double turn = std::floor((now - e.cold_since) * turns / s.fall_window);
  const bool mine = std::fmod(turn + to_number(e.id), s.gateways) == s.gateway_number;
  const Ms begun = e.cold_since + turn * s.fall_window / turns;
  return mine && begun > last && begun >= s.opened_at ? ColdRoom::kMyTurn : ColdRoom::kShut;
}

// Two drawn candidates with room, the one with less own predicted work in flight. -1: none has room.
int choose(State& s, const Command& c, Ms now) {
  const Profile& p = profile_of(s, c);
  const bool quick = is_short(s, c);
  const bool readers =
      std::any_of(s.profiles.begin(), s.profiles.end(), [](const Profile& x) { return x.waits; });
  const bool held_long = now - c.held_since > kHeavyHold, anywhere = p.machines.empty();
  bool usable = false, crowded = true;  // the first choice: an engine that works; all over their cores
  for (const bool pool : {c.heavy, !c.heavy}) {
    s.drawn.clear();
    double room = 0, threads_out = 0;  // of all engines in this half that would do
    // Loads that readers would stand still behind overflow when every pool engine is over its cores, as by
    // design, or once held as long as heavy commands are; other heavy ones when the pool's level is reached.
    // Light ones use spare room there; those that would stand still behind its loads if no light one works.
    if (pool != c.heavy && usable && (c.heavy ? p.is_load && readers && !crowded && !held_long : p.waits))
      break;
    for (size_t i = 0; i < s.engines.size(); ++i) {
      Engine& e = s.engines[i];
      if (e.in_pool != pool || (now < e.closed_until && c.asked.memory_mb >= e.closed_from_mb) ||
          !may_send(s, c, e, now))
        continue;
      if (e.doubted) {
        if (quick && p.effect == Effect::kReplayable && e.sends_out == 0 && now >= e.trial_at &&
            c.sends == 0) {
          e.trial_at = now + doubled(kTrialFirst, e.trials);
          return static_cast<int>(i);
        }
        continue;
      }
      usable = true;
      crowded &= e.threads_out > e.cores;
      const double limit = e.limit * warmth(s, e, now) * (quick ? kShortExtra : 1);
      room += limit;
      threads_out += quick ? e.short_out : e.threads_out;
      if (e.threads_out > 0 && e.threads_out + p.threads > limit) {
        e.limit_met = true;
        continue;
      }
      const ColdRoom cold = cold_room(s, e, p.mean_cost, now);
      if (cold == ColdRoom::kShut || stands_still(s, c, e) || (e.awaits && anywhere && !quick)) continue;
      if (cold == ColdRoom::kMyTurn) return static_cast<int>(i);
      s.drawn.push_back(static_cast<int>(i));
    }
    // Guards against many gateways with a small share of each engine, whose single commands add up to a
    // crowd: one command may always be out, any further ones only within the levels of all these engines
    // together. Short commands are held by each other alone: they do not sit out a long one.
    const bool owes = !quick && s.debts[pool] > 0;
    if ((threads_out > 0 || owes) && threads_out + p.threads > room) {
      for (const int i : s.drawn) s.engines[i].limit_met = true;
      continue;
    }
    if (s.drawn.empty()) continue;
    // Guards against filling machines that some commands are bound to while others stand half idle: crowded
    // engines take nothing that has room on one that is not.
    const auto easy = [&](int i) { return s.engines[i].crowding < kStretchLow; };
    if (std::any_of(s.drawn.begin(), s.drawn.end(), easy))
      std::erase_if(s.drawn, [&](int i) { return s.engines[i].crowding > kStretchHigh; });
    // Short commands do so only where this gateway's level holds one there: elsewhere something is always
    // awaited, and the short commands of all gateways would crowd the machines that nothing is bound to.
    const auto kept = [&](int i) {
      const Engine& e = s.engines[i];
      return anywhere && e.awaited && (!quick || e.limit >= p.threads);
    };
    if (!std::all_of(s.drawn.begin(), s.drawn.end(), kept)) std::erase_if(s.drawn, kept);
    const size_t count = s.drawn.size(), one = s.chance.next() % count;
    const size_t two = count > 1 ? (one + 1 + s.chance.next() % (count - 1)) % count : one;
    const auto load = [&](int i) {
      const Engine& e = s.engines[i];
      const bool warm = c.asked.tables >= 0 &&
                        std::find(e.tables.begin(), e.tables.end(), c.asked.tables) != e.tables.end();
      return (e.work_out + c.cost * (warm ? kWarmTables : 1)) * std::max(1.0, e.usual) / e.cores;
    };
    return load(s.drawn[one]) <= load(s.drawn[two]) ? s.drawn[one] : s.drawn[two];
  }
  return -1;
}

// Guards against many gateways with a small share of each engine, whose one command that may always be out
// adds up to a crowd from which no cut of a level leads back: the levels of the pool, and of the other
// engines, hold as a mean over time, and what ran past them is waited for. Where a gateway's share holds more
// than one command this changes nothing; one with far more traffic than its neighbours is held to its level.
void count_debts(State& s, Ms now) {
  const Ms passed = std::min(now - std::exchange(s.debts_at, now), kDebtMost);
  for (const bool pool : {false, true}) {
    double room = 0, out = 0;
    for (const Engine& e : s.engines) {
      if (e.in_pool != pool) continue;
      out += e.threads_out - e.short_out;
      if (e.life == EngineState::kReady && !e.doubted) room += e.limit * warmth(s, e, now);
    }
    s.debts[pool] = std::clamp(s.debts[pool] + (out - room) * passed, 0.0, room * kDebtMost);
  }
}

// What is out: withdrawn where its engine went silent or its plan is bad, when it may be sent again.
void review_out(State& s, Ms now) {
  for (const int place : s.live) {
    Command& c = s.slab[place];
    if (!c.out || c.ended || c.withdrawn || !s.may_cancel) continue;
    const Profile& p = profile_of(s, c);
    const Engine& e = s.engines[c.engine];
    const Ms ran = now - c.sent_at, left = c.asked.gives_up_at - now;
    const Ms again = c.alone * std::max(1.0, e.usual);
    // A uniqued command that stands still has not begun: it, too, may go elsewhere inside its window.
    const bool movable = p.effect == Effect::kUniqued && p.group == Group::kAll && c.stuck &&
                         in_window(p, c.may_have_run ? c.risked_at : c.sent_at, now);
    if ((p.effect != Effect::kReplayable && !movable) || c.left_at > 0 || is_spent(s, c, now) || left < again)
      continue;
    if (c.stuck || (e.silent && overdue(s, c, e, now))) {
      if (!budget_left(s, now)) continue;
      c.want = Want::kWithdraw;
      c.reason = c.stuck ? Reason::kBlocked : Reason::kEngineUnresponsive;
      // Guards against spending all sends within moments on engines full alike: each move waits longer.
      if (c.stuck) c.rest_until = now + kMoveRest * c.alone * c.moves++;
      continue;
    }
    if (ran < kBadPlanLeast || c.withdrawals >= kWithdrawMost) continue;
    const Ms whole = c.share_done > 0 ? (c.noted_at - c.sent_at) / c.share_done : 0;
    // Without a word of progress the plan may be bad or the send swallowed by an engine that serves others.
    const bool blind = c.share_done == 0 && !c.waited && ran > kBlind * usual_time(s, c, e);
    if ((blind || (whole > kBadPlan * again && whole - ran > again)) && budget_left(s, now)) {
      c.want = Want::kWithdraw;
      c.reason = blind ? Reason::kNoProgress : Reason::kBadPlan;
      c.withdrawals += 1;
    }
  }
}

// What is held: most benefit for its work first; each goes out where there is room, or waits, or ends.
void review_line(State& s, Ms now) {
  s.line.clear();
  for (Engine& e : s.engines) e.awaited = std::exchange(e.awaits, false);
  for (const int place : s.live) {
    const Command& c = s.slab[place];
    if (!c.ended && !c.out && c.want == Want::kHold) s.line.push_back(place);
  }
  const auto late = [&](const Command& c) {
    const Profile& p = profile_of(s, c);
    return now + c.alone > c.taken_at + p.latency_target + p.target_stretch * c.alone;
  };
  const auto worth = [&](int place) {
    const Command& c = s.slab[place];
    const Profile& p = profile_of(s, c);
    return p.benefit * (late(c) ? p.late_share : 1) / c.cost;
  };
  std::sort(s.line.begin(), s.line.end(), [&](int a, int b) {
    const double one = worth(a), two = worth(b);
    return one != two ? one > two : s.slab[a].asked.id.text < s.slab[b].asked.id.text;
  });
  const bool pool_overloaded = s.pool_sends >= kPoolSendsLeast && s.pool_bad >= kPoolBadShare * s.pool_sends;
  for (const int place : s.line) {
    Command& c = s.slab[place];
    const Profile& p = profile_of(s, c);
    // Guards against work that the client will not wait for, as after a change to less patient clients.
    const Ms expected = c.alone * s.usual_stretch;
    const bool hopeless = now + std::min(expected, kTryAnyway * (c.asked.gives_up_at - c.taken_at)) >
                          c.asked.gives_up_at - kEndSlack;
    const Reason spent = why_spent(s, c, now);
    if (hopeless || spent != Reason::kNone) {
      end(s, c, now, spent != Reason::kNone ? spent : Reason::kDeadlineTooClose);
      continue;
    }
    // Guards an engine against holding a result that nobody has room for: without a place it only waits.
    if (c.placeless) continue;
    if (c.heavy && pool_overloaded) {
      if (now - c.taken_at >= kHeavyHold) end(s, c, now, Reason::kPoolOverloaded);
      continue;
    }
    if (now < c.rest_until || !has_turn(s, c, now) || (c.sends > 0 && !budget_left(s, now))) continue;
    const int i = choose(s, c, now);
    if (i < 0) {
      // Guards against filling, bit by bit, the machines that a command is bound to: what may run anywhere
      // leaves them to it. It may hold loads where no other machine has room.
      for (Engine& e : s.engines) e.awaited |= e.awaits |= !p.machines.empty() && allowed(p, e);
      continue;
    }
    if (c.sends > 0) s.further.add(now);  // here, so that the next in line sees it
    c.want = Want::kOut;
    c.want_engine = i;
    c.want_rank = is_short(s, c) ? kRankShort : kRankOther;
    c.want_grant_mb = s.grants ? c.asked.memory_mb * p.grant : 0;
    Engine& e = s.engines[i];
    e.sends_out += 1;
    e.threads_out += p.threads;
    if (is_short(s, c)) e.short_out += 1;
    e.work_out += c.cost;
    if (e.cold_since >= 0) e.spent.push_back({now, p.mean_cost});
  }
}

void decide(State& s, TimePoint at, Actions& out) {
  const Ms now = to_ms(at);
  std::erase_if(s.held_tables, [&](const HeldTables& h) { return now >= h.until; });
  std::erase_if(s.key_rests, [&](const KeyRest& k) { return now >= k.until; });
  // Guards against leaving commands without an answer: no client's patience outlasts this gateway.
  if (s.closes_at > 0)
    for (const int i : s.live)
      s.slab[i].asked.gives_up_at = std::min(s.slab[i].asked.gives_up_at, s.closes_at);
  judge_engines(s, now);
  draw_pool(s);
  count_debts(s, now);
  review_out(s, now);
  review_line(s, now);
  const auto in_hand = [&](int place) { return !s.slab[place].ended; };
  s.want_bell = std::any_of(s.live.begin(), s.live.end(), in_hand) ? now + kBeat : 0;
  emit(s, now, out);
}

void emit(State& s, Ms now, Actions& out) {
  const auto act = [&](Action::Kind kind, const CommandId& id) -> Action& {
    Action& a = out.emplace_back();
    a.kind = kind;
    a.command = id;
    return a;
  };
  for (const CommandId& id : s.unknown) act(Action::Kind::kFailCommand, id).reason = Reason::kUnknownProfile;
  s.unknown.clear();
  for (const int place : s.live) {
    Command& c = s.slab[place];
    if (c.ended) {
      // Work that serves nobody any more is called off: the client left while it ran.
      if (!c.out || c.withdrawn || !s.may_cancel) continue;
      Action& a = act(Action::Kind::kCancelAttempt, c.asked.id);
      a.attempt = c.sends - 1;
      a.reason = Reason::kClientGone;
      c.withdrawn = true;
    } else if (c.want == Want::kOut && !c.out) {
      const bool rank = s.ranks && c.want_rank != c.rank, grant = s.grants && c.want_grant_mb != c.grant_mb;
      if (rank || grant) {
        Action& a = act(Action::Kind::kSetSchedulingHints, c.asked.id);
        a.priority = c.rank = c.want_rank;
        a.memory_grant_mb = c.grant_mb = c.want_grant_mb;
      }
      act(Action::Kind::kStartAttempt, c.asked.id).engine = s.engines[c.want_engine].id;
      c.sends += 1;
      c.engine = c.want_engine;
      c.out = true;
      c.withdrawn = c.waited = c.waiting = c.stuck = false;
      c.share_done = 0;
      c.sent_at = c.noted_at = now;
    } else if (c.want == Want::kWithdraw && c.out && !c.withdrawn) {
      Action& a = act(Action::Kind::kCancelAttempt, c.asked.id);
      a.attempt = c.sends - 1;
      a.reason = c.reason;
      c.withdrawn = true;
    } else if (c.want == Want::kShed || c.want == Want::kFail) {
      const bool shed = c.want == Want::kShed;
      Action& a = act(shed ? Action::Kind::kShedCommand : Action::Kind::kFailCommand, c.asked.id);
      if (shed && s.shed_advice > 0) a.retry_after = duration_of(s.shed_advice);
      a.reason = c.reason;
      c.ended = true;
    }
  }
  // A place is free once its command has ended and nothing of it is out.
  std::erase_if(s.live, [&](int place) {
    if (!s.slab[place].ended || s.slab[place].out) return false;
    s.free_places.push_back(place);
    return true;
  });
  for (Engine& e : s.engines) {
    if (e.doubted != e.told) {
      Action& a = act(Action::Kind::kLogEngineHealth, {});
      a.engine = e.id;
      a.health = !e.doubted ? EngineHealth::kReinstated
                 : e.silent ? EngineHealth::kUnresponsive
                            : EngineHealth::kFailingOrSlow;
      e.told = e.doubted;
    }
  }
  if (s.want_bell > 0 && s.bell_at == 0) {
    act(Action::Kind::kSetTimer, {}).timer_delay = duration_of(s.want_bell - now);
    s.bell_at = s.want_bell;
  }
}

}  // namespace firvalve
