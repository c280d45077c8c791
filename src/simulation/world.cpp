#include "simulation/world.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>
#include <unordered_map>

#include "core/core.h"
#include "simulation/event_queue.h"

namespace firvalve::simulation {
namespace {

constexpr Ms kCancelUnanswered = 2100;  // after a cancellation, as the gateway's driver has it
constexpr Ms kIdleSlack = 2000;    // before the engine's idle close a gateway closes, but at half of it at
constexpr double kIdlePart = 0.5;  // the latest where that is short: as the gateway's driver has it
constexpr Ms kSecond = 1000;
constexpr uint32_t kNowhere = UINT32_MAX;  // the place of an engine that is not listed

struct Event {
  enum class Kind : uint8_t {
    kArrive,          // a client's command at `who`
    kAskAgain,        // a client asks `who` once more: repeat `number`
    kTurn,            // of gateway `who`
    kStart,           // an attempt comes to engine `who`
    kStop,            // its cancellation does
    kUnasked,         // engine `who` ends attempt `number`: nobody asks for it any more
    kDone,            // engine `who` has finished something, if `number` is still its version
    kEnd,             // the end of an attempt comes to gateway `who`: `outcome`
    kNote,            // the engine's note on attempt `number` comes to gateway `who`
    kList,            // gateway `who` hears of engine `engine`
    kTrouble,         // begins
    kTroubleEnds,     // ends
    kConnect,         // connect `number` comes to engine `who`
    kConnected,       // it is up, at the gateway
    kConnectRefused,  // it is not, and will not be
    kConnectTimeout,  // if it is still neither
    kIdleClose,       // gateway `who` closes what has been idle for too long to `engine`
  };
  Kind kind = Kind::kTurn;
  uint8_t outcome = 0;
  bool listed = true;
  uint32_t who = 0, engine = 0;
  uint64_t number = 0;
};

class World {
 public:
  explicit World(const WorldOptions& options);
  WorldOutcome play();

 private:
  struct Gateway;
  struct Engine {
    explicit Engine(const EngineOptions& options) : model(options) {}
    EngineModel model;
    uint64_t version = 0;
    uint32_t id = 0;  // as listed; new after each death
    bool dead = false;
    bool is(uint32_t listed_id) const { return !dead && id == listed_id; }
  };
  struct Attempt {
    uint32_t gateway = 0, engine = 0, engine_id = 0;
    AttemptId of_gateway{};  // the gateway's number of it
    double work = 0;
    int threads = 1;
    uint64_t command = 0;
    bool ended = false, at_engine = false;
    uint64_t connect = 0;  // that it waits for; 0: none
    bool has_connection = false;
  };
  struct Command {
    Ms at = 0;  // of this ask
    double work = 0;
    int profile = 0;
    Ms first_at = 0;  // of its client's first ask
    int asks = 1;
    bool may_repeat = false;  // whether its client is one that asks again
  };
  struct Connect {
    uint32_t gateway = 0, engine = 0, engine_id = 0;
    uint64_t attempt = 0;
    bool for_cancel = false, accepted = false;
  };

  void handle(const Event& e);
  void arrive(uint32_t gateway);
  void ask(uint32_t gateway, Command command);
  void ask_again(uint32_t gateway, uint64_t repeat);
  void repeat_later(uint32_t gateway, const Command& command, HistoryEvent::Kind kind);
  void turn(uint32_t gateway);
  void start(uint64_t attempt);
  void stop(uint64_t attempt);
  void end_unasked(uint32_t engine, uint64_t attempt);
  void note_progress(uint64_t attempt);
  void done(uint32_t engine, uint64_t version);
  void end_attempt(uint64_t attempt, Outcome outcome);
  void list(uint32_t gateway, uint32_t engine, uint32_t id, bool listed);
  void trouble(size_t number, bool begins);
  void kill(uint32_t engine);
  void plan(uint32_t engine);
  void end_later(uint64_t attempt, Outcome outcome, Ms wait);
  void travel(Event::Kind kind, uint32_t who, uint64_t number, Ms wait);

  bool uses_connections() const { return options_.engine.connections.modelled; }
  void connect_for(uint64_t attempt, bool for_cancel);
  void connect_arrives(uint64_t connect);
  void connected(uint64_t connect);
  void connect_failed(uint64_t connect, uint64_t WorldSecond::*counter);
  void abandon_connect(uint64_t connect);
  void rest_connection(uint32_t gateway, uint32_t engine, uint32_t engine_id);
  void drop_connection(uint32_t engine, uint32_t engine_id);
  void leave_connection(Attempt& attempt, Outcome outcome);
  void close_idle(uint32_t gateway, uint32_t engine);

  Ms network_delay() {
    return std::uniform_real_distribution<double>(options_.delay_least, options_.delay_most)(chance_);
  }
  Ms next_arrival() {
    return std::exponential_distribution<double>(rate_factor_ * options_.rate / 1000 /
                                                 options_.gateways)(chance_);
  }
  void note(HistoryEvent h);
  void finish(uint32_t gateway, CallId call, HistoryEvent::Kind kind);
  double busy() const;
  std::string zone_of(uint32_t engine) const;
  NamedEngineInfo listing_of(uint32_t engine, uint32_t id) const;
  Settings settings(int gateway) const;
  void put(Ms wait, Event e) { queue_.push(now_ + wait, e); }
  WorldSecond& second_at(Ms at);
  WorldSecond& this_second() { return second_at(now_); }
  void close_seconds();

  WorldOptions options_;
  RunRules rules_;
  pcg64 chance_;
  EventQueue<Event> queue_;
  Ms now_ = 1000;
  const Ms begin_ = 1000;
  Ms second_ends_ = begin_ + kSecond;
  double rate_factor_ = 1;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Gateway>> gateways_;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::unordered_map<uint64_t, Command> commands_;  // by command, until its final answer
  std::unordered_map<uint64_t, Command> repeats_;   // whose clients will ask again
  std::unordered_map<uint64_t, Connect> connects_;  // that are neither up nor given up
  uint64_t last_attempt_ = 0, last_command_ = 0, last_connect_ = 0, last_repeat_ = 0;
  uint32_t last_engine_ = 0;
  History history_;
  WorldOutcome outcome_;
  uint64_t shed_ = 0, shed_idle_ = 0;
};

// One gateway: the real core, with the world as its front and back.
struct World::Gateway : ResponseSink, EngineTransport {
  struct IdleConnections {
    std::vector<Ms> since;  // the one that has rested longest first
    bool is_timed = false;  // its next close is in the event queue
  };

  Gateway(World& world, uint32_t number, const Settings& settings, uint64_t seed)
      : world(world),
        number(number),
        idle(world.uses_connections() ? world.engines_.size() : 0),
        core(settings, seed, *this, *this, counters,
             [this](const EngineHealthChange& change) { handle(change); }) {}

  void handle(const EngineHealthChange& change) {
    const std::string engine(change.engine);
    change.health == EngineHealth::kReinstated ? ejected.erase(engine) : ejected.insert(engine).second;
  }
  void answer(CallId call, std::string_view) override {
    world.finish(number, call, HistoryEvent::Kind::kAnswered);
  }
  void shed(CallId call, std::optional<Duration>) override {
    world.finish(number, call, HistoryEvent::Kind::kRefused);
  }
  void fail(CallId call, std::string_view) override {
    world.finish(number, call, HistoryEvent::Kind::kFailed);
  }
  void answer_paged(CallId, ResultHandle) override {}

  void start_attempt(TimePoint, const AttemptRequest& order) override {
    const uint64_t attempt = ++world.last_attempt_;
    Attempt& a = world.attempts_[attempt];
    a.gateway = number;
    a.of_gateway = order.attempt;
    a.command = std::stoull(std::string(order.command), nullptr, 16);
    a.engine_id = order.engine;
    const auto at = place.find(order.engine);
    a.engine = at == place.end() ? kNowhere : at->second;
    by_send[order.attempt] = attempt;
    const Command& command = world.commands_.at(a.command);
    a.work = command.work;
    a.threads = world.options_.profiles[static_cast<size_t>(command.profile)].threads;
    ++world.outcome_.attempts;
    ++world.this_second().attempts;
    HistoryEvent h;
    h.kind = HistoryEvent::Kind::kSent;
    h.gateway = number;
    h.command = a.command;
    h.send = attempt;
    h.engine = order.engine - 1;
    world.note(h);
    if (a.engine == kNowhere) return world.end_later(attempt, Outcome::kConnectFailed, 0);
    if (world.uses_connections()) return world.connect_for(attempt, false);
    world.travel(Event::Kind::kStart, a.engine, attempt, world.network_delay());
  }
  void cancel_attempt(TimePoint, AttemptId of_gateway, Outcome as) override {
    const auto at = by_send.find(of_gateway);
    if (at == by_send.end()) return;
    const uint64_t attempt = at->second;
    const bool cancels = as == Outcome::kCancelled;
    if (const uint64_t connect = world.attempts_.at(attempt).connect; connect != 0) {
      world.abandon_connect(connect);
      return world.end_later(attempt, cancels ? Outcome::kCancelledBeforeStart : as, 0);
    }
    // Without an answer to its cancellation it ends when an unasked query would have.
    world.end_later(attempt, as, cancels ? kCancelUnanswered : 0);
    if (!cancels && world.options_.unasked_most > 0) return;
    if (cancels && world.uses_connections()) return world.connect_for(attempt, true);
    world.travel(Event::Kind::kStop, 0, attempt, world.network_delay());
  }
  void set_priority(TimePoint, AttemptId, int) override {}
  void update_engine(TimePoint, uint32_t, std::string_view, EngineState) override {}

  World& world;
  const uint32_t number;
  Metrics counters;
  std::unordered_map<AttemptId, uint64_t> by_send;  // its numbers to the run's
  std::unordered_map<uint32_t, uint32_t> place;     // engines' ids to their places
  std::unordered_map<CallId, uint64_t> calls;       // to commands
  std::vector<IdleConnections> idle;                // by place
  std::set<std::string> ejected;                    // engines that it holds for silent or failing
  Ms turn_at = 0;
  CallId last_call{};
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
  outcome_.timeline.resize(static_cast<size_t>(std::ceil(options_.length / kSecond)));
  // One for each id that there will be.
  size_t ids = static_cast<size_t>(options_.engines);
  for (const Trouble& t : options_.troubles)
    if (t.kind == Trouble::Kind::kDies) ids += t.engines;
  rules_.engines.assign(ids, {"z", "std", 0});
  rules_.drain_grace = 1000;
  engines_.assign(static_cast<size_t>(options_.engines), Engine(options_.engine));
  for (Engine& e : engines_) e.id = ++last_engine_;
  for (int g = 0; g < options_.gateways; ++g)
    gateways_.push_back(std::make_unique<Gateway>(*this, static_cast<uint32_t>(g), settings(g), chance_()));
  for (uint32_t g = 0; g < gateways_.size(); ++g) {
    std::vector<NamedEngineInfo> all;
    for (uint32_t i = 0; i < engines_.size(); ++i) {
      gateways_[g]->place[engines_[i].id] = i;
      all.push_back(listing_of(i, engines_[i].id));
      HistoryEvent h;
      h.kind = HistoryEvent::Kind::kListed;
      h.gateway = g;
      h.engine = engines_[i].id - 1;
      note(h);
    }
    gateways_[g]->core.update_engine_list(time_point_of(now_), true, std::move(all));
    travel(Event::Kind::kArrive, g, 0, next_arrival());
  }
  for (size_t i = 0; i < options_.troubles.size(); ++i) {
    const Trouble& t = options_.troubles[i];
    travel(Event::Kind::kTrouble, 0, i, t.at);
    travel(Event::Kind::kTroubleEnds, 0, i, t.at + t.lasts);
  }
}

std::string World::zone_of(uint32_t engine) const {
  if (options_.zones <= 1) return "z";
  return fmt::format("z{}", engine % static_cast<uint32_t>(options_.zones));
}

NamedEngineInfo World::listing_of(uint32_t engine, uint32_t id) const {
  NamedEngineInfo l;
  l.name = fmt::format("s-{:08x}", id);
  l.address = "127.0.0.1:1";
  l.info.zone = zone_of(engine);
  l.info.machine_type = "std";
  return l;
}

Settings World::settings(int gateway) const {
  Settings a;
  a["gateways"] = static_cast<double>(options_.gateways);
  a["gateway number"] = static_cast<double>(gateway);
  a["may cancel"] = options_.may_cancel ? 1.0 : 0.0;
  a["sends at most"] = static_cast<double>(options_.attempts_most);
  a["tick"] = 5.0;
  a["cores.std"] = options_.engine.cores;
  a["memory.std"] = 64000.0;
  if (options_.note_period > 0) a["note period"] = options_.note_period;
  for (size_t i = 0; i < options_.profiles.size(); ++i) {
    const WorldProfile& p = options_.profiles[i];
    const std::string at = fmt::format("profile.{}.", i);
    a[at + "name"] = p.name;
    a[at + "benefit"] = p.benefit;
    a[at + "late share"] = 0.2;
    a[at + "latency target"] = p.target;
    if (p.target_stretch > 0) a[at + "target stretch"] = p.target_stretch;
    a[at + "client timeout"] = p.timeout;
    a[at + "threads"] = static_cast<double>(p.threads);
    a[at + "load"] = p.effect == RunRules::Effect::kNonReplayable ? 1.0 : 0.0;
    a[at + "effect"] =
        std::string(p.effect == RunRules::Effect::kReplayable ? "replayable" : "non-replayable");
  }
  return a;
}

void World::note(HistoryEvent h) {
  h.at = now_;
  const uint64_t parts[] = {
      outcome_.hash, static_cast<uint64_t>(h.at * 1e6),      static_cast<uint64_t>(h.kind), h.command,
      h.send,        (uint64_t{h.gateway} << 32) | h.engine, static_cast<uint64_t>(h.how)};
  outcome_.hash = XXH3_64bits(parts, sizeof parts);
  if (options_.keep_history) history_.push_back(h);
}

double World::busy() const {
  double wanted = 0;
  for (const Engine& e : engines_) wanted += std::min(e.model.threads(), options_.engine.cores);
  return wanted / (options_.engine.cores * static_cast<double>(engines_.size()));
}

void World::travel(Event::Kind kind, uint32_t who, uint64_t number, Ms wait) {
  Event e;
  e.kind = kind;
  e.who = who;
  e.number = number;
  put(wait, e);
}

// The first that will be done, unless something changes before.
void World::plan(uint32_t engine) {
  Engine& e = engines_[engine];
  ++e.version;
  if (const auto soonest = e.model.next_completion()) travel(Event::Kind::kDone, engine, e.version, *soonest);
}

// ---- Clients ------------------------------------------------------------------------------------

void World::arrive(uint32_t g) {
  travel(Event::Kind::kArrive, g, 0, next_arrival());
  double drawn = std::uniform_real_distribution<double>(0, 1)(chance_);
  size_t p = 0;
  while (p + 1 < options_.profiles.size() && drawn >= options_.profiles[p].share)
    drawn -= options_.profiles[p++].share;
  const WorldProfile& profile = options_.profiles[p];
  const double spread = profile.spread;
  Command command;
  command.work =
      profile.work * std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(chance_));
  command.profile = static_cast<int>(p);
  command.first_at = now_;
  const ClientRetryOptions& retries = options_.client_retries;
  if (retries.most > 0)
    command.may_repeat = std::uniform_real_distribution<double>(0, 1)(chance_) < retries.share;
  ++this_second().asked;
  ask(g, command);
}

void World::ask(uint32_t g, Command command) {
  Gateway& gateway = *gateways_[g];
  const WorldProfile& profile = options_.profiles[static_cast<size_t>(command.profile)];
  const double guess = std::exp(std::normal_distribution<double>(0, profile.estimate_spread)(chance_));
  const uint64_t number = ++last_command_;
  const std::string id = fmt::format("{:016x}", number);
  command.at = now_;
  commands_[number] = command;
  ++outcome_.commands;
  ++outcome_.profiles[static_cast<size_t>(command.profile)].asked;
  HistoryEvent h;
  h.kind = HistoryEvent::Kind::kTaken;
  h.gateway = g;
  h.command = number;
  h.profile = static_cast<int16_t>(command.profile);
  h.until = now_ + profile.timeout;
  note(h);
  const CallId call = gateway.last_call = next_after(gateway.last_call);
  gateway.calls[call] = number;
  CommandRequest asked;
  asked.command = id;
  asked.profile = profile.name;
  asked.statement = "s";
  asked.timeout = duration_of(profile.timeout);
  if (profile.estimated) asked.estimated_work = duration_of(std::min(command.work * guess, profile.timeout));
  asked.memory_mb = 10;
  if (gateway.core.admit(time_point_of(now_), call, std::move(asked)) != AdmissionResult::kAdmitted)
    finish(g, call, HistoryEvent::Kind::kFailed);
}

void World::ask_again(uint32_t g, uint64_t repeat) {
  const auto at = repeats_.find(repeat);
  const Command command = at->second;
  repeats_.erase(at);
  ++this_second().asked_again;
  ask(g, command);
}

void World::repeat_later(uint32_t g, const Command& command, HistoryEvent::Kind kind) {
  const ClientRetryOptions& retries = options_.client_retries;
  if (!command.may_repeat || command.asks > retries.most) return;
  const bool is_replayable =
      options_.profiles[static_cast<size_t>(command.profile)].effect == RunRules::Effect::kReplayable;
  if (kind == HistoryEvent::Kind::kFailed && !is_replayable) return;
  const Ms backoff = retries.first_backoff * std::ldexp(1.0, command.asks - 1);
  const uint64_t repeat = ++last_repeat_;
  repeats_[repeat] = command;
  repeats_[repeat].asks += 1;
  travel(Event::Kind::kAskAgain, g, repeat,
         std::uniform_real_distribution<double>(backoff / 2, backoff)(chance_));
}

void World::finish(uint32_t g, CallId call, HistoryEvent::Kind kind) {
  Gateway& gateway = *gateways_[g];
  const auto at = gateway.calls.find(call);
  if (at == gateway.calls.end()) return;
  const uint64_t number = at->second;
  gateway.calls.erase(at);
  const Command command = commands_.at(number);
  ProfileOutcome& out = outcome_.profiles[static_cast<size_t>(command.profile)];
  const WorldProfile& profile = options_.profiles[static_cast<size_t>(command.profile)];
  const Ms target = profile.target + profile.target_stretch * command.work / profile.threads;
  const Ms took = now_ - command.at;
  if (kind == HistoryEvent::Kind::kAnswered) {
    out.latency.add(took);
    (took <= target ? out.in_target : out.late) += 1;
    WorldSecond& first = second_at(command.first_at);
    first.served += 1;
    first.in_target += now_ - command.first_at <= target;
  } else {
    (kind == HistoryEvent::Kind::kRefused ? out.shed : out.failed) += 1;
    ++shed_;
    shed_idle_ += busy() < 0.5;
    repeat_later(g, command, kind);
  }
  HistoryEvent h;
  h.kind = kind;
  h.gateway = g;
  h.command = number;
  note(h);
  commands_.erase(number);
}

// ---- Attempts -----------------------------------------------------------------------------------

void World::start(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  Attempt& a = at->second;
  Engine& e = engines_[a.engine];
  // Another program at the address, or none, refuses it.
  if (!e.is(a.engine_id)) return end_later(attempt, Outcome::kConnectFailed, network_delay());
  if (e.model.admit(now_, attempt, a.work, a.threads) == EngineModel::Admission::kFull)
    return end_later(attempt, Outcome::kQueueFull, network_delay());
  a.at_engine = true;
  if (options_.note_period > 0) travel(Event::Kind::kNote, a.gateway, attempt, options_.note_period);
  plan(a.engine);
}

void World::stop(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end()) return;
  const uint32_t engine = at->second.engine;
  // Where nothing comes back the gateway gives it up by itself.
  if (engine == kNowhere || engines_[engine].model.is_silent()) return;
  if (engines_[engine].model.remove(now_, attempt)) plan(engine);
  end_later(attempt, Outcome::kCancelled, network_delay());
}

// A silent engine hears no word, and looks again later.
void World::end_unasked(uint32_t engine, uint64_t attempt) {
  EngineModel& model = engines_[engine].model;
  if (model.is_silent()) return travel(Event::Kind::kUnasked, engine, attempt, options_.unasked_most);
  if (model.remove(now_, attempt)) plan(engine);
}

void World::note_progress(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  const Attempt& a = at->second;
  Engine& e = engines_[a.engine];
  if (!e.is(a.engine_id)) return;
  travel(Event::Kind::kNote, a.gateway, attempt, options_.note_period);
  const EngineModel::Progress progress = e.model.progress_of(now_, attempt);
  if (e.model.is_silent() || progress.state == EngineModel::State::kAbsent) return;
  Core& core = gateways_[a.gateway]->core;
  if (progress.state == EngineModel::State::kQueued)
    return core.attempt_status_received(time_point_of(now_), a.of_gateway, AttemptStatusKind::kWaiting, 0);
  core.attempt_status_received(time_point_of(now_), a.of_gateway, AttemptStatusKind::kProgress,
                               1 - progress.work_left / a.work);
}

void World::done(uint32_t engine, uint64_t version) {
  Engine& e = engines_[engine];
  if (e.version != version || e.model.is_silent()) return;
  for (const EngineModel::Completion& c : e.model.complete(now_)) {
    if (!c.is_handshake) {
      end_later(c.number, Outcome::kOk, network_delay());
      continue;
    }
    const auto at = connects_.find(c.number);
    if (at == connects_.end()) {  // given up meanwhile
      e.model.release_connection(now_);
      continue;
    }
    at->second.accepted = true;
    const Ms one_way = network_delay();
    travel(Event::Kind::kConnected, 0, c.number,
           one_way * (2 * options_.engine.connections.handshake_round_trips - 1));
  }
  plan(engine);
}

void World::end_later(uint64_t attempt, Outcome outcome, Ms wait) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end()) return;
  Event e;
  e.kind = Event::Kind::kEnd;
  e.who = at->second.gateway;
  e.number = attempt;
  e.outcome = static_cast<uint8_t>(outcome);
  put(wait, e);
}

void World::end_attempt(uint64_t attempt, Outcome outcome) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  at->second.ended = true;
  Attempt a = at->second;
  const bool runs_on = outcome == Outcome::kTimedOut && options_.unasked_most > 0;
  if (runs_on && a.at_engine) {
    const bool is_told = options_.cancels_at_timeout && options_.may_cancel;
    travel(Event::Kind::kUnasked, a.engine, attempt, is_told ? network_delay() : options_.unasked_most);
  } else if (a.engine != kNowhere && a.at_engine && outcome != Outcome::kOk) {
    // Given up by its gateway: it ends at the engine, too, once that hears of it.
    EngineModel& model = engines_[a.engine].model;
    if (!model.is_silent() && model.remove(now_, attempt)) plan(a.engine);
  }
  leave_connection(a, outcome);
  WorldSecond& second = this_second();
  second.full += outcome == Outcome::kQueueFull;
  second.timed_out += outcome == Outcome::kTimedOut;
  second.cancelled += outcome == Outcome::kCancelled;
  second.answered += outcome == Outcome::kOk;
  HistoryEvent h;
  h.kind = HistoryEvent::Kind::kSendOver;
  h.gateway = a.gateway;
  h.command = a.command;
  h.send = attempt;
  h.how = outcome == Outcome::kOk ? HistoryEvent::AttemptEnd::kDone
          : outcome == Outcome::kConnectFailed || outcome == Outcome::kQueueFull ||
                  outcome == Outcome::kCancelledBeforeStart
              ? HistoryEvent::AttemptEnd::kNeverRan
              : HistoryEvent::AttemptEnd::kMayHaveRun;
  note(h);
  Gateway& gateway = *gateways_[a.gateway];
  gateway.by_send.erase(a.of_gateway);
  attempts_.erase(attempt);
  gateway.core.attempt_finished(time_point_of(now_), a.of_gateway, outcome);
}

// ---- Connections --------------------------------------------------------------------------------

// The attempt, or its cancellation, goes out over the connection that has rested longest, or a new one.
void World::connect_for(uint64_t attempt, bool for_cancel) {
  Attempt& a = attempts_.at(attempt);
  std::vector<Ms>& idle = gateways_[a.gateway]->idle[a.engine].since;
  if (engines_[a.engine].is(a.engine_id) && !idle.empty()) {
    if (for_cancel) return travel(Event::Kind::kStop, 0, attempt, network_delay());
    idle.erase(idle.begin());
    a.has_connection = true;
    return travel(Event::Kind::kStart, a.engine, attempt, network_delay());
  }
  const uint64_t connect = ++last_connect_;
  connects_[connect] = {a.gateway, a.engine, a.engine_id, attempt, for_cancel, false};
  if (!for_cancel) a.connect = connect;
  ++this_second().connects;
  travel(Event::Kind::kConnect, a.engine, connect, network_delay());
  travel(Event::Kind::kConnectTimeout, 0, connect, options_.engine.connections.connect_timeout);
}

void World::connect_arrives(uint64_t connect) {
  const auto at = connects_.find(connect);
  if (at == connects_.end()) return;
  Engine& e = engines_[at->second.engine];
  if (e.is(at->second.engine_id)) {
    if (e.model.is_silent()) return;  // its time-out ends it
    if (e.model.admit_connect(now_, connect)) return plan(at->second.engine);
  }
  travel(Event::Kind::kConnectRefused, 0, connect, network_delay());
}

void World::connected(uint64_t connect) {
  const auto at = connects_.find(connect);
  if (at == connects_.end()) return;
  const Connect c = at->second;
  connects_.erase(at);
  const auto found = attempts_.find(c.attempt);
  if (c.for_cancel) {
    rest_connection(c.gateway, c.engine, c.engine_id);
    if (found != attempts_.end()) travel(Event::Kind::kStop, 0, c.attempt, network_delay());
    return;
  }
  Attempt& a = found->second;
  a.connect = 0;
  if (!gateways_[c.gateway]->core.may_start_attempt(time_point_of(now_), a.of_gateway)) {
    rest_connection(c.gateway, c.engine, c.engine_id);
    return end_later(c.attempt, Outcome::kCancelledBeforeStart, 0);
  }
  a.has_connection = true;
  travel(Event::Kind::kStart, c.engine, c.attempt, network_delay());
}

void World::connect_failed(uint64_t connect, uint64_t WorldSecond::*counter) {
  const auto at = connects_.find(connect);
  if (at == connects_.end()) return;
  const Connect c = at->second;
  ++(this_second().*counter);
  abandon_connect(connect);
  if (!c.for_cancel) end_later(c.attempt, Outcome::kConnectFailed, 0);
}

void World::abandon_connect(uint64_t connect) {
  const auto at = connects_.find(connect);
  const Connect c = at->second;
  connects_.erase(at);
  if (!c.for_cancel) attempts_.at(c.attempt).connect = 0;
  if (c.accepted) return drop_connection(c.engine, c.engine_id);
  engines_[c.engine].model.abandon_connect(connect);
}

void World::rest_connection(uint32_t g, uint32_t engine, uint32_t engine_id) {
  if (!engines_[engine].is(engine_id)) return;  // closed with its process
  Gateway::IdleConnections& idle = gateways_[g]->idle[engine];
  idle.since.push_back(now_);
  if (std::exchange(idle.is_timed, true)) return;
  close_idle(g, engine);
}

void World::drop_connection(uint32_t engine, uint32_t engine_id) {
  Engine& e = engines_[engine];
  if (!e.is(engine_id)) return;
  e.model.release_connection(now_);
  plan(engine);
}

// What its connection does after an attempt: it rests where the engine's answer came over it, or goes.
void World::leave_connection(Attempt& a, Outcome outcome) {
  if (a.connect != 0) abandon_connect(a.connect);
  if (!std::exchange(a.has_connection, false)) return;
  const bool is_answered =
      outcome == Outcome::kOk || outcome == Outcome::kQueueFull || outcome == Outcome::kCancelled;
  if (is_answered && !engines_[a.engine].model.is_silent())
    return rest_connection(a.gateway, a.engine, a.engine_id);
  drop_connection(a.engine, a.engine_id);
}

void World::close_idle(uint32_t g, uint32_t engine) {
  const Ms idle_close = options_.engine.connections.idle_close;
  const Ms most = idle_close - std::min(kIdleSlack, kIdlePart * idle_close);
  Gateway::IdleConnections& idle = gateways_[g]->idle[engine];
  while (!idle.since.empty() && now_ >= idle.since.front() + most) {
    idle.since.erase(idle.since.begin());
    drop_connection(engine, engines_[engine].id);
  }
  idle.is_timed = !idle.since.empty();
  if (!idle.is_timed) return;
  Event e;
  e.kind = Event::Kind::kIdleClose;
  e.who = g;
  e.engine = engine;
  queue_.push(idle.since.front() + most, e);
}

// ---- The list and what goes wrong ---------------------------------------------------------------

void World::list(uint32_t g, uint32_t engine, uint32_t id, bool listed) {
  Gateway& gateway = *gateways_[g];
  NamedEngineInfo l = listing_of(engine, id);
  l.info.state = listed ? EngineState::kReady : EngineState::kRemoved;
  if (listed)
    gateway.place[id] = engine;
  else
    gateway.ejected.erase(l.name);
  HistoryEvent h;
  h.kind = HistoryEvent::Kind::kListed;
  h.gateway = g;
  h.engine = id - 1;
  h.state = listed ? HistoryEvent::State::kServing : HistoryEvent::State::kDeleted;
  note(h);
  gateway.core.update_engine_list(time_point_of(now_), false, {l});
}

void World::trouble(size_t number, bool begins) {
  const Trouble& t = options_.troubles[number];
  if (t.kind == Trouble::Kind::kBurst) {
    rate_factor_ = begins ? t.factor : 1;
    return;
  }
  const uint32_t last = std::min<uint32_t>(t.engine + t.engines, static_cast<uint32_t>(engines_.size()));
  for (uint32_t i = t.engine; i < last; ++i) {
    Engine& e = engines_[i];
    if (t.kind == Trouble::Kind::kSilent) {
      e.model.set_silent(now_, begins);
      plan(i);
      continue;
    }
    const uint32_t old = e.id;
    if (begins) {
      kill(i);
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

void World::kill(uint32_t engine) {
  Engine& e = engines_[engine];
  e.dead = true;
  ++e.version;
  for (const uint64_t attempt : e.model.clear(now_)) end_later(attempt, Outcome::kReset, network_delay());
  if (!uses_connections()) return;
  for (const auto& gateway : gateways_) gateway->idle[engine].since.clear();
}

// ---- The run ------------------------------------------------------------------------------------

void World::turn(uint32_t g) {
  Gateway& gateway = *gateways_[g];
  gateway.core.decide(time_point_of(now_));
  const Ms due = to_ms(gateway.core.next_due().value_or(TimePoint{}));
  if (due <= 0) return;
  const Ms at = std::max(due, now_ + 0.001);
  if (gateway.turn_at > now_ && gateway.turn_at <= at) return;
  gateway.turn_at = at;
  Event e;
  e.kind = Event::Kind::kTurn;
  e.who = g;
  queue_.push(at, e);
}

void World::handle(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kArrive:
      arrive(e.who);
      return turn(e.who);
    case Event::Kind::kAskAgain:
      ask_again(e.who, e.number);
      return turn(e.who);
    case Event::Kind::kTurn:
      return turn(e.who);
    case Event::Kind::kStart:
      return start(e.number);
    case Event::Kind::kStop:
      return stop(e.number);
    case Event::Kind::kUnasked:
      return end_unasked(e.who, e.number);
    case Event::Kind::kDone:
      return done(e.who, e.number);
    case Event::Kind::kEnd:
      end_attempt(e.number, static_cast<Outcome>(e.outcome));
      return turn(e.who);
    case Event::Kind::kNote:
      note_progress(e.number);
      return turn(e.who);
    case Event::Kind::kList:
      list(e.who, e.engine, static_cast<uint32_t>(e.number), e.listed);
      return turn(e.who);
    case Event::Kind::kTrouble:
      return trouble(e.number, true);
    case Event::Kind::kTroubleEnds:
      return trouble(e.number, false);
    case Event::Kind::kConnect:
      return connect_arrives(e.number);
    case Event::Kind::kConnected:
      return connected(e.number);
    case Event::Kind::kConnectRefused:
      return connect_failed(e.number, &WorldSecond::connects_refused);
    case Event::Kind::kConnectTimeout:
      return connect_failed(e.number, &WorldSecond::connects_timed_out);
    case Event::Kind::kIdleClose:
      return close_idle(e.who, e.engine);
  }
}

WorldSecond& World::second_at(Ms at) {
  const size_t second = static_cast<size_t>((at - begin_) / kSecond);
  return outcome_.timeline[std::min(second, outcome_.timeline.size() - 1)];
}

// Writes how things stand at the end of each second that is over.
void World::close_seconds() {
  for (; now_ >= second_ends_; second_ends_ += kSecond) {
    WorldSecond& second = second_at(second_ends_ - kSecond);
    double threads = 0;
    for (const Engine& e : engines_) {
      second.running += e.model.running();
      second.queued += e.model.queued();
      second.connections += e.model.connections();
      threads += e.model.threads();
    }
    second.threads_per_core = threads / (options_.engine.cores * static_cast<double>(engines_.size()));
    for (const auto& gateway : gateways_) {
      second.in_hand += gateway->core.unanswered_call_count();
      second.ejected += gateway->ejected.size();
    }
  }
}

WorldOutcome World::play() {
  const Ms end = begin_ + options_.length;
  while (!queue_.empty() && queue_.next_at() <= end) {
    now_ = queue_.next_at();
    close_seconds();
    ++outcome_.events;
    handle(queue_.pop());
  }
  now_ = end;
  close_seconds();
  outcome_.idle_shed = shed_ == 0 ? 0 : static_cast<double>(shed_idle_) / static_cast<double>(shed_);
  if (options_.keep_history) outcome_.verdict = check_history(rules_, history_, end);
  return std::move(outcome_);
}

double share_of(const WorldOutcome& outcome, size_t from, size_t until, uint64_t WorldSecond::*part) {
  uint64_t asked = 0, counted = 0;
  for (size_t i = from; i < std::min(until, outcome.timeline.size()); ++i) {
    asked += outcome.timeline[i].asked;
    counted += outcome.timeline[i].*part;
  }
  return asked == 0 ? 1 : static_cast<double>(counted) / static_cast<double>(asked);
}

}  // namespace

WorldOptions crowded_fleet(int gateways) {
  constexpr double kGatewaysPerEngine = 3.75;  // 300 gateways before 80 engines
  constexpr double kRatePerGateway = 4;
  WorldOptions o;
  o.gateways = gateways;
  o.engines = std::max(2, static_cast<int>(std::lround(gateways / kGatewaysPerEngine)));
  o.zones = 3;
  o.rate = kRatePerGateway * gateways;
  o.delay_least = 0.1;
  o.delay_most = 1;
  o.list_delay = 3500;
  o.note_period = 1000;
  o.attempts_most = 2;
  o.unasked_most = 2000;
  o.cancels_at_timeout = true;
  o.engine.cores = 6;
  o.engine.contention_from = 1.8;
  o.engine.contention_loss = 0.6;
  o.engine.slots = 24;
  o.engine.connections.modelled = true;
  o.engine.connections.table_size = 3400;
  o.engine.connections.full_table_tax = 0.09;
  o.engine.connections.handshake_work = 1.2;
  o.engine.connections.handshake_round_trips = 2;
  o.engine.connections.connect_timeout = 250;
  o.engine.connections.idle_close = 40000;
  o.client_retries = {2, 0.9, 350};
  WorldProfile page{"page", RunRules::Effect::kReplayable, 0.84, 135, 0.83, 0, 1, 400, 1700, 1, 2, false};
  WorldProfile merge{"merge", RunRules::Effect::kNonReplayable, 0.16, 800, 0.83, 0, 2, 1200, 4000, 5, 2,
                     false};
  o.profiles = {page, merge};
  return o;
}

double served_share(const WorldOutcome& outcome, size_t from, size_t until) {
  return share_of(outcome, from, until, &WorldSecond::served);
}

double in_target_share(const WorldOutcome& outcome, size_t from, size_t until) {
  return share_of(outcome, from, until, &WorldSecond::in_target);
}

std::optional<size_t> seconds_to_recover(const WorldOutcome& outcome, size_t begins, size_t ends) {
  constexpr size_t kWindow = 5;  // seconds
  constexpr double kRecovered = 0.9;
  constexpr size_t kOpenEnd = 3;  // seconds before the run's end, of which some commands have no answer yet
  const double calm = in_target_share(outcome, begins < kWindow ? 0 : begins - kWindow, begins);
  for (size_t from = ends; from + kWindow + kOpenEnd <= outcome.timeline.size(); ++from)
    if (in_target_share(outcome, from, from + kWindow) >= kRecovered * calm) return from - ends;
  return std::nullopt;
}

WorldOutcome play(const WorldOptions& options) { return World(options).play(); }

}  // namespace firvalve::simulation
