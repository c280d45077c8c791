// Implements the simulated cluster.
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

constexpr Ms kFencedRequestInterval = 40;
constexpr Ms kRegisterInterval = 70;      // mean, between the operations of a reader
constexpr Ms kTopicChangeInterval = 300;  // mean, between the changes of a publisher
constexpr Ms kMinJobRun = 50, kMaxJobRun = 1500;
// Within this time a connected replica that lost its disk has recovered its state.
constexpr Ms kCatchUpTime = 8000;
constexpr Ms kJobTimeout = 20000;

class World {
 public:
  explicit World(const ClusterWorldOptions& o) : o_(o), random_(o.seed) {}

  ClusterWorldOutcome play() {
    nodes_.resize(o_.gateways);
    out_.received.resize(o_.gateways);
    for (uint32_t n = 0; n < o_.gateways; ++n) {
      Gateway& g = nodes_[n];
      g.rate = 1 + o_.clock_drift * (uniform() - 0.5);
      g.offset = 1000 + 1e6 * uniform();
    }
    plan_faults();
    for (uint32_t n = 0; n < o_.gateways; ++n) start_node(n);
    for (uint32_t n = 0; n < o_.gateways; ++n)
      schedule(uniform() * kFencedRequestInterval, {EventKind::kSendFencedRequests, n});
    for (uint32_t n = 0; n < o_.readers && n < o_.gateways; ++n)
      schedule(500 + uniform() * kRegisterInterval, {EventKind::kUseRegister, o_.gateways - 1 - n});
    for (uint32_t n = 0; n < o_.publishers && n < o_.gateways; ++n)
      schedule(500 + uniform() * kTopicChangeInterval, {EventKind::kChangeTopic, n});
    for (uint32_t m = 0; m < o_.jobs; ++m)
      for (int who = 0; who < 3; ++who)
        schedule(1000 + uniform() * std::max(0.0, o_.duration - 5000),
                 {EventKind::kSubmitJob, draw(o_.gateways), m});
    while (!queue_.empty() && queue_.next_at() <= o_.duration) {
      now_ = queue_.next_at();
      const Event e = queue_.pop();
      ++out_.events;
      handle(e);
    }
    finish();
    return std::move(out_);
  }

 private:
  enum class EventKind : uint8_t {
    kDeliver,
    kWake,
    kSendFencedRequests,
    kUseRegister,
    kChangeTopic,
    kSubmitJob,
    kRunFinished,
    kFault,
    kFaultEnd
  };
  struct Event {
    EventKind kind = EventKind::kWake;
    uint32_t node = 0, other = 0;
    uint64_t number = 0;  // of the message, incarnation or fault
  };
  struct Gateway {
    std::unique_ptr<cluster::ClusterNode> node;
    double rate = 1;
    Ms offset = 0;
    uint64_t incarnation = 0;  // number of starts; events of an earlier incarnation are ignored
    bool stalled = false, disk_full = false;
    std::vector<Event> waiting;  // events that arrived while it was stalled
    Ms wake_at = 0;
    lease::Fence fence;
    // On disk.
    std::optional<consensus::ReplicaMetadata> metadata;
    std::map<std::string, consensus::AcceptorSlot> slots;
    std::map<std::string, LeaseTerm> open_terms;  // by lease
    uint64_t last_seen = 0;                       // the last change that its reader saw
    Ms stalled_at = 0;
  };
  struct MessageInFlight {
    uint32_t from = 0, to = 0;
    uint64_t incarnation = 0;                // of the receiver when the message was sent
    std::shared_ptr<const Message> message;  // null for a fenced request
    std::string lease;                       // of a fenced request
    uint64_t epoch = 0;
  };

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  uint32_t draw(uint32_t below) { return std::uniform_int_distribution<uint32_t>(0, below - 1)(random_); }
  uint64_t random_id() { return random_() | 1; }
  void schedule(Ms at, const Event& e) { queue_.push(at, e); }
  Ms local(const Gateway& g) const { return g.offset + g.rate * now_; }
  Ms global(const Gateway& g, Ms at) const { return (at - g.offset) / g.rate; }
  static std::string name_of(uint32_t n) { return fmt::format("g{}", n); }
  std::string lease_name(uint32_t d) const { return fmt::format("trial:{}", d); }

  // Draws the faults from a generator of their own, so that a run with the same faults given explicitly has
  // the same history.
  void plan_faults() {
    pcg64 generator(o_.seed + 1);
    const auto fraction = [&generator] { return std::uniform_real_distribution<double>(0, 1)(generator); };
    const auto random_below = [&generator](uint32_t n) {
      return std::uniform_int_distribution<uint32_t>(0, n - 1)(generator);
    };
    std::vector<ClusterFault> drawn(static_cast<size_t>(o_.faults_per_second * o_.duration / 1000));
    for (ClusterFault& f : drawn) {
      f.at = 1000 + fraction() * std::max(0.0, o_.duration - 3000);
      f.kind = static_cast<ClusterFault::Kind>(random_below(5));
      f.node = fraction() < 0.5 ? random_below(o_.replicas) : random_below(o_.gateways);
      f.other = fraction() < 0.3 ? f.node : random_below(o_.gateways);
      f.duration = fraction() * 4 * o_.lease_duration;
      if (f.kind == ClusterFault::Kind::kKill)
        f.duration = fraction() < 0.3 ? 0 : fraction() * 2 * o_.lease_duration;
    }
    std::stable_sort(drawn.begin(), drawn.end(),
                     [](const ClusterFault& a, const ClusterFault& b) { return a.at < b.at; });
    // The cluster tolerates the loss of one replica's disk at a time: the next one only after that replica
    // has had time to recover its state.
    Ms next_disk_loss_at = 0;
    for (const ClusterFault& f : drawn) {
      ClusterFault& added = out_.faults.emplace_back(f);
      if (f.kind != ClusterFault::Kind::kKill || f.node >= o_.replicas) continue;
      const bool may_lose_disk = o_.may_lose_disks && f.at > next_disk_loss_at;
      if (!o_.have_disks && !may_lose_disk) {
        out_.faults.pop_back();
        continue;
      }
      added.loses_disk = !o_.have_disks || (may_lose_disk && fraction() < 0.5);
      if (added.loses_disk) next_disk_loss_at = f.at + f.duration + kCatchUpTime;
    }
    out_.faults.insert(out_.faults.end(), o_.given_faults.begin(), o_.given_faults.end());
    for (size_t i = 0; i < out_.faults.size(); ++i) schedule(out_.faults[i].at, {EventKind::kFault, 0, 0, i});
  }

  void start_node(uint32_t n) {
    Gateway& g = nodes_[n];
    cluster::ClusterNodeOptions t;
    t.self = n;
    t.replica_count = o_.replicas;
    t.name = name_of(n);
    t.random_seed = random_id();
    t.lease_duration = duration_of(o_.lease_duration);
    ++g.incarnation;
    g.wake_at = 0;
    g.fence = {};
    g.last_seen = 0;
    const Ms at = local(g);
    if (n < o_.replicas && g.metadata)
      g.node = std::make_unique<cluster::ClusterNode>(time_point_of<BootClock>(at), t, *g.metadata, g.slots);
    else
      g.node = std::make_unique<cluster::ClusterNode>(time_point_of<BootClock>(at), t);
    for (uint32_t d = 0; d < o_.leases; ++d)
      g.node->leases().campaign(time_point_of<BootClock>(at), lease_name(d));
    run_node(n);
  }

  bool is_connected(uint32_t from, uint32_t to) {
    for (const auto& [index, f] : cuts_) {
      const bool all = f.node == f.other;
      if (from == f.node && (all || to == f.other)) return false;
      if (f.kind == ClusterFault::Kind::kCut && to == f.node && (all || from == f.other)) return false;
    }
    return true;
  }

  void send(uint32_t from, uint32_t to, const std::shared_ptr<const Message>& message,
            const std::string& lease = {}, uint64_t epoch = 0) {
    ++out_.messages;
    if (message) {
      ++out_.received[to].messages;
      out_.received[to].facts += message->entries.size();
    }
    if (!is_connected(from, to) || uniform() < o_.lost_share) return;
    const int copies = uniform() < o_.duplicated_share ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Ms delay = o_.min_delay + uniform() * (o_.max_delay - o_.min_delay);
      if (uniform() < o_.late_share) delay += uniform() * 2 * o_.lease_duration;
      const uint64_t key = ++message_count_;
      in_flight_[key] = {from, to, nodes_[to].incarnation, message, lease, epoch};
      schedule(now_ + delay, {EventKind::kDeliver, to, from, key});
    }
  }

  // Stores the acceptor's writes, then returns the messages that the gateway sends. If the write fails, the
  // acceptor's messages are not sent.
  std::vector<consensus::Envelope> store_and_take_messages(Gateway& g) {
    cluster::ClusterNode::Output out = g.node->take_output();
    std::vector<consensus::Envelope> sends = std::move(out.envelopes);
    if (g.disk_full && (out.acceptor.metadata || !out.acceptor.writes.empty())) {
      g.node->on_write_failed(out.acceptor);
      return sends;
    }
    if (o_.have_disks) {
      if (out.acceptor.metadata) g.metadata = out.acceptor.metadata;
      for (auto& [key, slot] : out.acceptor.writes) g.slots[key] = std::move(slot);
    }
    for (consensus::Envelope& e : out.acceptor.messages) sends.push_back(std::move(e));
    return sends;
  }

  // Runs a gateway after an input: its timers, writes and messages; records its results and schedules its
  // next deadline.
  void run_node(uint32_t n) {
    Gateway& g = nodes_[n];
    const Ms at = local(g);
    g.node->on_tick(time_point_of<BootClock>(at));
    for (int rounds = 0; rounds < 1000; ++rounds) {
      std::vector<consensus::Envelope> sends = store_and_take_messages(g);
      if (sends.empty()) break;
      for (consensus::Envelope& e : sends) {
        if (e.to == n)
          g.node->handle(time_point_of<BootClock>(at), n, e.message);
        else
          send(n, e.to, std::make_shared<const Message>(std::move(e.message)));
      }
    }
    record_events(n);
    const Ms next = to_ms(g.node->next_deadline().value_or(BootClock::time_point{}));
    if (next > 0) {
      const Ms when = std::max(global(g, next), now_ + (next <= at ? 0.05 : 0.001));
      if (g.wake_at == 0 || when < g.wake_at) {
        g.wake_at = when;
        schedule(when, {EventKind::kWake, n, 0, g.incarnation});
      }
    }
  }

  // A random proposal, declaration or withdrawal: five fields that versions may have, and five subscribers
  // that read some of them.
  schema::Change random_topic_change() {
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

  void close_term(Gateway& g, const std::string& lease, Ms until) {
    const auto at = g.open_terms.find(lease);
    if (at == g.open_terms.end()) return;
    at->second.until = std::min(at->second.until, until);
    out_.history.lease_terms.push_back(at->second);
    g.open_terms.erase(at);
  }

  // Records the results of the gateway's state machines in the history.
  void record_events(uint32_t n) {
    record_lease_events(n);
    execute_job_actions(n);
    record_topic_results(n);
    record_operations(n);
  }

  void record_lease_events(uint32_t n) {
    Gateway& g = nodes_[n];
    using Kind = lease::Event::Kind;
    for (const lease::Event& e : g.node->take_events()) {
      if (e.kind == Kind::kAcquired) {
        ++out_.acquisitions;
        close_term(g, e.lease, now_);
        g.open_terms[e.lease] = {e.lease, fmt::format("{}/{}", name_of(n), g.incarnation), e.epoch, now_,
                                 global(g, to_ms(*e.valid_until))};
      } else if (e.kind == Kind::kRenewed) {
        if (const auto at = g.open_terms.find(e.lease); at != g.open_terms.end())
          at->second.until = global(g, to_ms(*e.valid_until));
      } else if (e.kind == Kind::kReleased || e.kind == Kind::kLost) {
        close_term(g, e.lease, now_);
      }
    }
  }

  void execute_job_actions(uint32_t n) {
    Gateway& g = nodes_[n];
    for (const lease::RunOnceJobs::Action& a : g.node->run_once_jobs().take_actions()) {
      using Act = lease::RunOnceJobs::Action::Kind;
      if (a.kind == Act::kStart) {
        out_.history.job_starts.push_back({a.key, now_});
        run_names_.push_back(a.key);
        schedule(now_ + kMinJobRun + uniform() * (kMaxJobRun - kMinJobRun),
                 {EventKind::kRunFinished, n, static_cast<uint32_t>(run_names_.size() - 1), g.incarnation});
      } else if (a.kind == Act::kComplete) {
        answered_jobs_.insert(a.key);
      }
    }
  }

  void record_topic_results(uint32_t n) {
    for (const schema::Registry::Result& end : nodes_[n].node->take_topic_results()) {
      using Kind = schema::Registry::Result::Kind;
      if (end.kind == Kind::kAgreed && end.applied.has_changed)
        out_.history.topics.push_back(parse_topic(end.topic, now_, schema::encode(end.applied.after)));
      out_.rejected_changes += end.kind == Kind::kRejected;
    }
  }

  void record_operations(uint32_t n) {
    Gateway& g = nodes_[n];
    for (const consensus::ProposalResult& end : g.node->take_results()) {
      using Kind = consensus::ProposalResult::Kind;
      if (end.kind == Kind::kUnknown || end.kind == Kind::kNoQuorum) continue;
      RegisterOperation op;
      op.key = end.proposal.key;
      op.started = global(g, to_ms(end.proposed_at));
      op.ended = now_;
      const bool change = end.kind == Kind::kCommitted && end.current.change_id == end.proposal.id;
      if (end.kind == Kind::kCommitted && !change)
        continue;  // committed and replaced since: its version is unknown
      op.kind = change ? RegisterOperation::Kind::kChange : RegisterOperation::Kind::kRead;
      op.version = end.current.version;
      op.id = end.current.change_id;
      op.expected_change = end.proposal.expected_change;
      g.last_seen = end.current.change_id;
      seen_[end.proposal.key] = end.current.change_id;
      out_.history.operations.push_back(op);
    }
  }

  // Delivers a message of the state machines or a fenced request.
  void deliver(const Event& e) {
    Gateway& g = nodes_[e.node];
    const auto carried = in_flight_.find(e.number);
    const MessageInFlight c = std::move(carried->second);
    in_flight_.erase(carried);
    if (g.node == nullptr || c.incarnation != g.incarnation) return;
    if (c.message) {
      g.node->handle(time_point_of<BootClock>(local(g)), c.from, *c.message);
      return run_node(e.node);
    }
    const bool is_accepted = g.fence.admits(c.lease, c.epoch);
    if (is_accepted)
      out_.history.accepted_requests.push_back(
          {c.lease, fmt::format("{}/{}", e.node, g.incarnation), c.epoch, now_});
    ++(is_accepted ? out_.accepted_requests : out_.rejected_requests);
  }

  // Sends a fenced request under each lease that the gateway holds to a random other gateway.
  void send_fenced_requests(uint32_t n) {
    const Gateway& g = nodes_[n];
    const Ms at = local(g);
    for (uint32_t d = 0; d < o_.leases; ++d) {
      const std::string lease = lease_name(d);
      if (const auto epoch = g.node->leases().active_epoch(time_point_of<BootClock>(at), lease))
        send(n, (n + 1 + draw(o_.gateways - 1)) % o_.gateways, nullptr, lease, *epoch);
    }
  }

  // Starts a random change or read of one of two registers.
  void use_register(uint32_t n) {
    Gateway& g = nodes_[n];
    const Ms at = local(g);
    consensus::Proposal proposal;
    proposal.key = fmt::format("fact {}", draw(2));
    proposal.deadline = time_point_of<BootClock>(at + 1000);
    if (uniform() < 0.6) {
      proposal.id = random_id();
      proposal.expected_change = uniform() < 0.8 ? seen_[proposal.key] : g.last_seen;
      proposal.value = fmt::format("{:x}", proposal.id);
    }
    g.node->proposer().propose(time_point_of<BootClock>(at), std::move(proposal));
    run_node(n);
  }

  void handle(const Event& e) {
    switch (e.kind) {
      case EventKind::kFault:
        return begin_fault(e.number);
      case EventKind::kFaultEnd:
        return end_fault(e.number);
      default:
        break;
    }
    Gateway& g = nodes_[e.node];
    if (g.stalled) {
      g.waiting.push_back(e);
      return;
    }
    const bool is_running = g.node != nullptr;
    const Ms at = local(g);
    switch (e.kind) {
      case EventKind::kDeliver:
        return deliver(e);
      case EventKind::kWake:
        // A wake-up that an earlier one has replaced is ignored: otherwise each would schedule
        // another one.
        if (!is_running || e.number != g.incarnation || g.wake_at == 0 || now_ < g.wake_at) return;
        g.wake_at = 0;
        return run_node(e.node);
      case EventKind::kSendFencedRequests:
        schedule(now_ + kFencedRequestInterval, e);
        if (is_running) send_fenced_requests(e.node);
        return;
      case EventKind::kUseRegister:
        schedule(now_ + kRegisterInterval * (0.5 + uniform()), e);
        if (is_running) use_register(e.node);
        return;
      case EventKind::kChangeTopic:
        schedule(now_ + kTopicChangeInterval * (0.5 + uniform()), e);
        if (!is_running) return;
        g.node->registry().submit(random_topic_change(), time_point_of<BootClock>(at + 2000));
        return run_node(e.node);
      case EventKind::kSubmitJob:
        if (!is_running) return;
        g.node->run_once_jobs().submit(time_point_of<BootClock>(at), fmt::format("m{}", e.other),
                                       ++last_call_, 7, time_point_of<BootClock>(at + kJobTimeout));
        return run_node(e.node);
      case EventKind::kRunFinished:
        if (!is_running || e.number != g.incarnation) return;
        g.node->run_once_jobs().on_run_finished(time_point_of<BootClock>(at), run_names_[e.other],
                                                lease::RunOnceJobs::RunOutcome::kCompleted, "1\n");
        return run_node(e.node);
      default:
        return;
    }
  }

  void begin_fault(uint64_t index) {
    const ClusterFault& f = out_.faults[index];
    Gateway& g = nodes_[f.node];
    using Kind = ClusterFault::Kind;
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
          if (e.kind == EventKind::kSendFencedRequests || e.kind == EventKind::kUseRegister)
            schedule(now_ + kFencedRequestInterval, e);
          else if (e.kind == EventKind::kDeliver)
            in_flight_.erase(e.number);
        g.waiting.clear();
        ++g.incarnation;
        while (!g.open_terms.empty()) close_term(g, g.open_terms.begin()->first, now_);
        if (f.loses_disk || !o_.have_disks) g.metadata.reset(), g.slots.clear();
        if (f.duration < 0) return;
        break;
      case Kind::kCut:
      case Kind::kCutOneWay:
        cuts_[index] = f;
        break;
      case Kind::kDisk:
        g.disk_full = true;
        break;
    }
    schedule(now_ + std::max(f.duration, 0.001), {EventKind::kFaultEnd, 0, 0, index});
  }

  void end_fault(uint64_t index) {
    const ClusterFault& f = out_.faults[index];
    Gateway& g = nodes_[f.node];
    using Kind = ClusterFault::Kind;
    switch (f.kind) {
      case Kind::kStall: {
        if (!g.stalled) return;
        g.stalled = false;
        const std::vector<Event> waiting = std::exchange(g.waiting, {});
        // A resumed process does not know of its stall: it first sends the requests that it was about to
        // send, then reads its input.
        for (const Event& e : waiting)
          if (e.kind == EventKind::kSendFencedRequests) handle(e);
        for (const Event& e : waiting)
          if (e.kind != EventKind::kSendFencedRequests) handle(e);
        if (g.node) {
          g.node->leases().on_pause(time_point_of<BootClock>(local(g)),
                                    duration_of((now_ - g.stalled_at) * g.rate));
          run_node(f.node);
        }
        return;
      }
      case Kind::kKill:
        if (!g.node) start_node(f.node);
        return;
      case Kind::kDisk:
        g.disk_full = false;
        if (g.node && !g.stalled) run_node(f.node);
        return;
      default:
        cuts_.erase(index);
    }
  }

  void finish() {
    std::set<std::string> held_leases;
    for (Gateway& g : nodes_)
      while (!g.open_terms.empty()) {
        if (g.open_terms.begin()->second.until > o_.duration) held_leases.insert(g.open_terms.begin()->first);
        close_term(g, g.open_terms.begin()->first, o_.duration + 1e6);
      }
    for (uint32_t d = 0; d < o_.leases; ++d) out_.unheld_leases += held_leases.count(lease_name(d)) == 0;
    out_.finished_jobs = static_cast<uint32_t>(answered_jobs_.size());
    out_.violations = check_invariants(out_.history);
    std::map<std::string, std::vector<LeaseTerm>> terms;
    for (const LeaseTerm& s : out_.history.lease_terms) terms[s.lease].push_back(s);
    for (auto& [lease, all] : terms) {
      std::sort(all.begin(), all.end(),
                [](const LeaseTerm& a, const LeaseTerm& b) { return a.from < b.from; });
      for (size_t i = 1; i < all.size(); ++i) out_.gaps.push_back(all[i].from - all[i - 1].until);
    }
    uint64_t h = 0xcbf29ce484222325ull;
    const auto mix = [&h](uint64_t v) { h = (h ^ v) * 0x100000001b3ull, h ^= h >> 31; };
    for (const LeaseTerm& s : out_.history.lease_terms)
      mix(s.epoch), mix(static_cast<uint64_t>(s.from * 1e3));
    for (const AcceptedRequest& a : out_.history.accepted_requests)
      mix(a.epoch), mix(static_cast<uint64_t>(a.at * 1e3));
    for (const RegisterOperation& op : out_.history.operations) mix(op.version), mix(op.id);
    mix(out_.messages);
    out_.hash = h;
  }

  const ClusterWorldOptions o_;
  pcg64 random_;
  EventQueue<Event> queue_;
  Ms now_ = 0;
  std::vector<Gateway> nodes_;
  std::map<uint64_t, ClusterFault> cuts_;
  std::map<uint64_t, MessageInFlight> in_flight_;
  uint64_t message_count_ = 0, last_call_ = 0;
  std::vector<std::string> run_names_;
  std::set<std::string> answered_jobs_;
  // The last change of each register that any reader saw. Readers share it, so that many changes expect the
  // current one.
  std::map<std::string, uint64_t> seen_;
  ClusterWorldOutcome out_;
};

}  // namespace

ClusterWorldOutcome play(const ClusterWorldOptions& options) { return World(options).play(); }

ClusterWorldOptions minimise(const ClusterWorldOptions& options, const std::string& rule) {
  const auto violates_rule = [&rule](const ClusterWorldOptions& o) {
    const ClusterWorldOutcome out = play(o);
    return std::any_of(out.violations.begin(), out.violations.end(),
                       [&](const InvariantViolation& b) { return b.rule == rule; });
  };
  ClusterWorldOptions smallest = options;
  smallest.given_faults = play(options).faults;
  smallest.faults_per_second = 0;
  if (!violates_rule(smallest)) return options;
  for (size_t i = 0; i < smallest.given_faults.size();) {
    ClusterWorldOptions fewer = smallest;
    fewer.given_faults.erase(fewer.given_faults.begin() + static_cast<long>(i));
    if (violates_rule(fewer))
      smallest = std::move(fewer);
    else
      ++i;
  }
  for (Ms span = smallest.duration / 2; span > 500; span /= 2) {
    ClusterWorldOptions shorter = smallest;
    shorter.duration = span;
    if (!violates_rule(shorter)) break;
    smallest = std::move(shorter);
  }
  return smallest;
}

}  // namespace firvalve::simulation
