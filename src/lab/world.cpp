#include "lab/world.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <unordered_map>

#include "core/core.h"
#include "lab/queue.h"

namespace firvalve::lab {
namespace {

constexpr Ms kCancelUnanswered = 2100;  // after a withdrawal, as the gateway's driver has it

struct Event {
  enum class Kind : uint8_t {
    kArrive,       // a client's command at `who`
    kTurn,         // of gateway `who`
    kStart,        // a send comes to engine `who`
    kStop,         // its withdrawal does
    kDone,         // engine `who` has finished something, if `number` is still its version
    kEnd,          // the end of a send comes to gateway `who`: `outcome`
    kList,         // gateway `who` hears of engine `engine`
    kTrouble,      // begins
    kTroubleEnds,  // ends
  };
  Kind kind = Kind::kTurn;
  uint8_t outcome = 0;
  bool listed = true;
  uint32_t who = 0, engine = 0;
  uint64_t number = 0;
};

struct Query {
  uint64_t send = 0;  // of the whole run
  uint32_t gateway = 0;
  double left = 0;  // work
  int threads = 1;
};

class World {
 public:
  explicit World(const WorldOptions& options);
  WorldOutcome play();

 private:
  struct Gateway;
  struct Engine {
    std::vector<Query> queries;
    Ms moved_at = 0;
    double threads = 0;
    uint64_t version = 0;
    uint32_t id = 0;  // as listed; new after each death
    bool silent = false, dead = false;
  };
  struct Attempt {
    uint32_t gateway = 0, engine = 0, engine_id = 0;
    uint64_t of_gateway = 0;  // the gateway's number of it
    double work = 0;
    int threads = 1;
    uint64_t command = 0;
    bool ended = false, at_engine = false;
  };
  struct Command {
    Ms at = 0;
    double work = 0;
    int profile = 0;
  };

  void handle(const Event& e);
  void arrive(uint32_t gateway);
  void turn(uint32_t gateway);
  void start(uint64_t send);
  void stop(uint64_t send);
  void done(uint32_t engine, uint64_t version);
  void end_attempt(uint64_t send, Outcome outcome);
  void list(uint32_t gateway, uint32_t engine, uint32_t id, bool listed);
  void trouble(size_t number, bool begins);
  double pace(const Engine& e) const;  // work a ms that a thread gets
  void advance(Engine& e);
  void plan(uint32_t engine);
  void end_later(uint64_t send, Outcome outcome, Ms wait);
  Ms network_delay() {
    return std::uniform_real_distribution<double>(options_.delay_least, options_.delay_most)(chance_);
  }
  void note(Happening h);
  void finish(uint32_t gateway, CallRef call, Happening::Kind kind);
  double busy() const;
  Articles articles(int gateway) const;
  void put(Ms wait, Event e) { queue_.put(now_ + wait, e); }

  WorldOptions options_;
  RunRules rules_;
  pcg64 chance_;
  EventQueue<Event> queue_;
  Ms now_ = 1000;
  const Ms begin_ = 1000;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::unordered_map<uint64_t, Command> commands_;  // by command, until its final answer
  uint64_t last_attempt_ = 0, last_command_ = 0;
  uint32_t last_engine_ = 0;
  History history_;
  WorldOutcome outcome_;
  uint64_t shed_ = 0, shed_idle_ = 0;
};

struct World::Gateway : Front, Back {
  Gateway(World& world, uint32_t number, const Articles& articles, uint64_t seed)
      : world(world),
        number(number),
        core(articles, seed, *this, *this, counters, [](const auto&, const auto&) {}) {}

  void answer(CallRef call, std::string_view) override {
    world.finish(number, call, Happening::Kind::kAnswered);
  }
  void shed(CallRef call, Ms) override { world.finish(number, call, Happening::Kind::kRefused); }
  void fail(CallRef call, std::string_view) override { world.finish(number, call, Happening::Kind::kFailed); }
  void answer_paged(CallRef, ShelfNo) override {}

  void start(Ms, const Order& order) override {
    const uint64_t send = ++world.last_attempt_;
    Attempt& s = world.attempts_[send];
    s.gateway = number;
    s.of_gateway = order.send;
    s.command = std::stoull(std::string(order.command), nullptr, 16);
    s.engine_id = order.engine;
    const auto at = place.find(order.engine);
    s.engine = at == place.end() ? UINT32_MAX : at->second;
    by_send[order.send] = send;
    const Command& asked = world.commands_.at(s.command);
    s.work = asked.work;
    s.threads = world.options_.profiles[static_cast<size_t>(asked.profile)].threads;
    ++world.outcome_.sends;
    Happening h;
    h.kind = Happening::Kind::kSent;
    h.gateway = number;
    h.command = s.command;
    h.send = send;
    h.engine = order.engine - 1;
    world.note(h);
    if (s.engine == UINT32_MAX) return world.end_later(send, Outcome::kConnectFailed, 0);
    Event e;
    e.kind = Event::Kind::kStart;
    e.who = s.engine;
    e.number = send;
    world.put(world.network_delay(), e);
  }
  void withdraw(Ms, uint64_t of_gateway, Outcome as) override {
    const auto at = by_send.find(of_gateway);
    if (at == by_send.end()) return;
    // Without an answer to its withdrawal it ends when an unasked query would have.
    world.end_later(at->second, as, as == Outcome::kCancelled ? kCancelUnanswered : 0);
    Event e;
    e.kind = Event::Kind::kStop;
    e.number = at->second;
    world.put(world.network_delay(), e);
  }
  void rank(Ms, uint64_t, int) override {}
  void list(Ms, uint32_t, std::string_view, Life) override {}

  World& world;
  const uint32_t number;
  Counters counters;
  std::unordered_map<uint64_t, uint64_t> by_send;  // its numbers to the run's
  std::unordered_map<uint32_t, uint32_t> place;    // engines' ids to their places
  std::unordered_map<CallRef, uint64_t> calls;     // to commands
  Ms turn_at = 0;
  CallRef last_call = 0;
  Core core;
};

std::vector<WorldProfile> usual_profiles() {
  WorldProfile lookup{"lookup", RunRules::Effect::kReplayable, 0.85, 15, 0.8, 0.5, 1, 300, 2000, 1};
  WorldProfile report{"report", RunRules::Effect::kReplayable, 0.13, 150, 0.8, 0.5, 2, 1500, 6000, 6};
  WorldProfile load{"load", RunRules::Effect::kNonReplayable, 0.02, 300, 0.6, 0.5, 1, 4000, 10000, 4};
  return {lookup, report, load};
}

World::World(const WorldOptions& options) : options_(options), chance_(options.seed, 77) {
  if (options_.profiles.empty()) options_.profiles = usual_profiles();
  for (const WorldProfile& p : options_.profiles) {
    RunRules::Profile rule;
    rule.name = p.name;
    rule.effect = p.effect;
    rules_.profiles.push_back(rule);
    outcome_.names.push_back(p.name);
  }
  outcome_.profiles.resize(options_.profiles.size());
  // One for each id that there will be.
  size_t ids = static_cast<size_t>(options_.engines);
  for (const Trouble& t : options_.troubles)
    if (t.kind == Trouble::Kind::kDies) ids += t.engines;
  rules_.engines.assign(ids, {"z", "std", 0});
  rules_.drain_grace = 1000;
  engines_.resize(static_cast<size_t>(options_.engines));
  for (Engine& e : engines_) e.id = ++last_engine_;
  for (int g = 0; g < options_.gateways; ++g)
    gateways_.push_back(std::make_unique<Gateway>(*this, static_cast<uint32_t>(g), articles(g), chance_()));
  for (uint32_t g = 0; g < gateways_.size(); ++g) {
    std::vector<NamedListing> all;
    for (uint32_t i = 0; i < engines_.size(); ++i) {
      NamedListing l;
      l.name = fmt::format("s-{:08x}", engines_[i].id);
      l.address = "127.0.0.1:1";
      l.listing.zone = "z";
      l.listing.machine = "std";
      gateways_[g]->place[engines_[i].id] = i;
      all.push_back(std::move(l));
      Happening h;
      h.kind = Happening::Kind::kTold;
      h.gateway = g;
      h.engine = engines_[i].id - 1;
      note(h);
    }
    gateways_[g]->core.roster(now_, true, std::move(all));
    Event e;
    e.kind = Event::Kind::kArrive;
    e.who = g;
    put(std::exponential_distribution<double>(options_.rate / 1000 / options_.gateways)(chance_), e);
  }
  for (size_t i = 0; i < options_.troubles.size(); ++i) {
    Event e;
    e.kind = Event::Kind::kTrouble;
    e.number = i;
    put(options_.troubles[i].at, e);
    e.kind = Event::Kind::kTroubleEnds;
    put(options_.troubles[i].at + options_.troubles[i].lasts, e);
  }
}

Articles World::articles(int gateway) const {
  Articles a;
  a["gateways"] = static_cast<double>(options_.gateways);
  a["gateway number"] = static_cast<double>(gateway);
  a["may cancel"] = 1.0;
  a["sends at most"] = 4.0;
  a["tick"] = 5.0;
  a["cores.std"] = options_.cores;
  a["memory.std"] = 64000.0;
  for (size_t i = 0; i < options_.profiles.size(); ++i) {
    const WorldProfile& p = options_.profiles[i];
    const std::string at = fmt::format("profile.{}.", i);
    a[at + "name"] = p.name;
    a[at + "benefit"] = p.benefit;
    a[at + "late share"] = 0.2;
    a[at + "latency target"] = p.target;
    a[at + "client timeout"] = p.timeout;
    a[at + "threads"] = static_cast<double>(p.threads);
    a[at + "load"] = p.effect == RunRules::Effect::kNonReplayable ? 1.0 : 0.0;
    a[at + "effect"] =
        std::string(p.effect == RunRules::Effect::kReplayable ? "replayable" : "non-replayable");
  }
  return a;
}

void World::note(Happening h) {
  h.at = now_;
  const uint64_t parts[] = {
      outcome_.hash, static_cast<uint64_t>(h.at * 1e6),      static_cast<uint64_t>(h.kind), h.command,
      h.send,        (uint64_t{h.gateway} << 32) | h.engine, static_cast<uint64_t>(h.how)};
  outcome_.hash = XXH3_64bits(parts, sizeof parts);
  if (options_.keep_history) history_.push_back(h);
}

double World::busy() const {
  double wanted = 0;
  for (const Engine& e : engines_) wanted += std::min(e.threads, options_.cores);
  return wanted / (options_.cores * static_cast<double>(engines_.size()));
}

double World::pace(const Engine& e) const {
  if (e.threads <= 0 || e.silent) return 0;
  const double threads_per_core = e.threads / options_.cores;
  const double loss =
      1 + options_.contention_loss * std::max(0.0, threads_per_core - options_.contention_from);
  return std::min(1.0, 1 / threads_per_core) / loss;
}

void World::advance(Engine& e) {
  const double gone = (now_ - e.moved_at) * pace(e);
  if (gone > 0)
    for (Query& q : e.queries) q.left -= gone * q.threads;
  e.moved_at = now_;
}

// The first that will be done, unless something changes before.
void World::plan(uint32_t engine) {
  Engine& e = engines_[engine];
  ++e.version;
  const double rate = pace(e);
  if (rate <= 0) return;
  double soonest = 1e18;
  for (const Query& q : e.queries) soonest = std::min(soonest, std::max(q.left, 0.0) / (rate * q.threads));
  Event event;
  event.kind = Event::Kind::kDone;
  event.who = engine;
  event.number = e.version;
  put(soonest, event);
}

void World::arrive(uint32_t g) {
  Gateway& gateway = *gateways_[g];
  Event next;
  next.kind = Event::Kind::kArrive;
  next.who = g;
  put(std::exponential_distribution<double>(options_.rate / 1000 / options_.gateways)(chance_), next);
  double drawn = std::uniform_real_distribution<double>(0, 1)(chance_);
  size_t p = 0;
  while (p + 1 < options_.profiles.size() && drawn >= options_.profiles[p].share)
    drawn -= options_.profiles[p++].share;
  const WorldProfile& profile = options_.profiles[p];
  const double spread = profile.spread;
  const double work =
      profile.work * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(chance_));
  const double guess = std::exp(std::normal_distribution<double>(0, profile.estimate_spread)(chance_));
  const uint64_t command = ++last_command_;
  const std::string id = fmt::format("{:016x}", command);
  Command asked;
  asked.at = now_;
  asked.work = work;
  asked.profile = static_cast<int>(p);
  commands_[command] = asked;
  ++outcome_.commands;
  ++outcome_.profiles[p].asked;
  Happening h;
  h.kind = Happening::Kind::kTaken;
  h.gateway = g;
  h.command = command;
  h.profile = static_cast<int16_t>(p);
  h.until = now_ + profile.timeout;
  note(h);
  const CallRef call = ++gateway.last_call;
  gateway.calls[call] = command;
  firvalve::Asked taken;
  taken.command = id;
  taken.profile = profile.name;
  taken.statement = "s";
  taken.timeout = profile.timeout;
  taken.estimate = std::min(work * guess, profile.timeout);
  taken.memory_mb = 10;
  if (gateway.core.take_in(now_, call, std::move(taken)) != TakeIn::kTaken)
    finish(g, call, Happening::Kind::kFailed);
}

void World::finish(uint32_t g, CallRef call, Happening::Kind kind) {
  Gateway& gateway = *gateways_[g];
  const auto at = gateway.calls.find(call);
  if (at == gateway.calls.end()) return;
  const uint64_t command = at->second;
  gateway.calls.erase(at);
  const Command& asked = commands_.at(command);
  ProfileOutcome& out = outcome_.profiles[static_cast<size_t>(asked.profile)];
  const Ms took = now_ - asked.at;
  if (kind == Happening::Kind::kAnswered) {
    out.latency.add(took);
    (took <= options_.profiles[static_cast<size_t>(asked.profile)].target ? out.in_target : out.late) += 1;
  } else {
    (kind == Happening::Kind::kRefused ? out.shed : out.failed) += 1;
    ++shed_;
    shed_idle_ += busy() < 0.5;
  }
  Happening h;
  h.kind = kind;
  h.gateway = g;
  h.command = command;
  note(h);
  commands_.erase(command);
}

void World::start(uint64_t send) {
  const auto at = attempts_.find(send);
  if (at == attempts_.end() || at->second.ended) return;
  Attempt& s = at->second;
  Engine& e = engines_[s.engine];
  // Another program at the address, or none, refuses it.
  if (e.dead || e.id != s.engine_id) return end_later(send, Outcome::kConnectFailed, network_delay());
  advance(e);
  s.at_engine = true;
  e.queries.push_back({send, s.gateway, s.work, s.threads});
  e.threads += s.threads;
  plan(s.engine);
}

void World::stop(uint64_t send) {
  const auto at = attempts_.find(send);
  if (at == attempts_.end()) return;
  Attempt& s = at->second;
  Engine& e = engines_[s.engine == UINT32_MAX ? 0 : s.engine];
  if (s.engine == UINT32_MAX || e.silent) return;  // nothing comes back; the gateway gives it up by itself
  advance(e);
  const auto query =
      std::find_if(e.queries.begin(), e.queries.end(), [&](const Query& q) { return q.send == send; });
  if (query != e.queries.end()) {
    e.threads -= query->threads;
    e.queries.erase(query);
    plan(s.engine);
  }
  end_later(send, Outcome::kCancelled, network_delay());
}

void World::done(uint32_t engine, uint64_t version) {
  Engine& e = engines_[engine];
  if (e.version != version || e.silent) return;
  advance(e);
  for (size_t i = 0; i < e.queries.size();) {
    if (e.queries[i].left > 1e-9) {
      ++i;
      continue;
    }
    const Query q = e.queries[i];
    e.threads -= q.threads;
    e.queries.erase(e.queries.begin() + static_cast<long>(i));
    end_later(q.send, Outcome::kOk, network_delay());
  }
  plan(engine);
}

void World::end_later(uint64_t send, Outcome outcome, Ms wait) {
  const auto at = attempts_.find(send);
  if (at == attempts_.end()) return;
  Event e;
  e.kind = Event::Kind::kEnd;
  e.who = at->second.gateway;
  e.number = send;
  e.outcome = static_cast<uint8_t>(outcome);
  put(wait, e);
}

void World::end_attempt(uint64_t send, Outcome outcome) {
  const auto at = attempts_.find(send);
  if (at == attempts_.end() || at->second.ended) return;
  Attempt s = at->second;
  at->second.ended = true;
  if (s.engine != UINT32_MAX && s.at_engine && outcome != Outcome::kOk) {
    // Given up by its gateway: it ends at the engine, too, once that hears of it.
    Engine& e = engines_[s.engine];
    advance(e);
    const auto query =
        std::find_if(e.queries.begin(), e.queries.end(), [&](const Query& q) { return q.send == send; });
    if (query != e.queries.end() && !e.silent) {
      e.threads -= query->threads;
      e.queries.erase(query);
      plan(s.engine);
    }
  }
  Happening h;
  h.kind = Happening::Kind::kSendOver;
  h.gateway = s.gateway;
  h.command = s.command;
  h.send = send;
  h.how = outcome == Outcome::kOk ? Happening::How::kDone
          : outcome == Outcome::kConnectFailed || outcome == Outcome::kFull || outcome == Outcome::kMoot
              ? Happening::How::kNeverRan
              : Happening::How::kMayHaveRun;
  note(h);
  Gateway& gateway = *gateways_[s.gateway];
  gateway.by_send.erase(s.of_gateway);
  attempts_.erase(send);
  gateway.core.ended(now_, s.of_gateway, outcome);
}

void World::list(uint32_t g, uint32_t engine, uint32_t id, bool listed) {
  Gateway& gateway = *gateways_[g];
  NamedListing l;
  l.name = fmt::format("s-{:08x}", id);
  l.address = "127.0.0.1:1";
  l.listing.zone = "z";
  l.listing.machine = "std";
  l.listing.life = listed ? Life::kReady : Life::kGone;
  if (listed) gateway.place[id] = engine;
  Happening h;
  h.kind = Happening::Kind::kTold;
  h.gateway = g;
  h.engine = id - 1;
  h.state = listed ? Happening::State::kServing : Happening::State::kDeleted;
  note(h);
  gateway.core.roster(now_, false, {l});
}

void World::trouble(size_t number, bool begins) {
  const Trouble& t = options_.troubles[number];
  const uint32_t last = std::min<uint32_t>(t.engine + t.engines, static_cast<uint32_t>(engines_.size()));
  for (uint32_t i = t.engine; i < last; ++i) {
    Engine& e = engines_[i];
    advance(e);
    if (t.kind == Trouble::Kind::kSilent) {
      e.silent = begins;
      plan(i);
      continue;
    }
    const uint32_t old = e.id;
    if (begins) {
      e.dead = true;
      for (const Query& q : e.queries) end_later(q.send, Outcome::kReset, network_delay());
      e.queries.clear();
      e.threads = 0;
      ++e.version;
    } else {
      e.dead = false;
      e.id = ++last_engine_;
    }
    for (uint32_t g = 0; g < gateways_.size(); ++g) {
      Event event;
      event.kind = Event::Kind::kList;
      event.who = g;
      event.engine = i;
      event.number = begins ? old : e.id;
      event.listed = !begins;
      put(options_.list_delay * std::uniform_real_distribution<double>(0.5, 1)(chance_), event);
    }
  }
}

void World::turn(uint32_t g) {
  Gateway& gateway = *gateways_[g];
  gateway.core.turn(now_);
  const Ms due = gateway.core.next_due();
  if (due <= 0) return;
  const Ms at = std::max(due, now_ + 0.001);
  if (gateway.turn_at > now_ && gateway.turn_at <= at) return;
  gateway.turn_at = at;
  Event e;
  e.kind = Event::Kind::kTurn;
  e.who = g;
  queue_.put(at, e);
}

void World::handle(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kArrive:
      arrive(e.who);
      return turn(e.who);
    case Event::Kind::kTurn:
      return turn(e.who);
    case Event::Kind::kStart:
      return start(e.number);
    case Event::Kind::kStop:
      return stop(e.number);
    case Event::Kind::kDone:
      return done(e.who, e.number);
    case Event::Kind::kEnd:
      end_attempt(e.number, static_cast<Outcome>(e.outcome));
      return turn(e.who);
    case Event::Kind::kList:
      list(e.who, e.engine, static_cast<uint32_t>(e.number), e.listed);
      return turn(e.who);
    case Event::Kind::kTrouble:
      return trouble(e.number, true);
    case Event::Kind::kTroubleEnds:
      return trouble(e.number, false);
  }
}

WorldOutcome World::play() {
  const Ms end = begin_ + options_.length;
  while (!queue_.empty() && queue_.next_at() <= end) {
    now_ = queue_.next_at();
    ++outcome_.events;
    handle(queue_.take());
  }
  outcome_.idle_shed = shed_ == 0 ? 0 : static_cast<double>(shed_idle_) / static_cast<double>(shed_);
  if (options_.keep_history) outcome_.verdict = judge(rules_, history_, end);
  return std::move(outcome_);
}

}  // namespace

WorldOutcome play(const WorldOptions& options) { return World(options).play(); }

}  // namespace firvalve::lab
