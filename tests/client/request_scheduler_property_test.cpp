// The request scheduler against generated scripts of events in virtual time: a world that accepts, refuses,
// answers, stays silent and breaks connections at any moment. The invariants of request_scheduler.h are
// checked by this file's own account of what was sent, not by the scheduler's.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <variant>

#include "client/request_scheduler.h"

namespace firvalve::client {
namespace {

struct Step {
  uint8_t what = 0;
  uint16_t which = 0, how = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
  return out << '{' << int(s.what) << ',' << s.which << ',' << s.how << '}';
}

class World {
 public:
  explicit World(const SchedulerOptions& options) : options_(options), scheduler_(options) {}

  void play(const Step& s) {
    switch (s.what % 16) {
      case 0:
      case 1:
      case 2:
        ask(s);
        break;
      case 3:
      case 4:
        pass(s.how % 400);
        break;
      case 5:
        pass(s.how % 5000);
        break;
      case 6:
      case 7:
        come_up(s.which);
        break;
      case 8:
        refuse(s.which);
        break;
      case 9:
      case 10:
      case 11:
        answer(s);
        break;
      case 12:
        shed(s);
        break;
      case 13:
        lose(s);
        break;
      case 14:
        answer_heartbeat(s);
        break;
      case 15:
        cancel(s.which);
        break;
    }
    decide();
  }

  void end() {
    for (int i = 0; i < 200; ++i) {
      pass(500);
      decide();
    }
    for (const auto& [no, call] : calls_) RC_ASSERT(call.ended);
    RC_ASSERT(scheduler_.open_calls() == 0u);
  }

 private:
  struct Call {
    bool replayable = false, ended = false;
    bool is_proved_unrun = true;  // each earlier attempt is proved not to have run
    std::string profile;
    TimePoint deadline;
    int attempts = 0, crossings = 0;
    bool may_cross = false;
  };
  struct Connection {
    GatewayIndex gateway = 0;
    bool up = false;
    RequestId last_request = 0;
    std::map<RequestId, CallId> open;
    std::set<RequestId> revoked, heartbeats;
    TimePoint active_at, received_at;
    struct Sent {
      TimePoint at;
      Duration connection_idle{0};
    };
    std::map<RequestId, Sent> sent;
  };

  template <class Map>
  static auto pick(Map& map, uint16_t which) {
    auto at = map.begin();
    std::advance(at, which % map.size());
    return at;
  }

  void ask(const Step& s) {
    Call c;
    c.replayable = s.which % 2 == 0;
    c.profile = s.which % 3 == 0 ? "report" : "lookup";
    c.deadline = now_ + Duration(1) + Duration(s.how % 4000);
    const CallId id{++last_call_};
    calls_[id] = c;
    scheduler_.start_call(now_, id, {c.profile, c.replayable, c.deadline, std::nullopt});
  }
  // Time goes on as a driver would let it: it wakes when the scheduler asks for it.
  void pass(Ms wait_ms) {
    const TimePoint until = now_ + Duration(wait_ms);
    for (int i = 0; i < 1000; ++i) {
      const auto due = scheduler_.next_due();
      if (!due || *due > until) break;
      RC_ASSERT(i < 999);  // it does not spin
      now_ = std::max(now_, *due);
      decide();
    }
    now_ = until;
  }
  void come_up(uint16_t which) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, which);
    if (at->second.up) return;
    at->second.up = true;
    at->second.active_at = now_;
    scheduler_.handle_connected(now_, at->first);
  }
  void refuse(uint16_t which) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, which);
    if (at->second.up) return;
    const ConnectionId no = at->first;
    connections_.erase(at);
    scheduler_.handle_connection_lost(now_, no, LossCause::kRefused);
  }
  void answer(const Step& s) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, s.which);
    Connection& l = at->second;
    Reply r;
    r.kind = s.how % 7 == 0 ? Reply::Kind::kFailed : Reply::Kind::kAnswered;
    l.active_at = l.received_at = now_;
    if (s.how % 11 == 0 || l.open.empty()) {  // late, or a second one
      if (!l.up || l.last_request == 0) return;
      r.request = 1 + s.how % l.last_request;
      if (l.open.count(r.request) || l.heartbeats.count(r.request)) return;
      RC_ASSERT(scheduler_.handle_reply(now_, at->first, r) == std::nullopt);
      return;
    }
    const auto open = pick(l.open, s.how);
    r.request = open->first;
    const CallId no = open->second;
    l.open.erase(open);
    RC_ASSERT(scheduler_.handle_reply(now_, at->first, r) == no);
  }
  void shed(const Step& s) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, s.which);
    Connection& l = at->second;
    if (l.open.empty()) return;
    const auto open = pick(l.open, s.how);
    Reply r;
    r.kind = Reply::Kind::kRefused;
    r.request = open->first;
    static const std::optional<Duration> kRetryAfter[] = {std::nullopt, Duration(50), Duration(700),
                                                          Duration(1e12)};
    r.retry_after = kRetryAfter[s.how % 4];
    const Call& c = calls_.at(open->second);
    if (r.retry_after) {
      TimePoint& until = retry_after_[{l.gateway, c.profile}];
      until = std::max(until, now_ + std::min(*r.retry_after, options_.max_retry_after));
    }
    l.open.erase(open);
    l.active_at = l.received_at = now_;
    scheduler_.handle_reply(now_, at->first, r);
  }
  void lose(const Step& s) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, s.which);
    Connection l = at->second;
    if (!l.up) return;
    static const LossCause kCauses[] = {LossCause::kClosed, LossCause::kReset, LossCause::kUnreadable};
    const LossCause cause = kCauses[s.how % 3];
    std::set<RequestId> unsent;
    for (const auto& [id, no] : l.open) {
      if ((s.how >> 4) % 5 == 0 && id % 2 == 0) {
        unsent.insert(id);
        continue;
      }
      Call& c = calls_.at(no);
      c.is_proved_unrun = false;
      const auto& [sent_at, idle] = l.sent.at(id);
      c.may_cross = cause != LossCause::kUnreadable && l.open.size() == 1 && now_ - sent_at <= Duration(50) &&
                    idle >= Duration(1000) && l.received_at < sent_at && c.crossings == 0;
    }
    const ConnectionId no = at->first;
    connections_.erase(at);
    scheduler_.handle_connection_lost(now_, no, cause, unsent);
  }
  void answer_heartbeat(const Step& s) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, s.which);
    Connection& l = at->second;
    if (l.heartbeats.empty()) return;
    Reply r;
    r.kind = Reply::Kind::kHeartbeat;
    r.request = *l.heartbeats.begin();
    l.heartbeats.erase(l.heartbeats.begin());
    r.is_healthy = s.how % 5 != 0;
    r.reads_retry_markers = s.how % 2 == 0;
    l.active_at = l.received_at = now_;
    scheduler_.handle_reply(now_, at->first, r);
  }
  void cancel(uint16_t which) {
    if (calls_.empty()) return;
    scheduler_.cancel_call(now_, pick(calls_, which)->first);
  }

  void decide() {
    Actions actions;
    scheduler_.decide(now_, actions);
    for (const Action& action : actions) std::visit([this](const auto& one) { check(one); }, action);
  }

  void check(const Connect& a) {
    RC_ASSERT(connections_.count(a.connection) == 0u);
    connections_[a.connection].gateway = a.gateway;
  }

  void check(const CloseConnection& a) { connections_.erase(a.connection); }

  void check(const SendHeartbeat& a) {
    Connection& l = connections_.at(a.connection);
    RC_ASSERT(a.request > l.last_request);
    l.last_request = a.request;
    l.heartbeats.insert(a.request);
    l.active_at = now_;
  }

  void check(const SendRevoke& a) {
    const auto at = connections_.find(a.connection);
    if (at == connections_.end()) return;
    Connection& l = at->second;
    RC_ASSERT(l.revoked.insert(a.request).second);
    RC_ASSERT(l.open.count(a.request) == 1u);
    calls_.at(l.open.at(a.request)).is_proved_unrun = false;
    l.open.erase(a.request);
  }

  void check(const EndCall& a) {
    Call& c = calls_.at(a.call);
    RC_ASSERT(!c.ended);
    c.ended = true;
    RC_ASSERT(a.attempts == c.attempts);
    if (a.outcome == Outcome::kRefused) RC_ASSERT(c.is_proved_unrun);
    if (!a.may_have_run && a.outcome != Outcome::kAnswered) RC_ASSERT(c.is_proved_unrun);
    if (!c.replayable && a.outcome == Outcome::kExpired) RC_ASSERT(c.is_proved_unrun);
  }

  void check(const LogGatewayChange&) {}

  void check(const SendAttempt& a) {
    Connection& l = connections_.at(a.connection);
    Call& c = calls_.at(a.call);
    RC_ASSERT(l.up);
    RC_ASSERT(!c.ended);
    RC_ASSERT(now_ < c.deadline);
    RC_ASSERT(a.timeout == c.deadline - now_);
    RC_ASSERT(a.request > l.last_request);
    RC_ASSERT(c.replayable || c.is_proved_unrun);
    const auto held_off = retry_after_.find({l.gateway, c.profile});
    RC_ASSERT(held_off == retry_after_.end() || now_ >= held_off->second);
    RC_ASSERT(c.attempts < options_.max_attempts);
    RC_ASSERT(attempt_ids_.insert(a.attempt_id).second);
    if (c.attempts == 0) {
      first_attempts_.push_back(now_);
      RC_ASSERT(a.first_attempt_id.empty());
    } else if (c.may_cross) {
      ++c.crossings;
    } else {
      retries_.push_back(now_);
      const auto in = [&](const std::vector<TimePoint>& all) {
        return static_cast<double>(std::count_if(
            all.begin(), all.end(), [&](TimePoint t) { return t >= now_ - options_.retry_window; }));
      };
      RC_ASSERT(in(retries_) <= options_.retry_share * in(first_attempts_) + 1);
    }
    c.may_cross = false;
    c.attempts += 1;
    l.last_request = a.request;
    l.sent[a.request] = {now_, l.open.empty() ? now_ - l.active_at : Duration(0)};
    l.open[a.request] = a.call;
    l.active_at = now_;
    RC_ASSERT(l.open.size() <= static_cast<size_t>(options_.max_calls_per_connection));
  }

  const SchedulerOptions options_;
  RequestScheduler scheduler_;
  TimePoint now_ = time_point_of(1000);
  uint64_t last_call_ = 0;
  std::map<CallId, Call> calls_;
  std::map<ConnectionId, Connection> connections_;
  std::map<std::pair<GatewayIndex, std::string>, TimePoint> retry_after_;
  std::vector<TimePoint> first_attempts_, retries_;
  std::set<std::string> attempt_ids_;
};

rc::Gen<std::vector<Step>> scripts() {
  return rc::gen::scale(
      4.0, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
               rc::gen::set(&Step::what), rc::gen::set(&Step::which, rc::gen::inRange<uint16_t>(0, 1000)),
               rc::gen::set(&Step::how, rc::gen::inRange<uint16_t>(0, 10000)))));
}

void run(size_t gateways, double share, int max_calls_per_connection) {
  SchedulerOptions options;
  options.gateways = gateways;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.retry_share = share;
  options.retry_window = Duration(3000);
  options.max_calls_per_connection = max_calls_per_connection;
  options.max_connections = 2;
  options.max_requests_per_connection = 20;
  World world(options);
  for (const Step& s : *scripts()) world.play(s);
  world.end();
}

RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithOneGateway, ()) { run(1, 0.5, 32); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithThreeGateways, ()) { run(3, 0.3, 3); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithoutRetries, ()) { run(2, 0, 2); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithUnlimitedRetries, ()) { run(2, 1, 32); }

}  // namespace
}  // namespace firvalve::client
