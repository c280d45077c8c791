// Implements Client and Handle: checks the input and passes calls to the driver.
#include "client/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/time.h"
#include "client/call_state.h"
#include "client/driver.h"
#include "client/validation.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::client {

const size_t kMaxStatementBytes = proto::kMaxRpcStatementBytes;

std::string_view name_of(Outcome outcome) {
  static constexpr std::string_view kNames[] = {"answered", "refused", "failed", "unknown", "expired"};
  return kNames[static_cast<size_t>(outcome)];
}

void end_call_state(CallState& call, Result result) {
  {
    const std::lock_guard lock(call.mutex);
    call.result = std::move(result);
    call.has_ended = true;
  }
  call.ended.notify_all();
}

// ---- Handle -------------------------------------------------------------------------------------

Handle::Handle() = default;
Handle::~Handle() = default;
Handle::Handle(const Handle&) = default;
Handle& Handle::operator=(const Handle&) = default;

void Handle::cancel() {
  if (!state_ || done()) return;
  if (const auto driver = state_->driver.lock()) driver->cancel(state_);
}

const Result& Handle::wait() const {
  if (!state_) throw std::logic_error("Handle::wait: the handle does not refer to a call");
  std::unique_lock lock(state_->mutex);
  state_->ended.wait(lock, [this] { return state_->has_ended; });
  return state_->result;
}

bool Handle::done() const {
  if (!state_) return false;
  const std::lock_guard lock(state_->mutex);
  return state_->has_ended;
}

// ---- Client -------------------------------------------------------------------------------------

Client::Client(Options options) {
  check(options);
  driver_ = std::make_shared<Driver>(std::move(options));
  driver_->start();
}

Client::~Client() { driver_->stop(); }

// Checks and submits a call. `set_request` fills in a page or topic request; `command` then holds its profile
// and timeout.
Handle Client::submit(Command command, const std::function<void(CallState&)>& set_request, Callback done) {
  check(command);
  Handle handle;
  handle.state_ = std::make_shared<CallState>();
  handle.state_->command = std::move(command);
  handle.state_->callback = std::move(done);
  set_request(*handle.state_);
  driver_->submit(handle.state_);
  return handle;
}

Handle Client::send(Command command, Callback done) {
  return submit(
      std::move(command), [](CallState&) {}, std::move(done));
}

Handle Client::request_page(const std::string& gateway, const std::string& token, uint64_t page,
                            double timeout_ms, const std::string& key, Callback done) {
  const auto index = driver_->find_gateway(gateway);
  if (!index)
    throw std::invalid_argument(fmt::format("gateway \"{}\": must be one of Options::gateways", gateway));
  return submit(
      {"page", "page", timeout_ms, 0, 0, Effect::kReplayable, false, key, {}},
      [&](CallState& state) {
        state.request = PageRequest{*index, token, page};
      },
      std::move(done));
}

Handle Client::call_topic_method(const std::string& method, const std::string& topic,
                                 const std::string& params, double timeout_ms, Callback done) {
  auto named = proto::add_topic_params(topic, params, timeout_ms);
  if (!named) throw std::invalid_argument("params: must be a JSON object");
  if (!proto::is_topic_method(method))
    throw std::invalid_argument(fmt::format(
        "method \"{}\": must be propose, deprecate, retire, declare, withdraw or bulletin", method));
  return submit(
      {method, method, timeout_ms, 0, 0, Effect::kReplayable, false, {}, {}},
      [&](CallState& state) {
        state.request = TopicRequest{method, std::move(*named)};
      },
      std::move(done));
}

Result Client::call(Command command) { return send(std::move(command)).wait(); }

size_t Client::close(double wait_ms) {
  return driver_->close(duration_of(std::clamp(wait_ms, 0.0, kMaxTimeoutMs)));
}

Stats Client::stats() const { return driver_->stats(); }

}  // namespace firvalve::client
