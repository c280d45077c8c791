#include "cluster/cluster_service.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <time.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cmath>

#include "base/backoff.h"
#include "base/monotonic_clock.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::cluster {

using consensus::Envelope;
using consensus::Message;
using consensus::MessageType;
using consensus::PeerId;
using Poco::Net::ReadableNotification;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

namespace {

constexpr Ms kConnect = 1000;  // for a connection to a keeper to come up
// A keeper that was asked something and says nothing for so long is not at the other end any more, whatever
// the connection looks like: it answers a look within a second.
constexpr Ms kSilence = 2500;
constexpr Ms kReconnectFirst = 50, kReconnectMost = 2000;
constexpr size_t kUnsentMost =
    8 * 1024 * 1024;              // bytes to one peer that does not read: beyond, they are lost
constexpr Ms kWritesAgain = 500;  // after the folder failed
constexpr Ms kAcceptAgain = 250;
constexpr Ms kLeaveMost = 1500;  // for hands-on to be agreed, once all is answered
constexpr int kAcceptAtOnce = 64;
constexpr Ms kBulletinMost = 30000;  // for a change of a bulletin, whatever its client says

bool answers(MessageType say) {
  return say == MessageType::kPromise || say == MessageType::kAccepted || say == MessageType::kRefused ||
         say == MessageType::kChanges || say == MessageType::kStandingIs || say == MessageType::kState;
}

std::string times(Ms at) { return fmt::format("{:.3f}", at); }

}  // namespace

// OutboundPeer a keeper: what this gateway asks goes out here, and its answers come back.
class ClusterService::OutboundPeer {
 public:
  OutboundPeer(ClusterService& owner, PeerId keeper, std::string address)
      : owner_(owner),
        keeper_(keeper),
        address_(std::move(address)),
        backoff_(kReconnectFirst, kReconnectMost, owner.options_.draw + keeper) {}

  void put(const std::string& bytes, Ms now) {
    if (!link_ || link_->unsent() + bytes.size() > kUnsentMost) return;  // who asked will ask again
    link_->write(bytes);
    if (asked_at_ == 0) asked_at_ = now;
  }
  net::Connection* link() { return link_.get(); }

  void due(Ms now) {
    if (link_ && !link_->up() && now >= began_ + kConnect) end(now, "did not come up");
    if (link_ && asked_at_ > 0 && now >= asked_at_ + kSilence) end(now, "says nothing");
    if (link_ || now < connect_at_) return;
    began_ = now;
    asked_at_ = 0;
    if (!owner_.loop_.room(false)) return end(now, "no descriptor left");
    ++owner_.link_counts_.connects;
    link_ = std::make_unique<Dialled>(*this, SocketAddress(address_));
    if (link_->refused()) end(now, "refused");
  }
  Ms next_due() const {
    if (!link_) return connect_at_ + 1;
    if (!link_->up()) return began_ + kConnect;
    return asked_at_ > 0 ? asked_at_ + kSilence : 0;
  }
  bool up() const { return link_ && link_->up(); }
  const std::string& address() const { return address_; }

 private:
  class Dialled : public net::Connection {
   public:
    Dialled(OutboundPeer& owner, const SocketAddress& address)
        : Connection(owner.owner_.loop_, address), owner_(owner) {}

   protected:
    void on_up() override {
      owner_.backoff_.reset();
      owner_.up_before_ = true;
      owner_.owner_.say_(log::Level::kDebug, "member.reached",
                         {{"component", "fleet"}, {"peer", owner_.address_}});
    }
    void on_bytes() override {
      owner_.asked_at_ = 0;
      std::span<char> body;
      for (;;) {
        const proto::Read read = frames_.next(inbox_, body);
        if (read == proto::Read::kMore) return;
        if (read == proto::Read::kBroken) return owner_.end(clock(), "broken framing");
        PeerId peer = owner_.keeper_;
        owner_.owner_.handle(*this, peer, body, true);
        if (!open()) return;
      }
    }
    void on_end(End end) override { owner_.end(clock(), end == End::kRefused ? "refused" : "closed"); }

   private:
    OutboundPeer& owner_;
    proto::RpcFrames frames_{kFrameMost};
  };

  void end(Ms now, const char* why) {
    if (link_) {
      link_->abort();
      owner_.loop_.bury(std::move(link_));
    }
    if (up_before_) owner_.fault(address_, why);
    up_before_ = false;
    asked_at_ = 0;
    connect_at_ = now + backoff_.next_delay();
  }

  ClusterService& owner_;
  const PeerId keeper_;
  const std::string address_;
  std::unique_ptr<Dialled> link_;
  Backoff backoff_;
  bool up_before_ = false;  // the first loss in a row is told
  Ms connect_at_ = 0, began_ = 0, asked_at_ = 0;
};

// InboundPeer a peer: what it asks comes in here, and its answers go back.
class ClusterService::InboundPeer : public net::Connection {
 public:
  InboundPeer(ClusterService& owner, const StreamSocket& socket)
      : Connection(owner.loop_, socket), owner_(owner) {}
  PeerId peer = UINT32_MAX;  // until its first frame
  bool spare() const override { return peer == UINT32_MAX; }
  void spared() override { end(); }
  void end() {
    close();
    owner_.ended(*this);
  }

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      const proto::Read read = frames_.next(inbox_, body);
      if (read == proto::Read::kMore) return;
      if (read == proto::Read::kBroken) {
        owner_.fault("somebody", "broken framing");
        return end();
      }
      owner_.handle(*this, peer, body, false);
      if (!open()) return;
    }
  }
  void on_end(End) override { owner_.ended(*this); }

 private:
  ClusterService& owner_;
  proto::RpcFrames frames_{kFrameMost};
};

ClusterOptions options_from(const config::OperatorConfig::Fleet& section) {
  ClusterOptions options;
  options.listen = section.listen;
  options.name = section.advertised_address();
  options.site = section.site;
  options.keepers = section.keepers;
  std::sort(options.keepers.begin(), options.keepers.end());
  options.folder = section.folder;
  options.duties = section.duties;
  options.lease = section.lease_ms;
  return options;
}

Ms ClusterService::clock() { return boot_clock_ms(); }

ClusterService::ClusterService(net::Loop& loop, Metrics& counters, const ClusterOptions& options,
                               ResponseSink& clients, LogSink say)
    : loop_(loop),
      counters_(counters),
      options_(options),
      keepers_hash_(hash_of(options.keepers)),
      clients_(clients),
      say_(std::move(say)) {
  ClusterNodeOptions t;
  t.keepers = static_cast<uint32_t>(options.keepers.size());
  const auto self = std::find(options.keepers.begin(), options.keepers.end(), options.name);
  const bool keeper = self != options.keepers.end();
  t.self = keeper ? static_cast<PeerId>(self - options.keepers.begin()) : t.keepers;
  t.name = options.name;
  t.draw = options.draw;
  t.lease = options.lease;
  t.record_bytes = options.record_bytes;
  last_peer_ = t.keepers;
  const Ms at = clock();
  if (keeper && !options.folder.empty()) {
    waker_ = std::make_unique<net::Waker>(loop);  // the turn that follows looks at what was written
    folder_ = std::make_unique<ReplicaStorage>(options.folder, options.name, keepers_hash_,
                                               [w = waker_.get()] { w->wake(); });
  }
  if (folder_ && folder_->standing)
    node_ = std::make_unique<ClusterNode>(at, t, *folder_->standing, std::exchange(folder_->slots, {}));
  else
    node_ = std::make_unique<ClusterNode>(at, t);
  for (PeerId p = 0; p < t.keepers; ++p)
    to_.push_back(p == t.self ? nullptr : std::make_unique<OutboundPeer>(*this, p, options.keepers[p]));
  for (const std::string& duty : options.duties)
    if (!duty.ends_with("*")) node_->duties().want(at, duty);
  listener_.bind(SocketAddress(options.listen), true);
  listener_.listen(1024);
  listener_.setBlocking(false);
  accept_on(true);
}

ClusterService::~ClusterService() {
  accept_on(false);
  folder_.reset();  // before the waker that it rings
}

void ClusterService::serve(Core& core) { core_ = &core; }

void ClusterService::accept_on(bool on) {
  const Poco::NObserver<ClusterService, ReadableNotification> observer(*this, &ClusterService::on_accept);
  if (on != accepting_)
    on ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  accepting_ = on;
}

void ClusterService::on_accept(const Poco::AutoPtr<ReadableNotification>&) {
  for (int i = 0; i < kAcceptAtOnce; ++i) {
    const bool room = loop_.room(false);
    const int descriptor =
        room ? ::accept4(listener_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC) : -1;
    if (!room || (descriptor < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
      accepts_again_ = clock() + kAcceptAgain;
      return accept_on(false);
    }
    if (descriptor < 0) return;
    auto link =
        std::make_unique<InboundPeer>(*this, StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)));
    InboundPeer* const key = link.get();
    from_[key] = std::move(link);
  }
}

void ClusterService::ended(InboundPeer& link) {
  if (const auto at = answers_to_.find(link.peer); at != answers_to_.end() && at->second == &link) {
    answers_to_.erase(at);
    if (node_->keeper()) node_->keeper()->gone(link.peer);
  }
  const auto at = from_.find(&link);
  if (at == from_.end()) return;
  loop_.bury(std::move(at->second));
  from_.erase(at);
}

void ClusterService::fault(std::string_view peer, std::string_view why) {
  ++link_counts_.lost;
  counters_.add("fleet links ended", why);
  say_(log::Level::kWarning, "member.lost",
       {{"component", "fleet"}, {"peer", std::string(peer)}, {"why", std::string(why)}});
}

void ClusterService::handle(net::Connection& link, PeerId& peer, std::span<char> body, bool from_keeper) {
  const char* why = "";
  std::optional<Frame> frame = read_frame(body, why);
  if (frame && frame->keepers != keepers_hash_) {
    why = "goes by another list of keepers";
    frame.reset();
  }
  if (!frame) {
    counters_.add("fleet frames refused", why);
    say_(log::Level::kWarning, "member.refused",
         {{"component", "fleet"}, {"peer", from_keeper ? options_.keepers[peer] : "unknown"}, {"why", why}});
    if (from_keeper) return;  // it is asked again, and may have a better answer then
    static_cast<InboundPeer&>(link).end();
    return;
  }
  if (!from_keeper && peer == UINT32_MAX) {
    const auto at = std::find(options_.keepers.begin(), options_.keepers.end(), frame->from);
    peer = at != options_.keepers.end() ? static_cast<PeerId>(at - options_.keepers.begin()) : last_peer_++;
    answers_to_[peer] = static_cast<InboundPeer*>(&link);
  }
  ++link_counts_.frames_in;
  link_counts_.messages_in += frame->parts.size();
  link_counts_.bytes_in += framed_size(body.size());
  const Ms at = clock();
  for (const Message& m : frame->parts)
    if (answers(m.say) == from_keeper) node_->handle(at, peer, m);
}

void ClusterService::send(const Envelope& e, std::map<net::Connection*, Frame>& frames) {
  net::Connection* link = nullptr;
  if (answers(e.message.say)) {
    if (const auto at = answers_to_.find(e.to); at != answers_to_.end()) link = at->second;
  } else if (e.to < to_.size() && to_[e.to]) {
    link = to_[e.to]->link();
  }
  if (link) frames[link].parts.push_back(e.message);
}

// All that the machines have to say: to itself at once, to others a frame or few a link.
void ClusterService::flush(Ms at) {
  std::map<net::Connection*, Frame> frames;
  const auto pass = [&](std::vector<Envelope>& sends) {
    bool own = false;
    for (const Envelope& e : sends) {
      if (node_->is_keeper() && e.to < to_.size() && !to_[e.to]) {
        node_->handle(at, e.to, e.message);
        own = true;
      } else {
        send(e, frames);
      }
    }
    return own;
  };
  if (folder_)
    for (ReplicaStorage::Done& done : folder_->done()) {
      if (done.why.empty()) {
        unwritten_ = false;
        pass(done.step.sends);
        continue;
      }
      // Guards a promise that is not on the disk against being told. Until the disk takes it again this
      // keeper says nothing, and the others are the majority.
      if (!std::exchange(unwritten_, true))
        say_(log::Level::kError, "record.unwritten",
             {{"component", "record"}, {"folder", options_.folder}, {"why", done.why}});
      counters_.add("record steps not written");
      writes_again_ = at + kWritesAgain;
      node_->unwritten(std::move(done.step));
    }
  if (at >= writes_again_) writes_again_ = 0;
  for (bool more = true; more;) {
    more = false;
    ClusterNode::Out out = node_->take();
    more |= pass(out.sends);
    if (!folder_) {
      more |= pass(out.keeper.sends);
    } else if (writes_again_ > 0) {
      node_->unwritten(std::move(out.keeper));
    } else if (!out.keeper.standing && out.keeper.writes.empty() && folder_->waiting() == 0) {
      more |= pass(out.keeper.sends);
    } else if (!out.keeper.empty()) {
      // A step without writes still follows those before it: its answers may be of what they hold.
      folder_->put(std::move(out.keeper));
    }
  }
  for (auto& [link, frame] : frames) {
    std::vector<Message> all = std::move(frame.parts);
    for (size_t i = 0; i < all.size();) {
      frame.from = options_.name;
      frame.keepers = keepers_hash_;
      frame.parts.clear();
      for (size_t bytes = 0; i < all.size() && bytes < kFrameWanted; ++i) {
        bytes += size_of(all[i]);
        frame.parts.push_back(std::move(all[i]));
      }
      std::string bytes;
      append_frame(bytes, frame);
      counters_.add("fleet frames sent");
      ++link_counts_.frames_out;
      link_counts_.messages_out += frame.parts.size();
      link_counts_.bytes_out += bytes.size();
      const auto to =
          std::find_if(to_.begin(), to_.end(), [l = link](const auto& t) { return t && t->link() == l; });
      if (to != to_.end())
        (*to)->put(bytes, at);
      else if (link->unsent() + bytes.size() <= kUnsentMost)
        link->write(bytes);
    }
  }
}

void ClusterService::due(Ms now) {
  const Ms at = clock();
  // The process stood still: it was to be here by then, and came so much later.
  if (expected_ > 0 && at > expected_) node_->duties().stalled(at, at - expected_);
  if (!accepting_ && at >= accepts_again_) accept_on(true);
  for (const auto& to : to_)
    if (to) to->due(at);
  node_->due(at);
  flush(at);
  carry_out(now);
  tell_changes();
  log_events();
  if (leaves_at_ > 0) {
    if (!node_->merges().runs()) node_->duties().leave(at);
    const bool open = !wanted_.empty() || node_->merges().runs();
    if (open)
      quiet_since_ = 0;
    else if (quiet_since_ == 0)
      quiet_since_ = at;
    flush(at);
    log_events();
  }
  const bool full = node_->keeper() && node_->keeper()->full();
  if (full && !was_full_)
    say_(log::Level::kInfo, "record.ready",
         {{"component", "record"}, {"facts", std::to_string(node_->keeper()->slots().size())}});
  was_full_ = full;
  const Ms next = next_due(now) - now;
  expected_ = at + std::max(next, 0.0);
}

Ms ClusterService::next_due(Ms now) const {
  const Ms at = clock();
  Ms next = at + 1000;
  const auto sooner = [&next](Ms when) {
    if (when > 0) next = std::min(next, when);
  };
  Ms node = node_->next_due();
  // What cannot be written now is due with the next try, not at once.
  if (writes_again_ > 0) sooner(writes_again_);
  sooner(node);
  for (const auto& to : to_)
    if (to) sooner(to->next_due());
  if (!accepting_) sooner(accepts_again_);
  return now + std::max(next - at, 0.0);
}

void ClusterService::leave(Ms now, Ms until) {
  leaves_at_ = clock();
  leave_until_ = until;
  node_->merges().leave();
  carry_out(now);
}

bool ClusterService::left(Ms) const {
  if (leaves_at_ == 0) return true;
  if (!wanted_.empty() || node_->merges().runs()) return false;
  return !node_->duties().holds_any() || (quiet_since_ > 0 && clock() >= quiet_since_ + kLeaveMost);
}

void ClusterService::log_events() {
  using Kind = lease::Event::Kind;
  using log::Level;
  const std::string at = times(clock());
  for (const lease::Event& e : node_->take_events()) {
    const std::string epoch = std::to_string(e.epoch);
    if (e.kind == Kind::kTaken || e.kind == Kind::kRenewed) {
      const bool taken = e.kind == Kind::kTaken;
      if (taken) counters_.add("duties taken");
      say_(taken ? Level::kInfo : Level::kDebug, taken ? "duty.taken" : "duty.renewed",
           {{"component", "duty"},
            {"duty", e.duty},
            {"epoch", epoch},
            {"at_ms", at},
            {"until_ms", times(e.until)}});
    } else if (e.kind == Kind::kLeft || e.kind == Kind::kLost) {
      const bool left = e.kind == Kind::kLeft;
      counters_.add(left ? "duties left" : "duties lost");
      say_(left ? Level::kInfo : Level::kWarning, left ? "duty.left" : "duty.lost",
           {{"component", "duty"}, {"duty", e.duty}, {"epoch", epoch}, {"at_ms", at}, {"why", e.why}});
    } else if (e.kind == Kind::kUnreadable) {
      say_(Level::kWarning, "duty.unreadable", {{"component", "duty"}, {"duty", e.duty}});
    }
  }
}

void ClusterService::tell() const {
  const Ms at = clock();
  if (const consensus::Acceptor* const k = node_->keeper())
    say_(log::Level::kInfo, "record.keeper",
         {{"component", "record"},
          {"ready", k->full() ? "yes" : "no"},
          {"facts", std::to_string(k->slots().size())}});
  for (const auto& to : to_)
    if (to)
      say_(log::Level::kInfo, "member.keeper",
           {{"component", "fleet"}, {"peer", to->address()}, {"up", to->up() ? "yes" : "no"}});
  node_->duties().each([&](const std::string& duty, const lease::LeaseRecord* claim, bool mine) {
    say_(log::Level::kInfo, "duty.is",
         {{"component", "duty"},
          {"duty", duty},
          {"holder", claim && !claim->released ? claim->holder : "nobody"},
          {"epoch", std::to_string(claim ? claim->epoch : 0)},
          {"here", mine && node_->duties().may_act(at, duty) ? "yes" : "no"}});
  });
}

void ClusterService::run_once_job(TimePoint now_at, CallId call, std::string_view name,
                                  CommandRequest&& asked) {
  const Ms now = to_ms(now_at);
  const Ms at = clock();
  Wanted& w = wanted_[call];
  w.command = asked.command;
  w.profile = asked.profile;
  w.statement = std::move(asked.statement);
  w.tables = asked.table_group;
  w.until = now + to_ms(asked.timeout);
  if (leave_until_ > 0) w.until = std::min(w.until, leave_until_);
  w.estimate = to_ms(asked.estimated_work.value_or(Duration{}));
  w.memory_mb = asked.memory_mb;
  const uint64_t hash = XXH3_64bits(w.statement.data(), w.statement.size()) | 1;
  counters_.add("merges asked for");
  node_->merges().ask(at, std::string(name), to_number(call), hash, at + (w.until - now));
}

void ClusterService::client_gone(TimePoint, CallId call) {
  if (wanted_.erase(call) > 0) node_->merges().gone(clock(), to_number(call));
}

void ClusterService::handle_topic_request(TimePoint, std::string_view method, std::string_view name,
                                          const std::string& params, Duration timeout, ReplyCallback done) {
  using Kind = schema::Change::Kind;
  static constexpr std::pair<std::string_view, Kind> kMethods[] = {
      {"bulletin", Kind::kRead}, {"propose", Kind::kPropose}, {"deprecate", Kind::kDeprecate},
      {"retire", Kind::kRetire}, {"declare", Kind::kDeclare}, {"withdraw", Kind::kWithdraw}};
  std::string why;
  auto change = schema::read_change(params, why);
  if (!change) return refused_.push_back({std::move(done), std::move(why)});
  for (const auto& [word, kind] : kMethods)
    if (method == word) change->kind = kind;
  why = schema::missing(*change);
  if (!why.empty()) return refused_.push_back({std::move(done), std::move(why)});
  change->bulletin = name;
  const Ms at = clock();
  counters_.add("bulletins asked about", method);
  changes_[node_->registry().ask(at, std::move(*change),
                                 at + std::clamp(to_ms(timeout), 1.0, kBulletinMost))] = std::move(done);
}

void ClusterService::tell_changes() {
  for (auto& [done, why] : std::exchange(refused_, {})) done({Reply::Kind::kInvalidParams, std::move(why)});
  using End = schema::Registry::End;
  for (const End& end : node_->take_changes()) {
    const auto at = changes_.find(end.change);
    if (at == changes_.end()) continue;
    const ReplyCallback done = std::move(at->second);
    changes_.erase(at);
    switch (end.kind) {
      case End::Kind::kAgreed:
        if (end.applied.changed)
          say_(log::Level::kInfo, "schema.agreed",
               {{"component", "schema"},
                {"bulletin", end.bulletin},
                {"version", std::to_string(end.applied.version)}});
        done({Reply::Kind::kDone,
              end.asked == schema::Change::Kind::kRead ? schema::written(end.applied.after)
              : end.applied.version > 0 ? fmt::format(R"({{"version":{}}})", end.applied.version)
                                        : R"({"agreed":true})"});
        break;
      case End::Kind::kRefused:
        say_(log::Level::kWarning, "schema.refused",
             {{"component", "schema"},
              {"bulletin", end.bulletin},
              {"rule", schema::name_of(end.applied.verdict.breaches.front().rule)},
              {"breaches", std::to_string(end.applied.verdict.breaches.size())}});
        done({Reply::Kind::kRejected, schema::written(end.applied.verdict)});
        break;
      case End::Kind::kNoMajority:
        done({Reply::Kind::kNoQuorum, {}});
        break;
      case End::Kind::kUnknown:
        done({Reply::Kind::kOutcomeUnknown, {}});
        break;
      case End::Kind::kUnreadable:
        done({Reply::Kind::kInvalidParams, "what stands there is no bulletin that this program reads"});
        break;
    }
  }
}

// What the merges call for.
void ClusterService::carry_out(Ms now) {
  using Kind = lease::RunOnceJobs::Action::Kind;
  using End = lease::RunOnceJobs::End;
  for (bool more = true; more;) {
    more = false;
    for (lease::RunOnceJobs::Action& a : node_->merges().take_actions()) {
      more = true;
      const CallId call{a.call};
      const auto at = wanted_.find(call);
      if (a.kind == Kind::kStart) {
        if (at == wanted_.end() || !core_) {
          node_->merges().run_ended(clock(), a.name, End::kNeverRan, {});
          continue;
        }
        const Wanted& w = at->second;
        CommandRequest asked;
        asked.command = w.command;
        asked.profile = w.profile;
        asked.statement = w.statement;
        asked.table_group = w.tables;
        asked.timeout = duration_of(std::max(1.0, w.until - now));
        if (w.estimate != 0) asked.estimated_work = duration_of(w.estimate);
        asked.memory_mb = w.memory_mb;
        const CallId run = last_run_ = next_after(last_run_);
        runs_[run] = a.name;
        say_(log::Level::kInfo, "merge.begun", {{"component", "duty"}, {"merge", a.name}});
        if (core_->admit(time_point_of(now), run, std::move(asked)) != AdmissionResult::kAdmitted) {
          runs_.erase(run);
          node_->merges().run_ended(clock(), a.name, End::kNeverRan, {});
        }
        continue;
      }
      if (at == wanted_.end()) continue;
      wanted_.erase(at);
      if (a.kind == Kind::kAnswer)
        clients_.answer(call, a.text);
      else if (a.kind == Kind::kShed)
        clients_.shed(call, a.advice > 0 ? std::optional(duration_of(a.advice)) : std::nullopt);
      else
        clients_.fail(call, a.text);
    }
  }
}

void ClusterService::answer(CallId call, std::string_view rows) {
  const auto at = runs_.find(call);
  if (at == runs_.end()) return clients_.answer(call, rows);
  const std::string name = at->second;
  runs_.erase(at);
  node_->merges().run_ended(clock(), name, lease::RunOnceJobs::End::kAnswered, std::string(rows));
}

void ClusterService::shed(CallId call, std::optional<Duration> retry_after) {
  const auto at = runs_.find(call);
  if (at == runs_.end()) return clients_.shed(call, retry_after);
  const std::string name = at->second;
  runs_.erase(at);
  node_->merges().run_ended(clock(), name, lease::RunOnceJobs::End::kNeverRan, {},
                            to_ms(retry_after.value_or(Duration{})));
}

void ClusterService::fail(CallId call, std::string_view why) {
  const auto at = runs_.find(call);
  if (at == runs_.end()) return clients_.fail(call, why);
  const std::string name = at->second;
  runs_.erase(at);
  node_->merges().run_ended(clock(), name, lease::RunOnceJobs::End::kFailed, {});
}

}  // namespace firvalve::cluster
