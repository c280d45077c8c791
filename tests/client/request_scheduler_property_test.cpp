// Property test of the request scheduler: generated event scripts in virtual time, with gateways that accept,
// refuse, answer, stay silent and drop connections at any time. A model checks the invariants listed in
// request_scheduler.h against its own record of what was sent.
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
  uint8_t event = 0;
  uint16_t target = 0, parameter = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << '{' << int(step.event) << ',' << step.target << ',' << step.parameter << '}';
}

class SchedulerModel {
 public:
  explicit SchedulerModel(const SchedulerOptions& options) : options_(options), scheduler_(options) {}

  void execute(const Step& step) {
    switch (step.event % 16) {
      case 0:
      case 1:
      case 2:
        start_call(step);
        break;
      case 3:
      case 4:
        advance_time(step.parameter % 400);
        break;
      case 5:
        advance_time(step.parameter % 5000);
        break;
      case 6:
      case 7:
        finish_connect(step.target);
        break;
      case 8:
        fail_connect(step.target);
        break;
      case 9:
      case 10:
      case 11:
        answer_call(step);
        break;
      case 12:
        refuse_call(step);
        break;
      case 13:
        lose_connection(step);
        break;
      case 14:
        answer_heartbeat(step);
        break;
      case 15:
        cancel_call(step.target);
        break;
    }
    decide();
  }

  void finish() {
    for (int i = 0; i < 200; ++i) {
      advance_time(500);
      decide();
    }
    for (const auto& [id, call] : calls_) RC_ASSERT(call.ended);
    RC_ASSERT(scheduler_.open_calls() == 0u);
  }

 private:
  struct Call {
    bool replayable = false, ended = false;
    bool cannot_have_run = true;  // no earlier attempt can have run
    std::string profile;
    TimePoint deadline;
    int attempts = 0, idle_close_retries = 0;
    bool is_exempt_retry_allowed = false;
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
  static auto pick(Map& map, uint16_t target) {
    auto at = map.begin();
    std::advance(at, target % map.size());
    return at;
  }

  void start_call(const Step& step) {
    Call call;
    call.replayable = step.target % 2 == 0;
    call.profile = step.target % 3 == 0 ? "report" : "lookup";
    call.deadline = now_ + Duration(1) + Duration(step.parameter % 4000);
    const CallId id{++last_call_};
    calls_[id] = call;
    scheduler_.start_call(now_, id, {call.profile, call.replayable, call.deadline, std::nullopt});
  }
  // Advances time like the driver: calls decide() whenever the scheduler is due.
  void advance_time(Ms wait_ms) {
    const TimePoint until = now_ + Duration(wait_ms);
    for (int i = 0; i < 1000; ++i) {
      const auto due = scheduler_.next_due();
      if (!due || *due > until) break;
      RC_ASSERT(i < 999);  // no busy loop
      now_ = std::max(now_, *due);
      decide();
    }
    now_ = until;
  }
  void finish_connect(uint16_t target) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, target);
    if (at->second.up) return;
    at->second.up = true;
    at->second.active_at = now_;
    scheduler_.handle_connected(now_, at->first);
  }
  void fail_connect(uint16_t target) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, target);
    if (at->second.up) return;
    const ConnectionId connection_id = at->first;
    connections_.erase(at);
    scheduler_.handle_connection_lost(now_, connection_id, LossCause::kRefused);
  }
  void answer_call(const Step& step) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, step.target);
    Connection& connection = at->second;
    Reply reply;
    reply.kind = step.parameter % 7 == 0 ? Reply::Kind::kFailed : Reply::Kind::kAnswered;
    connection.active_at = connection.received_at = now_;
    if (step.parameter % 11 == 0 || connection.open.empty()) {  // a late or duplicate answer
      if (!connection.up || connection.last_request == 0) return;
      reply.request = 1 + step.parameter % connection.last_request;
      if (connection.open.count(reply.request) || connection.heartbeats.count(reply.request)) return;
      RC_ASSERT(scheduler_.handle_reply(now_, at->first, reply) == std::nullopt);
      return;
    }
    const auto open = pick(connection.open, step.parameter);
    reply.request = open->first;
    const CallId call_id = open->second;
    connection.open.erase(open);
    RC_ASSERT(scheduler_.handle_reply(now_, at->first, reply) == call_id);
  }
  void refuse_call(const Step& step) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, step.target);
    Connection& connection = at->second;
    if (connection.open.empty()) return;
    const auto open = pick(connection.open, step.parameter);
    Reply reply;
    reply.kind = Reply::Kind::kRefused;
    reply.request = open->first;
    static const std::optional<Duration> kRetryAfter[] = {std::nullopt, Duration(50), Duration(700),
                                                          Duration(1e12)};
    reply.retry_after = kRetryAfter[step.parameter % 4];
    const Call& call = calls_.at(open->second);
    if (reply.retry_after) {
      TimePoint& until = retry_after_[{connection.gateway, call.profile}];
      until = std::max(until, now_ + std::min(*reply.retry_after, options_.max_retry_after));
    }
    connection.open.erase(open);
    connection.active_at = connection.received_at = now_;
    scheduler_.handle_reply(now_, at->first, reply);
  }
  void lose_connection(const Step& step) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, step.target);
    Connection connection = at->second;
    if (!connection.up) return;
    static const LossCause kCauses[] = {LossCause::kClosed, LossCause::kReset, LossCause::kUnreadable};
    const LossCause cause = kCauses[step.parameter % 3];
    std::set<RequestId> unsent;
    for (const auto& [request, call_id] : connection.open) {
      if ((step.parameter >> 4) % 5 == 0 && request % 2 == 0) {
        unsent.insert(request);
        continue;
      }
      Call& call = calls_.at(call_id);
      call.cannot_have_run = false;
      const auto& [sent_at, idle] = connection.sent.at(request);
      call.is_exempt_retry_allowed = cause != LossCause::kUnreadable && connection.open.size() == 1 &&
                                     now_ - sent_at <= Duration(50) && idle >= Duration(1000) &&
                                     connection.received_at < sent_at && call.idle_close_retries == 0;
    }
    const ConnectionId connection_id = at->first;
    connections_.erase(at);
    scheduler_.handle_connection_lost(now_, connection_id, cause, unsent);
  }
  void answer_heartbeat(const Step& step) {
    if (connections_.empty()) return;
    const auto at = pick(connections_, step.target);
    Connection& connection = at->second;
    if (connection.heartbeats.empty()) return;
    Reply reply;
    reply.kind = Reply::Kind::kHeartbeat;
    reply.request = *connection.heartbeats.begin();
    connection.heartbeats.erase(connection.heartbeats.begin());
    reply.is_healthy = step.parameter % 5 != 0;
    reply.reads_retry_markers = step.parameter % 2 == 0;
    connection.active_at = connection.received_at = now_;
    scheduler_.handle_reply(now_, at->first, reply);
  }
  void cancel_call(uint16_t target) {
    if (calls_.empty()) return;
    scheduler_.cancel_call(now_, pick(calls_, target)->first);
  }

  void decide() {
    Actions actions;
    scheduler_.decide(now_, actions);
    for (const Action& action : actions) std::visit([this](const auto& one) { check(one); }, action);
  }

  void check(const Connect& action) {
    RC_ASSERT(connections_.count(action.connection) == 0u);
    connections_[action.connection].gateway = action.gateway;
  }

  void check(const CloseConnection& action) { connections_.erase(action.connection); }

  void check(const SendHeartbeat& action) {
    Connection& connection = connections_.at(action.connection);
    RC_ASSERT(action.request > connection.last_request);
    connection.last_request = action.request;
    connection.heartbeats.insert(action.request);
    connection.active_at = now_;
  }

  void check(const SendRevoke& action) {
    const auto at = connections_.find(action.connection);
    if (at == connections_.end()) return;
    Connection& connection = at->second;
    RC_ASSERT(connection.revoked.insert(action.request).second);
    RC_ASSERT(connection.open.count(action.request) == 1u);
    calls_.at(connection.open.at(action.request)).cannot_have_run = false;
    connection.open.erase(action.request);
  }

  void check(const EndCall& action) {
    Call& call = calls_.at(action.call);
    RC_ASSERT(!call.ended);
    call.ended = true;
    RC_ASSERT(action.attempts == call.attempts);
    if (action.outcome == Outcome::kRefused) RC_ASSERT(call.cannot_have_run);
    if (!action.may_have_run && action.outcome != Outcome::kAnswered) RC_ASSERT(call.cannot_have_run);
    if (!call.replayable && action.outcome == Outcome::kExpired) RC_ASSERT(call.cannot_have_run);
  }

  void check(const LogGatewayChange&) {}

  void check(const SendAttempt& action) {
    Connection& connection = connections_.at(action.connection);
    Call& call = calls_.at(action.call);
    RC_ASSERT(connection.up);
    RC_ASSERT(!call.ended);
    RC_ASSERT(now_ < call.deadline);
    RC_ASSERT(action.timeout == call.deadline - now_);
    RC_ASSERT(action.request > connection.last_request);
    RC_ASSERT(call.replayable || call.cannot_have_run);
    const auto retry_after = retry_after_.find({connection.gateway, call.profile});
    RC_ASSERT(retry_after == retry_after_.end() || now_ >= retry_after->second);
    RC_ASSERT(call.attempts < options_.max_attempts);
    RC_ASSERT(attempt_ids_.insert(action.attempt_id).second);
    if (call.attempts == 0) {
      first_attempts_.push_back(now_);
      RC_ASSERT(action.first_attempt_id.empty());
    } else if (call.is_exempt_retry_allowed) {
      ++call.idle_close_retries;
    } else {
      retries_.push_back(now_);
      const auto count_in_window = [&](const std::vector<TimePoint>& all) {
        return static_cast<double>(std::count_if(
            all.begin(), all.end(), [&](TimePoint time) { return time >= now_ - options_.retry_window; }));
      };
      RC_ASSERT(count_in_window(retries_) <= options_.retry_share * count_in_window(first_attempts_) + 1);
    }
    call.is_exempt_retry_allowed = false;
    call.attempts += 1;
    connection.last_request = action.request;
    connection.sent[action.request] = {now_,
                                       connection.open.empty() ? now_ - connection.active_at : Duration(0)};
    connection.open[action.request] = action.call;
    connection.active_at = now_;
    RC_ASSERT(connection.open.size() <= static_cast<size_t>(options_.max_calls_per_connection));
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

rc::Gen<std::vector<Step>> arbitrary_script() {
  return rc::gen::scale(
      4.0, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
               rc::gen::set(&Step::event), rc::gen::set(&Step::target, rc::gen::inRange<uint16_t>(0, 1000)),
               rc::gen::set(&Step::parameter, rc::gen::inRange<uint16_t>(0, 10000)))));
}

void run(size_t gateways, double retry_share, int max_calls_per_connection) {
  SchedulerOptions options;
  options.gateways = gateways;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.retry_share = retry_share;
  options.retry_window = Duration(3000);
  options.max_calls_per_connection = max_calls_per_connection;
  options.max_connections = 2;
  options.max_requests_per_connection = 20;
  SchedulerModel model(options);
  for (const Step& step : *arbitrary_script()) model.execute(step);
  model.finish();
}

RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithOneGateway, ()) { run(1, 0.5, 32); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithThreeGateways, ()) { run(3, 0.3, 3); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithoutRetries, ()) { run(2, 0, 2); }
RC_GTEST_PROP(RequestSchedulerProperty, HoldsWithUnlimitedRetries, ()) { run(2, 1, 32); }

}  // namespace
}  // namespace firvalve::client
