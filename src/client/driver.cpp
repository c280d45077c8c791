// Runs the I/O thread: passes calls, socket events and answers to the scheduler and executes its actions.
#include "client/driver.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

#include "client/validation.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::client {

using Poco::Net::PollSet;

Driver::Driver(Options options)
    : options_(std::move(options)),
      callback_thread_(options_.log, [this] { handle_call_closed(); }),
      scheduler_(scheduler_options(options_)) {
  for (const std::string& gateway : options_.gateways) addresses_.push_back(parse_address(gateway));
  const int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (descriptor < 0) throw std::runtime_error("client: cannot create an eventfd (no free file descriptor?)");
  wake_event_ = Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
  poll_set_.add(wake_event_, PollSet::POLL_READ);
}

// ---- Any thread ---------------------------------------------------------------------------------

void Driver::start() {
  io_thread_ = std::thread([self = shared_from_this()] { self->run(); });
  callback_thread_.start(shared_from_this());
}

void Driver::submit(const CallStatePtr& call) {
  call->driver = weak_from_this();
  call->submitted_at = MonotonicClock::now();
  const char* reason = nullptr;
  {
    const std::lock_guard lock(mutex_);
    if (is_closed_) {
      reason = "the client is closed";
    } else if (open_calls_ >= options_.max_open_calls) {
      reason = "too many open calls";
      ++refused_at_submit_;
    } else {
      ++open_calls_;
      call->id = CallId{++last_call_};
      operations_.push_back({CallOperation::Kind::kStart, call});
    }
  }
  if (!reason) return wake();
  Result result;
  result.outcome = Outcome::kRefused;
  result.why = reason;
  end_call_state(*call, std::move(result));
  if (call->callback) call->callback(call->result);
}

void Driver::cancel(const CallStatePtr& call) {
  {
    const std::lock_guard lock(mutex_);
    operations_.push_back({CallOperation::Kind::kCancel, call});
  }
  wake();
}

size_t Driver::close(Duration timeout) {
  std::unique_lock lock(mutex_);
  is_closed_ = true;
  if (callback_thread_.is_current()) return 0;
  const auto has_no_open_calls = [this] { return open_calls_ == 0; };
  all_calls_closed_.wait_for(lock, timeout, has_no_open_calls);
  const size_t left = open_calls_;
  must_cancel_all_ = true;
  lock.unlock();
  wake();
  lock.lock();
  all_calls_closed_.wait(lock, has_no_open_calls);
  return left;
}

void Driver::stop() {
  {
    const std::lock_guard lock(mutex_);
    is_closed_ = must_cancel_all_ = is_stopping_ = true;
  }
  wake();
  if (callback_thread_.is_current()) {
    io_thread_.detach();
    callback_thread_.detach();
  } else {
    io_thread_.join();
    callback_thread_.join();
  }
}

std::optional<GatewayIndex> Driver::find_gateway(const std::string& address) const {
  const auto at = std::find(options_.gateways.begin(), options_.gateways.end(), address);
  if (at == options_.gateways.end()) return std::nullopt;
  return static_cast<GatewayIndex>(at - options_.gateways.begin());
}

Stats Driver::stats() const {
  const std::lock_guard lock(mutex_);
  Stats stats = stats_;
  stats.calls += refused_at_submit_;
  stats.refused += refused_at_submit_;
  stats.refused_without_attempt += refused_at_submit_;
  stats.open = open_calls_;
  return stats;
}

void Driver::wake() {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wake_event_.impl()->sockfd(), &one, sizeof one);
}

void Driver::handle_call_closed() {
  const std::lock_guard lock(mutex_);
  count_closed_call();
}

void Driver::count_closed_call() {
  if (--open_calls_ == 0) all_calls_closed_.notify_all();
}

// ---- The I/O thread -----------------------------------------------------------------------------

void Driver::run() {
  std::vector<CallOperation> operations;
  for (bool is_last = false; !is_last;) {
    bool cancels_all = false;
    {
      const std::lock_guard lock(mutex_);
      operations.swap(operations_);
      is_last = is_stopping_;
      cancels_all = must_cancel_all_;
    }
    const TimePoint now = MonotonicClock::now();
    for (const CallOperation& operation : operations) execute(now, operation);
    operations.clear();
    if (cancels_all) cancel_all(now);
    decide(now);
    publish_stats();
    if (!is_last) wait_for_events();
  }
  connections_.clear();
  callback_thread_.finish();
}

void Driver::execute(TimePoint now, const CallOperation& operation) {
  const CallState& call = *operation.call;
  if (operation.kind == CallOperation::Kind::kCancel) return scheduler_.cancel_call(now, call.id);
  calls_[call.id] = operation.call;
  CallRequest request;
  request.profile = call.command.profile;
  request.is_replayable = call.command.effect == Effect::kReplayable;
  request.deadline = call.submitted_at + duration_of(call.command.timeout_ms);
  if (const auto* page = std::get_if<PageRequest>(&call.request)) request.required_gateway = page->gateway;
  scheduler_.start_call(now, call.id, request);
}

void Driver::cancel_all(TimePoint now) {
  std::vector<CallId> all;
  for (const auto& [id, call] : calls_) all.push_back(id);
  for (const CallId id : all) scheduler_.cancel_call(now, id);
}

// Runs the scheduler and its actions until they cause no further connection loss.
void Driver::decide(TimePoint now) {
  do {
    report_losses(now);
    actions_.clear();
    scheduler_.decide(now, actions_);
    for (const Action& action : actions_) std::visit([this](const auto& one) { execute(one); }, action);
    flush_pending();
  } while (!unreported_losses_.empty());
}

void Driver::report_losses(TimePoint now) {
  for (const ConnectionLoss& loss : std::exchange(unreported_losses_, {})) {
    const auto at = connections_.find(loss.connection);
    if (at == connections_.end()) continue;
    const std::set<RequestId> unsent = at->second.unsent_requests();
    erase(at);
    scheduler_.handle_connection_lost(now, loss.connection, loss.cause, unsent);
  }
}

void Driver::flush_pending() {
  for (const ConnectionId id : std::exchange(unflushed_connections_, {})) {
    const auto at = connections_.find(id);
    if (at == connections_.end()) continue;
    at->second.needs_flush = false;
    if (at->second.is_up()) flush(id, at->second);
  }
}

void Driver::flush(ConnectionId id, Connection& connection) {
  // Only recorded here: if the socket is also readable in this turn, its data is still read.
  if (!connection.flush()) unreported_losses_.push_back({id, LossCause::kReset});
}

void Driver::erase(Connections::iterator at) {
  if (const auto descriptor = at->second.descriptor()) connections_by_descriptor_.erase(*descriptor);
  connections_.erase(at);
}

void Driver::publish_stats() {
  const SchedulerStats& from = scheduler_.stats();
  const std::lock_guard lock(mutex_);
  stats_.calls = from.calls;
  stats_.answered = from.answered;
  stats_.refused = from.refused;
  stats_.failed = from.failed;
  stats_.unknown = from.unknown;
  stats_.expired = from.expired;
  stats_.cancelled = from.cancelled;
  stats_.refused_without_attempt = from.refused_without_attempt;
  stats_.attempts = from.attempts;
  stats_.retries = from.retries;
  stats_.idle_close_retries = from.idle_close_retries;
  stats_.revoked = from.revoked;
  stats_.late_answers = from.late_answers;
  stats_.connects = from.connects;
  stats_.connects_failed = from.connects_failed;
  stats_.reconnects = from.reconnects;
  stats_.connections_lost = from.connections_lost;
  stats_.outages = from.outages;
}

// ---- Sockets ------------------------------------------------------------------------------------

void Driver::wait_for_events() {
  constexpr Ms kMaxWaitMs = 1000;
  const auto due = scheduler_.next_due();
  const Ms wait_ms =
      due ? std::clamp(std::ceil(to_ms(*due - MonotonicClock::now())), 0.0, kMaxWaitMs) : kMaxWaitMs;
  const auto ready = poll_set_.poll(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(wait_ms) * 1000));
  const TimePoint now = MonotonicClock::now();
  for (const auto& [socket, events] : ready) {
    const int descriptor = socket.impl()->sockfd();
    if (descriptor == wake_event_.impl()->sockfd()) {
      uint64_t count = 0;
      [[maybe_unused]] const ssize_t got = ::read(descriptor, &count, sizeof count);
    } else if (const auto at = connections_by_descriptor_.find(descriptor);
               at != connections_by_descriptor_.end()) {
      handle_socket(now, at->second, events);
    }
  }
}

void Driver::handle_socket(TimePoint now, ConnectionId id, int events) {
  Connection& connection = connections_.at(id);
  if (!connection.is_up()) {
    if (const auto failure = connection.finish_connect()) {
      unreported_losses_.push_back({id, *failure});
      return;
    }
    scheduler_.handle_connected(now, id);
  }
  if (events & PollSet::POLL_WRITE) flush(id, connection);
  if (events & (PollSet::POLL_READ | PollSet::POLL_ERROR)) receive(now, id, connection);
}

void Driver::receive(TimePoint now, ConnectionId id, Connection& connection) {
  if (const auto lost = connection.receive()) {
    unreported_losses_.push_back({id, *lost});
    return;
  }
  std::span<char> body;
  for (;;) {
    const Connection::Next next = connection.next_message(body);
    if (next == Connection::Next::kNone) break;
    if (next == Connection::Next::kUnreadable || !handle_message(now, id, body)) {
      unreported_losses_.push_back({id, LossCause::kUnreadable});
      return;
    }
    if (!scheduler_.has_connection(id)) return;  // the next decide() closes it
  }
  connection.release_read_buffer();
}

// False: the message is malformed.
bool Driver::handle_message(TimePoint now, ConnectionId id, std::span<char> body) {
  using Kind = proto::RpcReply::Kind;
  proto::RpcReply message = proto::read_reply(body);
  if (message.kind == Kind::kUnreadable) return false;
  // The gateway could not read one of our messages. Ignored: it closes the connection next, which is handled.
  if (!message.has_id) return true;
  Reply reply;
  reply.request = message.id;
  if (message.retry_after_ms > 0) reply.retry_after = duration_of(message.retry_after_ms);
  reply.is_healthy = message.is_healthy;
  reply.reads_retry_markers = message.reads_retry_markers;
  reply.text = message.message;
  reply.kind = message.kind == Kind::kRows        ? Reply::Kind::kAnswered
               : message.kind == Kind::kShed      ? Reply::Kind::kRefused
               : message.kind == Kind::kHeartbeat ? Reply::Kind::kHeartbeat
                                                  : Reply::Kind::kFailed;
  const auto ended = scheduler_.handle_reply(now, id, reply);
  if (!ended) return true;
  Result& result = calls_.at(*ended)->result;
  result.rows = std::move(message.rows);
  result.token = std::move(message.token);
  result.pages = message.page_count;
  result.total_rows = message.row_count;
  result.gone = message.code == proto::kRpcResultGone;
  result.no_such_page = message.code == proto::kRpcNoSuchPage;
  return true;
}

// ---- Actions ------------------------------------------------------------------------------------

void Driver::execute(const Connect& action) {
  Connection& connection =
      connections_.try_emplace(action.connection, poll_set_, options_.max_answer_bytes).first->second;
  if (connection.connect(addresses_[action.gateway]))
    connections_by_descriptor_[*connection.descriptor()] = action.connection;
  else
    unreported_losses_.push_back({action.connection, LossCause::kRefused});
}

void Driver::execute(const CloseConnection& action) {
  const auto at = connections_.find(action.connection);
  if (at == connections_.end()) return;
  if (at->second.is_up()) flush(action.connection, at->second);  // send pending revocations before closing
  erase(at);
}

Connection* Driver::mark_for_flush(ConnectionId id) {
  const auto at = connections_.find(id);
  if (at == connections_.end()) return nullptr;
  if (!std::exchange(at->second.needs_flush, true)) unflushed_connections_.push_back(id);
  return &at->second;
}

void Driver::append_attempt(std::string& out, const SendAttempt& action) const {
  const CallState& call = *calls_.at(action.call);
  const Command& command = call.command;
  if (const auto* topic = std::get_if<TopicRequest>(&call.request)) {
    proto::append_method(out, action.request, topic->method, topic->params);
  } else if (const auto* page = std::get_if<PageRequest>(&call.request)) {
    proto::append_page_call(out, {action.request, page->token, command.key, page->page});
  } else {
    proto::append_command(out, {action.request, command.profile, command.statement, action.attempt_id,
                                action.first_attempt_id, to_ms(action.timeout), command.estimate_ms,
                                command.memory_mb, command.paged, command.key, command.run_once_key});
  }
}

void Driver::execute(const SendAttempt& action) {
  Connection* const connection = mark_for_flush(action.connection);
  if (!connection) return;
  const size_t before = connection->send_buffer().size();
  append_attempt(connection->send_buffer(), action);
  connection->message_appended(connection->send_buffer().size() - before, action.request);
}

void Driver::execute(const SendRevoke& action) {
  Connection* const connection = mark_for_flush(action.connection);
  if (!connection) return;
  const size_t before = connection->send_buffer().size();
  proto::append_revoke(connection->send_buffer(), action.request, action.attempt_id);
  connection->message_appended(connection->send_buffer().size() - before, std::nullopt);
}

void Driver::execute(const SendHeartbeat& action) {
  Connection* const connection = mark_for_flush(action.connection);
  if (!connection) return;
  const size_t before = connection->send_buffer().size();
  proto::append_heartbeat(connection->send_buffer(), action.request);
  connection->message_appended(connection->send_buffer().size() - before, std::nullopt);
}

void Driver::execute(const EndCall& action) {
  const auto at = calls_.find(action.call);
  const CallStatePtr call = std::move(at->second);
  calls_.erase(at);
  Result result = std::move(call->result);  // filled in by handle_message() if there was an answer
  result.outcome = action.outcome;
  if (action.gateway) result.gateway = options_.gateways[*action.gateway];
  result.may_have_run = action.may_have_run;
  result.cancelled = action.was_cancelled;
  result.attempts = action.attempts;
  result.elapsed_ms = to_ms(MonotonicClock::now() - call->submitted_at);
  result.retry_after_ms = to_ms(action.retry_after.value_or(Duration(0)));
  if (result.outcome != Outcome::kAnswered) result.why = action.reason;
  const bool has_callback = static_cast<bool>(call->callback);
  if (has_callback) {
    end_call_state(*call, std::move(result));
    callback_thread_.post_callback(call);
    return;
  }
  // Under one lock, so that a caller that has its result no longer sees the call counted as open, and close()
  // returns only once the result is set.
  const std::lock_guard lock(mutex_);
  end_call_state(*call, std::move(result));
  count_closed_call();
}

void Driver::execute(const LogGatewayChange& action) {
  callback_thread_.post_log(LogLevel::kWarning,
                            fmt::format("gateway {} {}", options_.gateways[action.gateway], action.text));
}

}  // namespace firvalve::client
