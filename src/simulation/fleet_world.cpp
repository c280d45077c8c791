#include "simulation/fleet_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <set>

#include "cluster/cluster_node.h"
#include "lease/fence.h"
#include "schema/topic_codec.h"
#include "simulation/event_queue.h"

namespace firvalve::simulation {

namespace {

using consensus::Message;
using consensus::PeerId;

constexpr Ms kActEvery = 40;                   // a holder acts so often
constexpr Ms kReadEvery = 70;                  // a reader asks the record so often
constexpr Ms kProposeEvery = 300;              // a publisher asks so often
constexpr Ms kRunLeast = 50, kRunMost = 1500;  // of a merge's run
constexpr Ms kLearns = 8000;          // a keeper that forgot has learned all again, where it is not cut off
constexpr Ms kMergePatience = 20000;  // of who asked for one

class World {
 public:
  explicit World(const FleetOptions& o) : o_(o), chance_(o.seed) {}

  FleetOutcome play() {
    nodes_.resize(o_.gateways);
    out_.heard.resize(o_.gateways);
    for (uint32_t n = 0; n < o_.gateways; ++n) {
      Gateway& g = nodes_[n];
      g.rate = 1 + o_.drift * (uniform() - 0.5);
      g.offset = 1000 + 1e6 * uniform();
    }
    plan_faults();
    for (uint32_t n = 0; n < o_.gateways; ++n) start(n);
    for (uint32_t n = 0; n < o_.gateways; ++n) put(uniform() * kActEvery, {What::kAct, n});
    for (uint32_t n = 0; n < o_.readers && n < o_.gateways; ++n)
      put(500 + uniform() * kReadEvery, {What::kRead, o_.gateways - 1 - n});
    for (uint32_t n = 0; n < o_.publishers && n < o_.gateways; ++n)
      put(500 + uniform() * kProposeEvery, {What::kBulletin, n});
    for (uint32_t m = 0; m < o_.merges; ++m)
      for (int who = 0; who < 3; ++who)
        put(1000 + uniform() * std::max(0.0, o_.span - 5000), {What::kMerge, draw(o_.gateways), m});
    while (!queue_.empty() && queue_.next_at() <= o_.span) {
      now_ = queue_.next_at();
      const Event e = queue_.pop();
      ++out_.events;
      step(e);
    }
    finish();
    return std::move(out_);
  }

 private:
  enum class What : uint8_t { kDeliver, kWake, kAct, kRead, kBulletin, kMerge, kRunEnd, kFault, kFaultEnd };
  struct Event {
    What what = What::kWake;
    uint32_t node = 0, other = 0;
    uint64_t number = 0;
  };
  struct Gateway {
    std::unique_ptr<cluster::ClusterNode> node;
    double rate = 1;
    Ms offset = 0;
    uint64_t start = 0;  // how often it was started: events of an earlier one are void
    bool stalled = false, disk_full = false;
    std::vector<Event> waiting;  // what came while it stood still
    Ms wake_at = 0;
    lease::Fence fence;
    // On disk:
    std::optional<consensus::ReplicaMetadata> standing;
    std::map<std::string, consensus::AcceptorSlot> slots;
    std::map<std::string, HeldSpan> open;  // by duty
    uint64_t last_seen = 0;                // the change that its reader saw last
    Ms stalled_at = 0;
  };
  struct Carried {
    uint32_t from = 0, to = 0;
    uint64_t start = 0;
    std::shared_ptr<const Message> message;
    std::string duty;  // of an act
    uint64_t epoch = 0;
  };

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  uint32_t draw(uint32_t below) { return std::uniform_int_distribution<uint32_t>(0, below - 1)(chance_); }
  uint64_t number() { return chance_() | 1; }
  void put(Ms at, const Event& e) { queue_.push(at, e); }
  Ms local(const Gateway& g) const { return g.offset + g.rate * now_; }
  Ms global(const Gateway& g, Ms at) const { return (at - g.offset) / g.rate; }
  static std::string name_of(uint32_t n) { return fmt::format("g{}", n); }
  std::string duty_name(uint32_t d) const { return fmt::format("trial:{}", d); }

  // Drawn by a chance of their own: a world with the same faults given is the same world.
  void plan_faults() {
    pcg64 chance(o_.seed + 1);
    const auto part = [&chance] { return std::uniform_real_distribution<double>(0, 1)(chance); };
    const auto below = [&chance](uint32_t n) {
      return std::uniform_int_distribution<uint32_t>(0, n - 1)(chance);
    };
    std::vector<FleetFault> drawn(static_cast<size_t>(o_.faults * o_.span / 1000));
    for (FleetFault& f : drawn) {
      f.at = 1000 + part() * std::max(0.0, o_.span - 3000);
      f.kind = static_cast<FleetFault::Kind>(below(5));
      f.node = part() < 0.5 ? below(o_.keepers) : below(o_.gateways);
      f.other = part() < 0.3 ? f.node : below(o_.gateways);
      f.lasts = part() * 4 * o_.lease;
      if (f.kind == FleetFault::Kind::kKill) f.lasts = part() < 0.3 ? 0 : part() * 2 * o_.lease;
    }
    std::stable_sort(drawn.begin(), drawn.end(),
                     [](const FleetFault& a, const FleetFault& b) { return a.at < b.at; });
    // What is promised of keepers without a memory holds for one at a time: the next only once that one had
    // time to learn all again.
    Ms forgets_after = 0;
    for (const FleetFault& f : drawn) {
      FleetFault& kept = out_.faults.emplace_back(f);
      if (f.kind != FleetFault::Kind::kKill || f.node >= o_.keepers) continue;
      const bool may = o_.forgetful && f.at > forgets_after;
      if (!o_.folders && !may) {
        out_.faults.pop_back();
        continue;
      }
      kept.forgets = !o_.folders || (may && part() < 0.5);
      if (kept.forgets) forgets_after = f.at + f.lasts + kLearns;
    }
    out_.faults.insert(out_.faults.end(), o_.given.begin(), o_.given.end());
    for (size_t i = 0; i < out_.faults.size(); ++i) put(out_.faults[i].at, {What::kFault, 0, 0, i});
  }

  void start(uint32_t n) {
    Gateway& g = nodes_[n];
    cluster::ClusterNodeOptions t;
    t.self = n;
    t.replica_count = o_.keepers;
    t.name = name_of(n);
    t.random_seed = number();
    t.lease_duration = duration_of(o_.lease);
    ++g.start;
    g.wake_at = 0;
    g.fence = {};
    g.last_seen = 0;
    const Ms at = local(g);
    if (n < o_.keepers && g.standing)
      g.node = std::make_unique<cluster::ClusterNode>(time_point_of<BootClock>(at), t, *g.standing, g.slots);
    else
      g.node = std::make_unique<cluster::ClusterNode>(time_point_of<BootClock>(at), t);
    for (uint32_t d = 0; d < o_.duties; ++d)
      g.node->leases().campaign(time_point_of<BootClock>(at), duty_name(d));
    turn(n);
  }

  bool passes(uint32_t from, uint32_t to) {
    for (const auto& [index, f] : cuts_) {
      const bool all = f.node == f.other;
      if (from == f.node && (all || to == f.other)) return false;
      if (f.kind == FleetFault::Kind::kCut && to == f.node && (all || from == f.other)) return false;
    }
    return true;
  }

  void carry(uint32_t from, uint32_t to, const std::shared_ptr<const Message>& message,
             const std::string& duty = {}, uint64_t epoch = 0) {
    ++out_.messages;
    if (message) {  // none: an act of a holder, which is of this world alone
      ++out_.heard[to].messages;
      out_.heard[to].facts += message->entries.size();
    }
    if (!passes(from, to) || uniform() < o_.lost) return;
    const int copies = uniform() < o_.repeated ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Ms delay = o_.delay_least + uniform() * (o_.delay_most - o_.delay_least);
      if (uniform() < o_.late) delay += uniform() * 2 * o_.lease;
      const uint64_t key = ++carried_count_;
      carried_[key] = {from, to, nodes_[to].start, message, duty, epoch};
      put(now_ + delay, {What::kDeliver, to, from, key});
    }
  }

  // What a gateway has to send, once its acceptor's writes are stored; where they fail, its acceptor sends
  // nothing.
  std::vector<consensus::Envelope> take_messages(Gateway& g) {
    cluster::ClusterNode::Output out = g.node->take_output();
    std::vector<consensus::Envelope> sends = std::move(out.envelopes);
    if (g.disk_full && (out.acceptor.metadata || !out.acceptor.writes.empty())) {
      g.node->on_write_failed(out.acceptor);
      return sends;
    }
    if (o_.folders) {
      if (out.acceptor.metadata) g.standing = out.acceptor.metadata;
      for (auto& [key, slot] : out.acceptor.writes) g.slots[key] = std::move(slot);
    }
    for (consensus::Envelope& e : out.acceptor.messages) sends.push_back(std::move(e));
    return sends;
  }

  // After anything that a gateway received: its writes, its messages, and when it is due again.
  void turn(uint32_t n) {
    Gateway& g = nodes_[n];
    const Ms at = local(g);
    g.node->on_tick(time_point_of<BootClock>(at));
    for (int rounds = 0; rounds < 1000; ++rounds) {
      std::vector<consensus::Envelope> sends = take_messages(g);
      if (sends.empty()) break;
      for (consensus::Envelope& e : sends) {
        if (e.to == n)
          g.node->handle(time_point_of<BootClock>(at), n, e.message);
        else
          carry(n, e.to, std::make_shared<const Message>(std::move(e.message)));
      }
    }
    record_events(n);
    const Ms next = to_ms(g.node->next_deadline().value_or(BootClock::time_point{}));
    if (next > 0) {
      const Ms when = std::max(global(g, next), now_ + (next <= at ? 0.05 : 0.001));
      if (g.wake_at == 0 || when < g.wake_at) {
        g.wake_at = when;
        put(when, {What::kWake, n, 0, g.start});
      }
    }
  }

  // Five fields that come and go, five screens that read some of them.
  schema::Change drawn_change() {
    schema::Change c;
    c.topic = "cabins";
    const double kind = uniform();
    if (kind < 0.4) {
      c.kind = schema::Change::Kind::kPropose;
      for (uint32_t n = 1; n <= 5; ++n)
        if (uniform() < 0.7) {
          schema::Field f;
          f.number = n;
          f.name = fmt::format("f{}", n);
          c.schema.fields.push_back(f);
        }
      return c;
    }
    c.declaration.subscriber = fmt::format("screen {}", draw(5));
    c.kind = kind < 0.8 ? schema::Change::Kind::kDeclare : schema::Change::Kind::kWithdraw;
    for (uint32_t v = 1; v <= 20; ++v) c.declaration.versions.insert(v);
    for (uint32_t n = 1; n <= 5; ++n)
      if (uniform() < 0.3) c.declaration.reads.insert(n);
    if (kind < 0.5) c.declaration.expires_after_ms = 2000;
    return c;
  }

  void close_span(Gateway& g, const std::string& duty, Ms until) {
    const auto at = g.open.find(duty);
    if (at == g.open.end()) return;
    at->second.until = std::min(at->second.until, until);
    out_.history.held.push_back(at->second);
    g.open.erase(at);
  }

  // Takes what the gateway's state machines report into the history.
  void record_events(uint32_t n) {
    record_lease_events(n);
    carry_out_job_actions(n);
    record_topic_results(n);
    record_operations(n);
  }

  void record_lease_events(uint32_t n) {
    Gateway& g = nodes_[n];
    using Kind = lease::Event::Kind;
    for (const lease::Event& e : g.node->take_events()) {
      if (e.kind == Kind::kAcquired) {
        ++out_.taken;
        close_span(g, e.lease, now_);
        g.open[e.lease] = {e.lease, fmt::format("{}/{}", name_of(n), g.start), e.epoch, now_,
                           global(g, to_ms(*e.valid_until))};
      } else if (e.kind == Kind::kRenewed) {
        if (const auto at = g.open.find(e.lease); at != g.open.end())
          at->second.until = global(g, to_ms(*e.valid_until));
      } else if (e.kind == Kind::kReleased || e.kind == Kind::kLost) {
        close_span(g, e.lease, now_);
      }
    }
  }

  void carry_out_job_actions(uint32_t n) {
    Gateway& g = nodes_[n];
    for (const lease::RunOnceJobs::Action& a : g.node->run_once_jobs().take_actions()) {
      using Act = lease::RunOnceJobs::Action::Kind;
      if (a.kind == Act::kStart) {
        out_.history.begun.push_back({a.key, now_});
        run_names_.push_back(a.key);
        put(now_ + kRunLeast + uniform() * (kRunMost - kRunLeast),
            {What::kRunEnd, n, static_cast<uint32_t>(run_names_.size() - 1), g.start});
      } else if (a.kind == Act::kComplete) {
        answered_.insert(a.key);
      }
    }
  }

  void record_topic_results(uint32_t n) {
    for (const schema::Registry::Result& end : nodes_[n].node->take_topic_results()) {
      using Kind = schema::Registry::Result::Kind;
      if (end.kind == Kind::kAgreed && end.applied.has_changed)
        out_.history.bulletins.push_back(read_agreed(end.topic, now_, schema::encode(end.applied.after)));
      out_.refused_changes += end.kind == Kind::kRejected;
    }
  }

  void record_operations(uint32_t n) {
    Gateway& g = nodes_[n];
    for (const consensus::ProposalResult& end : g.node->take_results()) {
      using Kind = consensus::ProposalResult::Kind;
      if (end.kind == Kind::kUnknown || end.kind == Kind::kNoQuorum) continue;
      RecordOp op;
      op.key = end.proposal.key;
      op.asked = global(g, to_ms(end.proposed_at));
      op.ended = now_;
      const bool change = end.kind == Kind::kCommitted && end.current.change_id == end.proposal.id;
      if (end.kind == Kind::kCommitted && !change)
        continue;  // it stood and was built upon since: no place told
      op.kind = change ? RecordOp::Kind::kChange : RecordOp::Kind::kRead;
      op.version = end.current.version;
      op.id = end.current.change_id;
      op.on = end.proposal.expected_change;
      g.last_seen = end.current.change_id;
      seen_[end.proposal.key] = end.current.change_id;
      out_.history.ops.push_back(op);
    }
  }

  // A message of the state machines, or a fenced request, reaches its gateway.
  void deliver(const Event& e) {
    Gateway& g = nodes_[e.node];
    const auto carried = carried_.find(e.number);
    const Carried c = std::move(carried->second);
    carried_.erase(carried);
    if (g.node == nullptr || c.start != g.start) return;
    if (c.message) {
      g.node->handle(time_point_of<BootClock>(local(g)), c.from, *c.message);
      return turn(e.node);
    }
    const bool taken = g.fence.admits(c.duty, c.epoch);
    if (taken) out_.history.acts.push_back({c.duty, fmt::format("{}/{}", e.node, g.start), c.epoch, now_});
    ++(taken ? out_.acts : out_.refused);
  }

  // Sends a fenced request under each lease that the gateway holds to a drawn other one.
  void act(uint32_t n) {
    const Gateway& g = nodes_[n];
    const Ms at = local(g);
    for (uint32_t d = 0; d < o_.duties; ++d) {
      const std::string duty = duty_name(d);
      if (const auto epoch = g.node->leases().active_epoch(time_point_of<BootClock>(at), duty))
        carry(n, (n + 1 + draw(o_.gateways - 1)) % o_.gateways, nullptr, duty, *epoch);
    }
  }

  // A drawn change, or reading, of one of two registers.
  void propose(uint32_t n) {
    Gateway& g = nodes_[n];
    const Ms at = local(g);
    consensus::Proposal w;
    w.key = fmt::format("fact {}", draw(2));
    w.deadline = time_point_of<BootClock>(at + 1000);
    if (uniform() < 0.6) {
      w.id = number();
      w.expected_change = uniform() < 0.8 ? seen_[w.key] : g.last_seen;
      w.value = fmt::format("{:x}", w.id);
    }
    g.node->proposer().propose(time_point_of<BootClock>(at), std::move(w));
    turn(n);
  }

  void step(const Event& e) {
    switch (e.what) {
      case What::kFault:
        return begin_fault(e.number);
      case What::kFaultEnd:
        return end_fault(e.number);
      default:
        break;
    }
    Gateway& g = nodes_[e.node];
    if (g.stalled) {
      g.waiting.push_back(e);
      return;
    }
    const bool up = g.node != nullptr;
    const Ms at = local(g);
    switch (e.what) {
      case What::kDeliver:
        return deliver(e);
      case What::kWake:
        // One that has been overtaken by an earlier one wakes nobody: each would put in another.
        if (!up || e.number != g.start || g.wake_at == 0 || now_ < g.wake_at) return;
        g.wake_at = 0;
        return turn(e.node);
      case What::kAct:
        put(now_ + kActEvery, e);
        if (up) act(e.node);
        return;
      case What::kRead:
        put(now_ + kReadEvery * (0.5 + uniform()), e);
        if (up) propose(e.node);
        return;
      case What::kBulletin:
        put(now_ + kProposeEvery * (0.5 + uniform()), e);
        if (!up) return;
        g.node->registry().submit(drawn_change(), time_point_of<BootClock>(at + 2000));
        return turn(e.node);
      case What::kMerge:
        if (!up) return;
        g.node->run_once_jobs().submit(time_point_of<BootClock>(at), fmt::format("m{}", e.other), ++calls_, 7,
                                       time_point_of<BootClock>(at + kMergePatience));
        return turn(e.node);
      case What::kRunEnd:
        if (!up || e.number != g.start) return;
        g.node->run_once_jobs().on_run_finished(time_point_of<BootClock>(at), run_names_[e.other],
                                                lease::RunOnceJobs::RunOutcome::kCompleted, "1\n");
        return turn(e.node);
      default:
        return;
    }
  }

  void begin_fault(uint64_t index) {
    const FleetFault& f = out_.faults[index];
    Gateway& g = nodes_[f.node];
    using Kind = FleetFault::Kind;
    switch (f.kind) {
      case Kind::kStall:
        if (!g.node || g.stalled) return;
        g.stalled = true;
        g.stalled_at = now_;
        break;
      case Kind::kKill:
        if (!g.node) return;
        g.node.reset();
        g.stalled = false;
        for (const Event& e : g.waiting)
          if (e.what == What::kAct || e.what == What::kRead)
            put(now_ + kActEvery, e);
          else if (e.what == What::kDeliver)
            carried_.erase(e.number);
        g.waiting.clear();
        ++g.start;
        while (!g.open.empty()) close_span(g, g.open.begin()->first, now_);
        if (f.forgets || !o_.folders) g.standing.reset(), g.slots.clear();
        if (f.lasts < 0) return;
        break;
      case Kind::kCut:
      case Kind::kCutOneWay:
        cuts_[index] = f;
        break;
      case Kind::kDisk:
        g.disk_full = true;
        break;
    }
    put(now_ + std::max(f.lasts, 0.001), {What::kFaultEnd, 0, 0, index});
  }

  void end_fault(uint64_t index) {
    const FleetFault& f = out_.faults[index];
    Gateway& g = nodes_[f.node];
    using Kind = FleetFault::Kind;
    switch (f.kind) {
      case Kind::kStall: {
        if (!g.stalled) return;
        g.stalled = false;
        const std::vector<Event> waiting = std::exchange(g.waiting, {});
        // A process that goes on is not told so. It first does what it was about to do, then reads.
        for (const Event& e : waiting)
          if (e.what == What::kAct) step(e);
        for (const Event& e : waiting)
          if (e.what != What::kAct) step(e);
        if (g.node) {
          g.node->leases().on_pause(time_point_of<BootClock>(local(g)),
                                    duration_of((now_ - g.stalled_at) * g.rate));
          turn(f.node);
        }
        return;
      }
      case Kind::kKill:
        if (!g.node) start(f.node);
        return;
      case Kind::kDisk:
        g.disk_full = false;
        if (g.node && !g.stalled) turn(f.node);
        return;
      default:
        cuts_.erase(index);
    }
  }

  void finish() {
    std::set<std::string> held;
    for (Gateway& g : nodes_)
      while (!g.open.empty()) {
        if (g.open.begin()->second.until > o_.span) held.insert(g.open.begin()->first);
        close_span(g, g.open.begin()->first, o_.span + 1e6);
      }
    for (uint32_t d = 0; d < o_.duties; ++d) out_.unheld_at_end += held.count(duty_name(d)) == 0;
    out_.merges_ended = static_cast<uint32_t>(answered_.size());
    out_.violations = check_invariants(out_.history);
    std::map<std::string, std::vector<HeldSpan>> spans;
    for (const HeldSpan& s : out_.history.held) spans[s.lease].push_back(s);
    for (auto& [duty, all] : spans) {
      std::sort(all.begin(), all.end(), [](const HeldSpan& a, const HeldSpan& b) { return a.from < b.from; });
      for (size_t i = 1; i < all.size(); ++i) out_.gaps.push_back(all[i].from - all[i - 1].until);
    }
    uint64_t h = 0xcbf29ce484222325ull;
    const auto mix = [&h](uint64_t v) { h = (h ^ v) * 0x100000001b3ull, h ^= h >> 31; };
    for (const HeldSpan& s : out_.history.held) mix(s.epoch), mix(static_cast<uint64_t>(s.from * 1e3));
    for (const TakenAct& a : out_.history.acts) mix(a.epoch), mix(static_cast<uint64_t>(a.at * 1e3));
    for (const RecordOp& op : out_.history.ops) mix(op.version), mix(op.id);
    mix(out_.messages);
    out_.hash = h;
  }

  const FleetOptions o_;
  pcg64 chance_;
  EventQueue<Event> queue_;
  Ms now_ = 0;
  std::vector<Gateway> nodes_;
  std::map<uint64_t, FleetFault> cuts_;
  std::map<uint64_t, Carried> carried_;
  uint64_t carried_count_ = 0, calls_ = 0;
  std::vector<std::string> run_names_;
  std::set<std::string> answered_;
  std::map<std::string, uint64_t>
      seen_;  // readers tell each other what they saw last: many changes build on it
  FleetOutcome out_;
};

}  // namespace

FleetOutcome play(const FleetOptions& options) { return World(options).play(); }

FleetOptions cut_down(const FleetOptions& options, const std::string& rule) {
  const auto breaks = [&rule](const FleetOptions& o) {
    const FleetOutcome out = play(o);
    return std::any_of(out.violations.begin(), out.violations.end(),
                       [&](const FleetViolation& b) { return b.rule == rule; });
  };
  FleetOptions best = options;
  best.given = play(options).faults;
  best.faults = 0;
  if (!breaks(best)) return options;
  for (size_t i = 0; i < best.given.size();) {
    FleetOptions fewer = best;
    fewer.given.erase(fewer.given.begin() + static_cast<long>(i));
    if (breaks(fewer))
      best = std::move(fewer);
    else
      ++i;
  }
  for (Ms span = best.span / 2; span > 500; span /= 2) {
    FleetOptions shorter = best;
    shorter.span = span;
    if (!breaks(shorter)) break;
    best = std::move(shorter);
  }
  return best;
}

}  // namespace firvalve::simulation
