// Implements the simulated world.
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

constexpr Ms kCancelTimeout = 2100;  // for the answer to a cancellation; as in the gateway's driver
// A gateway closes an idle connection so long before the engine would, but not before the given fraction of
// the engine's idle timeout; as in the gateway's driver.
constexpr Ms kIdleCloseMargin = 2000;
constexpr double kMinIdleFraction = 0.5;
constexpr Ms kSecond = 1000;
constexpr uint32_t kNoEngine = UINT32_MAX;  // index of an engine that is not listed

struct Event {
  enum class Kind : uint8_t {
    kCommand,         // a new command of a client arrives at gateway `target`
    kClientRetry,     // a client retries a command at gateway `target`: pending retry `number`
    kRunGateway,      // gateway `target` makes its due decisions
    kAttemptArrives,  // attempt `number` arrives at its engine
    kCancelArrives,   // the cancellation of attempt `number` arrives at its engine
    kAbandonedEnds,   // engine `target` ends attempt `number`, which its gateway has given up
    kCompletion,      // engine `target` finishes work, if `number` is still the version of its schedule
    kAttemptEnds,     // the end of attempt `number` arrives at its gateway `target`: `outcome`
    kProgress,        // the progress report on attempt `number` arrives at gateway `target`
    kListUpdate,      // gateway `target` receives the new state of engine `engine`
    kFaultBegins,     // fault `number`
    kFaultEnds,       // fault `number`
    kConnect,         // connect `number` arrives at its engine
    kConnected,       // connect `number` is established at the gateway
    kConnectRefused,  // connect `number` is refused
    kConnectTimeout,  // connect `number` times out if it is still pending
    kIdleClose,       // gateway `target` closes expired idle connections to `engine`
  };
  Kind kind = Kind::kRunGateway;
  uint8_t outcome = 0;
  bool listed = true;
  uint32_t target = 0, engine = 0;
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
    uint32_t id = 0;  // as listed; new after each crash
    bool dead = false;
    bool is(uint32_t listed_id) const { return !dead && id == listed_id; }
  };
  struct Attempt {
    uint32_t gateway = 0, engine = 0, engine_id = 0;
    AttemptId gateway_attempt{};  // the gateway's id of the attempt
    double work = 0;
    int threads = 1;
    uint64_t command = 0;
    bool ended = false, at_engine = false;
    uint64_t connect = 0;  // pending connect of the attempt; 0: none
    bool has_connection = false;
  };
  struct Command {
    Ms at = 0;  // time of this submission
    double work = 0;
    int profile = 0;
    Ms first_at = 0;  // time of the first submission
    int submissions = 1;
    bool client_retries = false;
  };
  struct Connect {
    uint32_t gateway = 0, engine = 0, engine_id = 0;
    uint64_t attempt = 0;
    bool for_cancel = false, accepted = false;
  };

  void handle(const Event& e);
  void submit_new_command(uint32_t gateway);
  void submit(uint32_t gateway, Command command);
  void retry_command(uint32_t gateway, uint64_t retry);
  void schedule_retry(uint32_t gateway, const Command& command, HistoryEvent::Kind kind);
  void run_gateway(uint32_t gateway);
  void attempt_arrives(uint64_t attempt);
  void cancel_arrives(uint64_t attempt);
  void end_abandoned(uint32_t engine, uint64_t attempt);
  void report_progress(uint64_t attempt);
  void complete_work(uint32_t engine, uint64_t version);
  void end_attempt(uint64_t attempt, Outcome outcome);
  void update_list(uint32_t gateway, uint32_t engine, uint32_t id, bool listed);
  void apply_fault(size_t number, bool begins);
  void crash_engine(uint32_t engine);
  void schedule_completion(uint32_t engine);
  void end_later(uint64_t attempt, Outcome outcome, Ms wait);
  void schedule_event(Event::Kind kind, uint32_t target, uint64_t number, Ms wait);

  bool models_connections() const { return options_.engine.connections.modelled; }
  void connect_for(uint64_t attempt, bool for_cancel);
  void connect_arrives(uint64_t connect);
  void connect_established(uint64_t connect);
  void connect_failed(uint64_t connect, uint64_t WorldSecond::*counter);
  void abandon_connect(uint64_t connect);
  void return_connection(uint32_t gateway, uint32_t engine, uint32_t engine_id);
  void close_connection(uint32_t engine, uint32_t engine_id);
  void release_connection_of(Attempt& attempt, Outcome outcome);
  void close_idle(uint32_t gateway, uint32_t engine);

  Ms network_delay() {
    return std::uniform_real_distribution<double>(options_.min_delay, options_.max_delay)(chance_);
  }
  Ms next_arrival() {
    return std::exponential_distribution<double>(rate_factor_ * options_.rate / 1000 /
                                                 options_.gateways)(chance_);
  }
  void record(HistoryEvent h);
  void finish_command(uint32_t gateway, CallId call, HistoryEvent::Kind kind);
  double utilization() const;
  std::string zone_of(uint32_t engine) const;
  NamedEngineInfo listing_of(uint32_t engine, uint32_t id) const;
  Settings settings_of(int gateway) const;
  void schedule(Ms wait, Event e) { queue_.push(now_ + wait, e); }
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
  std::unordered_map<uint64_t, Command> commands_;  // by number, until the final answer
  std::unordered_map<uint64_t, Command> pending_retries_;
  std::unordered_map<uint64_t, Connect> connects_;  // pending
  uint64_t last_attempt_ = 0, last_command_ = 0, last_connect_ = 0, last_retry_ = 0;
  uint32_t last_engine_ = 0;
  History history_;
  WorldOutcome outcome_;
  uint64_t shed_ = 0, shed_idle_ = 0;
};

// A gateway: the real core; the world is its client side and its engine transport.
struct World::Gateway : ResponseSink, EngineTransport {
  struct IdleConnections {
    std::vector<Ms> since;  // longest idle first
    bool is_close_scheduled = false;
  };

  Gateway(World& world, uint32_t number, const Settings& settings, uint64_t seed)
      : world(world),
        number(number),
        idle(world.models_connections() ? world.engines_.size() : 0),
        core(settings, seed, *this, *this, counters,
             [this](const EngineHealthChange& change) { handle(change); }) {}

  void handle(const EngineHealthChange& change) {
    const std::string engine(change.engine);
    change.health == EngineHealth::kReinstated ? ejected.erase(engine) : ejected.insert(engine).second;
  }
  void answer(CallId call, std::string_view) override {
    world.finish_command(number, call, HistoryEvent::Kind::kAnswered);
  }
  void shed(CallId call, std::optional<Duration>) override {
    world.finish_command(number, call, HistoryEvent::Kind::kRefused);
  }
  void fail(CallId call, std::string_view) override {
    world.finish_command(number, call, HistoryEvent::Kind::kFailed);
  }
  void answer_paged(CallId, ResultHandle) override {}

  void start_attempt(TimePoint, const AttemptRequest& order) override {
    const uint64_t attempt = ++world.last_attempt_;
    Attempt& a = world.attempts_[attempt];
    a.gateway = number;
    a.gateway_attempt = order.attempt;
    a.command = std::stoull(std::string(order.command), nullptr, 16);
    a.engine_id = order.engine;
    const auto at = engine_indexes.find(order.engine);
    a.engine = at == engine_indexes.end() ? kNoEngine : at->second;
    attempt_numbers[order.attempt] = attempt;
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
    world.record(h);
    if (a.engine == kNoEngine) return world.end_later(attempt, Outcome::kConnectFailed, 0);
    if (world.models_connections()) return world.connect_for(attempt, false);
    world.schedule_event(Event::Kind::kAttemptArrives, a.engine, attempt, world.network_delay());
  }
  void cancel_attempt(TimePoint, AttemptId gateway_attempt, Outcome as) override {
    const auto at = attempt_numbers.find(gateway_attempt);
    if (at == attempt_numbers.end()) return;
    const uint64_t attempt = at->second;
    const bool cancels = as == Outcome::kCancelled;
    if (const uint64_t connect = world.attempts_.at(attempt).connect; connect != 0) {
      world.abandon_connect(connect);
      return world.end_later(attempt, cancels ? Outcome::kCancelledBeforeStart : as, 0);
    }
    // A cancelled attempt ends after the cancel timeout if its cancellation is not answered.
    world.end_later(attempt, as, cancels ? kCancelTimeout : 0);
    if (!cancels && world.options_.max_abandoned_run > 0) return;
    if (cancels && world.models_connections()) return world.connect_for(attempt, true);
    world.schedule_event(Event::Kind::kCancelArrives, 0, attempt, world.network_delay());
  }
  void set_priority(TimePoint, AttemptId, int) override {}
  void update_engine(TimePoint, uint32_t, std::string_view, EngineState) override {}

  World& world;
  const uint32_t number;
  Metrics counters;
  std::unordered_map<AttemptId, uint64_t> attempt_numbers;  // gateway's ids to those of the run
  std::unordered_map<uint32_t, uint32_t> engine_indexes;    // by engine id
  std::unordered_map<CallId, uint64_t> calls;               // to command numbers
  std::vector<IdleConnections> idle;                        // by engine index
  std::set<std::string> ejected;                            // names of ejected engines
  Ms run_at = 0;
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
  outcome_.timeline.resize(static_cast<size_t>(std::ceil(options_.duration / kSecond)));
  // One entry for each engine id of the run: each restart takes a new id.
  size_t ids = static_cast<size_t>(options_.engines);
  for (const WorldFault& t : options_.faults)
    if (t.kind == WorldFault::Kind::kCrash) ids += t.engines;
  rules_.engines.assign(ids, {"z", "std", 0});
  rules_.drain_grace = 1000;
  engines_.assign(static_cast<size_t>(options_.engines), Engine(options_.engine));
  for (Engine& e : engines_) e.id = ++last_engine_;
  for (int g = 0; g < options_.gateways; ++g)
    gateways_.push_back(
        std::make_unique<Gateway>(*this, static_cast<uint32_t>(g), settings_of(g), chance_()));
  for (uint32_t g = 0; g < gateways_.size(); ++g) {
    std::vector<NamedEngineInfo> all;
    for (uint32_t i = 0; i < engines_.size(); ++i) {
      gateways_[g]->engine_indexes[engines_[i].id] = i;
      all.push_back(listing_of(i, engines_[i].id));
      HistoryEvent h;
      h.kind = HistoryEvent::Kind::kListed;
      h.gateway = g;
      h.engine = engines_[i].id - 1;
      record(h);
    }
    gateways_[g]->core.update_engine_list(time_point_of(now_), true, std::move(all));
    schedule_event(Event::Kind::kCommand, g, 0, next_arrival());
  }
  for (size_t i = 0; i < options_.faults.size(); ++i) {
    const WorldFault& t = options_.faults[i];
    schedule_event(Event::Kind::kFaultBegins, 0, i, t.at);
    schedule_event(Event::Kind::kFaultEnds, 0, i, t.at + t.duration);
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

Settings World::settings_of(int gateway) const {
  Settings a;
  a["gateways"] = static_cast<double>(options_.gateways);
  a["gateway number"] = static_cast<double>(gateway);
  a["may cancel"] = options_.may_cancel ? 1.0 : 0.0;
  a["sends at most"] = static_cast<double>(options_.max_attempts);
  a["tick"] = 5.0;
  a["cores.std"] = options_.engine.cores;
  a["memory.std"] = 64000.0;
  if (options_.progress_period > 0) a["note period"] = options_.progress_period;
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

void World::record(HistoryEvent h) {
  h.at = now_;
  const uint64_t parts[] = {
      outcome_.hash, static_cast<uint64_t>(h.at * 1e6),      static_cast<uint64_t>(h.kind), h.command,
      h.send,        (uint64_t{h.gateway} << 32) | h.engine, static_cast<uint64_t>(h.how)};
  outcome_.hash = XXH3_64bits(parts, sizeof parts);
  if (options_.keep_history) history_.push_back(h);
}

double World::utilization() const {
  double wanted = 0;
  for (const Engine& e : engines_) wanted += std::min(e.model.threads(), options_.engine.cores);
  return wanted / (options_.engine.cores * static_cast<double>(engines_.size()));
}

void World::schedule_event(Event::Kind kind, uint32_t target, uint64_t number, Ms wait) {
  Event e;
  e.kind = kind;
  e.target = target;
  e.number = number;
  schedule(wait, e);
}

// Schedules the engine's next completion. A later change of the engine invalidates it through the version.
void World::schedule_completion(uint32_t engine) {
  Engine& e = engines_[engine];
  ++e.version;
  if (const auto soonest = e.model.next_completion())
    schedule_event(Event::Kind::kCompletion, engine, e.version, *soonest);
}

// ---- Clients ------------------------------------------------------------------------------------

void World::submit_new_command(uint32_t g) {
  schedule_event(Event::Kind::kCommand, g, 0, next_arrival());
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
  if (retries.max_retries > 0)
    command.client_retries = std::uniform_real_distribution<double>(0, 1)(chance_) < retries.client_share;
  ++this_second().submitted;
  submit(g, command);
}

void World::submit(uint32_t g, Command command) {
  Gateway& gateway = *gateways_[g];
  const WorldProfile& profile = options_.profiles[static_cast<size_t>(command.profile)];
  const double guess = std::exp(std::normal_distribution<double>(0, profile.estimate_spread)(chance_));
  const uint64_t number = ++last_command_;
  const std::string id = fmt::format("{:016x}", number);
  command.at = now_;
  commands_[number] = command;
  ++outcome_.commands;
  ++outcome_.profiles[static_cast<size_t>(command.profile)].submitted;
  HistoryEvent h;
  h.kind = HistoryEvent::Kind::kTaken;
  h.gateway = g;
  h.command = number;
  h.profile = static_cast<int16_t>(command.profile);
  h.until = now_ + profile.timeout;
  record(h);
  const CallId call = gateway.last_call = next_after(gateway.last_call);
  gateway.calls[call] = number;
  CommandRequest request;
  request.command = id;
  request.profile = profile.name;
  request.statement = "s";
  request.timeout = duration_of(profile.timeout);
  if (profile.has_estimate)
    request.estimated_work = duration_of(std::min(command.work * guess, profile.timeout));
  request.memory_mb = 10;
  if (gateway.core.admit(time_point_of(now_), call, std::move(request)) != AdmissionResult::kAdmitted)
    finish_command(g, call, HistoryEvent::Kind::kFailed);
}

void World::retry_command(uint32_t g, uint64_t retry) {
  const auto at = pending_retries_.find(retry);
  const Command command = at->second;
  pending_retries_.erase(at);
  ++this_second().client_retries;
  submit(g, command);
}

void World::schedule_retry(uint32_t g, const Command& command, HistoryEvent::Kind kind) {
  const ClientRetryOptions& retries = options_.client_retries;
  if (!command.client_retries || command.submissions > retries.max_retries) return;
  const bool is_replayable =
      options_.profiles[static_cast<size_t>(command.profile)].effect == RunRules::Effect::kReplayable;
  if (kind == HistoryEvent::Kind::kFailed && !is_replayable) return;
  const Ms backoff = retries.initial_backoff * std::ldexp(1.0, command.submissions - 1);
  const uint64_t retry = ++last_retry_;
  pending_retries_[retry] = command;
  pending_retries_[retry].submissions += 1;
  schedule_event(Event::Kind::kClientRetry, g, retry,
                 std::uniform_real_distribution<double>(backoff / 2, backoff)(chance_));
}

void World::finish_command(uint32_t g, CallId call, HistoryEvent::Kind kind) {
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
    shed_idle_ += utilization() < 0.5;
    schedule_retry(g, command, kind);
  }
  HistoryEvent h;
  h.kind = kind;
  h.gateway = g;
  h.command = number;
  record(h);
  commands_.erase(number);
}

// ---- Attempts -----------------------------------------------------------------------------------

void World::attempt_arrives(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  Attempt& a = at->second;
  Engine& e = engines_[a.engine];
  // The engine has crashed or restarted under another id: the address refuses the attempt.
  if (!e.is(a.engine_id)) return end_later(attempt, Outcome::kConnectFailed, network_delay());
  if (e.model.admit(now_, attempt, a.work, a.threads) == EngineModel::Admission::kFull)
    return end_later(attempt, Outcome::kQueueFull, network_delay());
  a.at_engine = true;
  if (options_.progress_period > 0)
    schedule_event(Event::Kind::kProgress, a.gateway, attempt, options_.progress_period);
  schedule_completion(a.engine);
}

void World::cancel_arrives(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end()) return;
  const uint32_t engine = at->second.engine;
  // Without an answer the attempt ends at the cancel timeout.
  if (engine == kNoEngine || engines_[engine].model.is_silent()) return;
  if (engines_[engine].model.remove(now_, attempt)) schedule_completion(engine);
  end_later(attempt, Outcome::kCancelled, network_delay());
}

// A silent engine does not act; try again later.
void World::end_abandoned(uint32_t engine, uint64_t attempt) {
  EngineModel& model = engines_[engine].model;
  if (model.is_silent())
    return schedule_event(Event::Kind::kAbandonedEnds, engine, attempt, options_.max_abandoned_run);
  if (model.remove(now_, attempt)) schedule_completion(engine);
}

void World::report_progress(uint64_t attempt) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  const Attempt& a = at->second;
  Engine& e = engines_[a.engine];
  if (!e.is(a.engine_id)) return;
  schedule_event(Event::Kind::kProgress, a.gateway, attempt, options_.progress_period);
  const EngineModel::Progress progress = e.model.progress_of(now_, attempt);
  if (e.model.is_silent() || progress.state == EngineModel::State::kAbsent) return;
  Core& core = gateways_[a.gateway]->core;
  if (progress.state == EngineModel::State::kQueued)
    return core.attempt_status_received(time_point_of(now_), a.gateway_attempt, AttemptStatusKind::kWaiting,
                                        0);
  core.attempt_status_received(time_point_of(now_), a.gateway_attempt, AttemptStatusKind::kProgress,
                               1 - progress.work_left / a.work);
}

void World::complete_work(uint32_t engine, uint64_t version) {
  Engine& e = engines_[engine];
  if (e.version != version || e.model.is_silent()) return;
  for (const EngineModel::Completion& c : e.model.complete(now_)) {
    if (!c.is_handshake) {
      end_later(c.number, Outcome::kOk, network_delay());
      continue;
    }
    const auto at = connects_.find(c.number);
    if (at == connects_.end()) {  // the gateway has abandoned it
      e.model.release_connection(now_);
      continue;
    }
    at->second.accepted = true;
    const Ms one_way = network_delay();
    schedule_event(Event::Kind::kConnected, 0, c.number,
                   one_way * (2 * options_.engine.connections.handshake_round_trips - 1));
  }
  schedule_completion(engine);
}

void World::end_later(uint64_t attempt, Outcome outcome, Ms wait) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end()) return;
  Event e;
  e.kind = Event::Kind::kAttemptEnds;
  e.target = at->second.gateway;
  e.number = attempt;
  e.outcome = static_cast<uint8_t>(outcome);
  schedule(wait, e);
}

void World::end_attempt(uint64_t attempt, Outcome outcome) {
  const auto at = attempts_.find(attempt);
  if (at == attempts_.end() || at->second.ended) return;
  at->second.ended = true;
  Attempt a = at->second;
  const bool runs_on = outcome == Outcome::kTimedOut && options_.max_abandoned_run > 0;
  if (runs_on && a.at_engine) {
    const bool is_cancelled = options_.cancels_at_timeout && options_.may_cancel;
    schedule_event(Event::Kind::kAbandonedEnds, a.engine, attempt,
                   is_cancelled ? network_delay() : options_.max_abandoned_run);
  } else if (a.engine != kNoEngine && a.at_engine && outcome != Outcome::kOk) {
    // The gateway has given the attempt up: end it at the engine too.
    EngineModel& model = engines_[a.engine].model;
    if (!model.is_silent() && model.remove(now_, attempt)) schedule_completion(a.engine);
  }
  release_connection_of(a, outcome);
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
  record(h);
  Gateway& gateway = *gateways_[a.gateway];
  gateway.attempt_numbers.erase(a.gateway_attempt);
  attempts_.erase(attempt);
  gateway.core.attempt_finished(time_point_of(now_), a.gateway_attempt, outcome);
}

// ---- Connections --------------------------------------------------------------------------------

// Sends the attempt, or its cancellation, over the connection that has been idle longest, or over a new one.
void World::connect_for(uint64_t attempt, bool for_cancel) {
  Attempt& a = attempts_.at(attempt);
  std::vector<Ms>& idle = gateways_[a.gateway]->idle[a.engine].since;
  if (engines_[a.engine].is(a.engine_id) && !idle.empty()) {
    if (for_cancel) return schedule_event(Event::Kind::kCancelArrives, 0, attempt, network_delay());
    idle.erase(idle.begin());
    a.has_connection = true;
    return schedule_event(Event::Kind::kAttemptArrives, a.engine, attempt, network_delay());
  }
  const uint64_t connect = ++last_connect_;
  connects_[connect] = {a.gateway, a.engine, a.engine_id, attempt, for_cancel, false};
  if (!for_cancel) a.connect = connect;
  ++this_second().connects;
  schedule_event(Event::Kind::kConnect, a.engine, connect, network_delay());
  schedule_event(Event::Kind::kConnectTimeout, 0, connect, options_.engine.connections.connect_timeout);
}

void World::connect_arrives(uint64_t connect) {
  const auto at = connects_.find(connect);
  if (at == connects_.end()) return;
  Engine& e = engines_[at->second.engine];
  if (e.is(at->second.engine_id)) {
    if (e.model.is_silent()) return;  // the connect timeout ends it
    if (e.model.admit_connect(now_, connect)) return schedule_completion(at->second.engine);
  }
  schedule_event(Event::Kind::kConnectRefused, 0, connect, network_delay());
}

void World::connect_established(uint64_t connect) {
  const auto at = connects_.find(connect);
  if (at == connects_.end()) return;
  const Connect c = at->second;
  connects_.erase(at);
  const auto found = attempts_.find(c.attempt);
  if (c.for_cancel) {
    return_connection(c.gateway, c.engine, c.engine_id);
    if (found != attempts_.end()) schedule_event(Event::Kind::kCancelArrives, 0, c.attempt, network_delay());
    return;
  }
  Attempt& a = found->second;
  a.connect = 0;
  if (!gateways_[c.gateway]->core.may_start_attempt(time_point_of(now_), a.gateway_attempt)) {
    return_connection(c.gateway, c.engine, c.engine_id);
    return end_later(c.attempt, Outcome::kCancelledBeforeStart, 0);
  }
  a.has_connection = true;
  schedule_event(Event::Kind::kAttemptArrives, c.engine, c.attempt, network_delay());
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
  if (c.accepted) return close_connection(c.engine, c.engine_id);
  engines_[c.engine].model.abandon_connect(connect);
}

void World::return_connection(uint32_t g, uint32_t engine, uint32_t engine_id) {
  if (!engines_[engine].is(engine_id)) return;  // closed with its process
  Gateway::IdleConnections& idle = gateways_[g]->idle[engine];
  idle.since.push_back(now_);
  if (std::exchange(idle.is_close_scheduled, true)) return;
  close_idle(g, engine);
}

void World::close_connection(uint32_t engine, uint32_t engine_id) {
  Engine& e = engines_[engine];
  if (!e.is(engine_id)) return;
  e.model.release_connection(now_);
  schedule_completion(engine);
}

// After an attempt its connection becomes idle if the engine answered over it, and is closed otherwise.
void World::release_connection_of(Attempt& a, Outcome outcome) {
  if (a.connect != 0) abandon_connect(a.connect);
  if (!std::exchange(a.has_connection, false)) return;
  const bool is_answered =
      outcome == Outcome::kOk || outcome == Outcome::kQueueFull || outcome == Outcome::kCancelled;
  if (is_answered && !engines_[a.engine].model.is_silent())
    return return_connection(a.gateway, a.engine, a.engine_id);
  close_connection(a.engine, a.engine_id);
}

void World::close_idle(uint32_t g, uint32_t engine) {
  const Ms idle_close = options_.engine.connections.idle_close;
  const Ms max_idle = idle_close - std::min(kIdleCloseMargin, kMinIdleFraction * idle_close);
  Gateway::IdleConnections& idle = gateways_[g]->idle[engine];
  while (!idle.since.empty() && now_ >= idle.since.front() + max_idle) {
    idle.since.erase(idle.since.begin());
    close_connection(engine, engines_[engine].id);
  }
  idle.is_close_scheduled = !idle.since.empty();
  if (!idle.is_close_scheduled) return;
  Event e;
  e.kind = Event::Kind::kIdleClose;
  e.target = g;
  e.engine = engine;
  queue_.push(idle.since.front() + max_idle, e);
}

// ---- Endpoint list and faults -------------------------------------------------------------------

void World::update_list(uint32_t g, uint32_t engine, uint32_t id, bool listed) {
  Gateway& gateway = *gateways_[g];
  NamedEngineInfo l = listing_of(engine, id);
  l.info.state = listed ? EngineState::kReady : EngineState::kRemoved;
  if (listed)
    gateway.engine_indexes[id] = engine;
  else
    gateway.ejected.erase(l.name);
  HistoryEvent h;
  h.kind = HistoryEvent::Kind::kListed;
  h.gateway = g;
  h.engine = id - 1;
  h.state = listed ? HistoryEvent::State::kServing : HistoryEvent::State::kDeleted;
  record(h);
  gateway.core.update_engine_list(time_point_of(now_), false, {l});
}

void World::apply_fault(size_t number, bool begins) {
  const WorldFault& t = options_.faults[number];
  if (t.kind == WorldFault::Kind::kBurst) {
    rate_factor_ = begins ? t.factor : 1;
    return;
  }
  const uint32_t last = std::min<uint32_t>(t.engine + t.engines, static_cast<uint32_t>(engines_.size()));
  for (uint32_t i = t.engine; i < last; ++i) {
    Engine& e = engines_[i];
    if (t.kind == WorldFault::Kind::kSilent) {
      e.model.set_silent(now_, begins);
      schedule_completion(i);
      continue;
    }
    const uint32_t old_id = e.id;
    if (begins) {
      crash_engine(i);
    } else {
      e.dead = false;
      e.id = ++last_engine_;
    }
    for (uint32_t g = 0; g < gateways_.size(); ++g) {
      Event event;
      event.kind = Event::Kind::kListUpdate;
      event.target = g;
      event.engine = i;
      event.number = begins ? old_id : e.id;
      event.listed = !begins;
      schedule(options_.list_delay * std::uniform_real_distribution<double>(0.5, 1)(chance_), event);
    }
  }
}

void World::crash_engine(uint32_t engine) {
  Engine& e = engines_[engine];
  e.dead = true;
  ++e.version;
  for (const uint64_t attempt : e.model.clear(now_)) end_later(attempt, Outcome::kReset, network_delay());
  if (!models_connections()) return;
  for (const auto& gateway : gateways_) gateway->idle[engine].since.clear();
}

// ---- The run ------------------------------------------------------------------------------------

void World::run_gateway(uint32_t g) {
  Gateway& gateway = *gateways_[g];
  gateway.core.decide(time_point_of(now_));
  const Ms due = to_ms(gateway.core.next_due().value_or(TimePoint{}));
  if (due <= 0) return;
  const Ms at = std::max(due, now_ + 0.001);
  if (gateway.run_at > now_ && gateway.run_at <= at) return;
  gateway.run_at = at;
  Event e;
  e.kind = Event::Kind::kRunGateway;
  e.target = g;
  queue_.push(at, e);
}

void World::handle(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kCommand:
      submit_new_command(e.target);
      return run_gateway(e.target);
    case Event::Kind::kClientRetry:
      retry_command(e.target, e.number);
      return run_gateway(e.target);
    case Event::Kind::kRunGateway:
      return run_gateway(e.target);
    case Event::Kind::kAttemptArrives:
      return attempt_arrives(e.number);
    case Event::Kind::kCancelArrives:
      return cancel_arrives(e.number);
    case Event::Kind::kAbandonedEnds:
      return end_abandoned(e.target, e.number);
    case Event::Kind::kCompletion:
      return complete_work(e.target, e.number);
    case Event::Kind::kAttemptEnds:
      end_attempt(e.number, static_cast<Outcome>(e.outcome));
      return run_gateway(e.target);
    case Event::Kind::kProgress:
      report_progress(e.number);
      return run_gateway(e.target);
    case Event::Kind::kListUpdate:
      update_list(e.target, e.engine, static_cast<uint32_t>(e.number), e.listed);
      return run_gateway(e.target);
    case Event::Kind::kFaultBegins:
      return apply_fault(e.number, true);
    case Event::Kind::kFaultEnds:
      return apply_fault(e.number, false);
    case Event::Kind::kConnect:
      return connect_arrives(e.number);
    case Event::Kind::kConnected:
      return connect_established(e.number);
    case Event::Kind::kConnectRefused:
      return connect_failed(e.number, &WorldSecond::connects_refused);
    case Event::Kind::kConnectTimeout:
      return connect_failed(e.number, &WorldSecond::connects_timed_out);
    case Event::Kind::kIdleClose:
      return close_idle(e.target, e.engine);
  }
}

WorldSecond& World::second_at(Ms at) {
  const size_t second = static_cast<size_t>((at - begin_) / kSecond);
  return outcome_.timeline[std::min(second, outcome_.timeline.size() - 1)];
}

// Records the state at the end of each second that has passed.
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
      second.unanswered += gateway->core.unanswered_call_count();
      second.ejected += gateway->ejected.size();
    }
  }
}

WorldOutcome World::play() {
  const Ms end = begin_ + options_.duration;
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
  uint64_t submitted = 0, counted = 0;
  for (size_t i = from; i < std::min(until, outcome.timeline.size()); ++i) {
    submitted += outcome.timeline[i].submitted;
    counted += outcome.timeline[i].*part;
  }
  return submitted == 0 ? 1 : static_cast<double>(counted) / static_cast<double>(submitted);
}

}  // namespace

WorldOptions crowded_cluster(int gateways) {
  constexpr double kGatewaysPerEngine = 3.75;  // 300 gateways before 80 engines
  constexpr double kRatePerGateway = 4;
  WorldOptions o;
  o.gateways = gateways;
  o.engines = std::max(2, static_cast<int>(std::lround(gateways / kGatewaysPerEngine)));
  o.zones = 3;
  o.rate = kRatePerGateway * gateways;
  o.min_delay = 0.1;
  o.max_delay = 1;
  o.list_delay = 3500;
  o.progress_period = 1000;
  o.max_attempts = 2;
  o.max_abandoned_run = 2000;
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
  constexpr size_t kUnansweredTail = 3;  // last seconds of the run, whose commands may not be answered yet
  const double baseline = in_target_share(outcome, begins < kWindow ? 0 : begins - kWindow, begins);
  for (size_t from = ends; from + kWindow + kUnansweredTail <= outcome.timeline.size(); ++from)
    if (in_target_share(outcome, from, from + kWindow) >= kRecovered * baseline) return from - ends;
  return std::nullopt;
}

WorldOutcome play(const WorldOptions& options) { return World(options).play(); }

}  // namespace firvalve::simulation
