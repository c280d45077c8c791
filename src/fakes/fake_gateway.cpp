// The gateway's JSON-RPC protocol, with the faults that each statement requests.
#include "fakes/fake_gateway.h"

#include <fmt/format.h>

#include <algorithm>

namespace firvalve::fakes {

class FakeGateway::Session : public net::Connection {
 public:
  Session(FakeGateway& owner, const Poco::Net::StreamSocket& socket)
      : net::Connection(owner.host_.loop(), socket), owner_(owner) {}

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      const proto::ReadResult read = frames_.next(read_buffer_, body);
      if (read == proto::ReadResult::kIncomplete) return;
      if (read == proto::ReadResult::kMalformed) return owner_.connections_.end(this);
      owner_.handle_request(*this, body);
      if (!is_open()) return;
    }
  }
  void on_end(End) override { owner_.connections_.end(this); }

 private:
  FakeGateway& owner_;
  proto::RpcFrames frames_;
};

FakeGateway::FakeGateway(FakeHost& host, const std::string& address)
    : host_(host), connections_(host), alive_(std::make_shared<bool>(true)) {
  host_.run_and_wait([&] {
    listener_ = std::make_unique<Listener>(host_, [this](const Poco::Net::StreamSocket& socket) {
      connections_.add(std::make_unique<Session>(*this, socket));
      const std::lock_guard lock(mutex_);
      accepted_at_.push_back(host_.loop().now_ms());
    });
    listener_->listen(address);
    address_ = listener_->address();
  });
}

FakeGateway::~FakeGateway() {
  host_.run_and_wait([&] {
    *alive_ = false;
    listener_.reset();
    connections_.end_all(false);
  });
}

void FakeGateway::kill(bool with_reset) {
  host_.run_and_wait([&] {
    listener_->close();
    connections_.end_all(with_reset);
  });
}
void FakeGateway::restart() {
  host_.run_and_wait([&] { listener_->listen(address_); });
}
void FakeGateway::set_healthy(bool healthy) {
  host_.run_and_wait([&] { is_healthy_ = healthy; });
}
void FakeGateway::set_marks(bool marks) {
  host_.run_and_wait([&] { reads_markers_ = marks; });
}
void FakeGateway::set_mute(bool mute) {
  host_.run_and_wait([&] { is_mute_ = mute; });
}

std::vector<FakeGateway::ReceivedCommand> FakeGateway::heard() const {
  const std::lock_guard lock(mutex_);
  return received_commands_;
}
int FakeGateway::heard(const std::string& statement) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::count_if(received_commands_.begin(), received_commands_.end(),
                    [&](const ReceivedCommand& command) { return command.statement == statement; }));
}
int FakeGateway::revoked() const {
  const std::lock_guard lock(mutex_);
  return revoked_;
}
std::vector<Ms> FakeGateway::accepted_at() const {
  const std::lock_guard lock(mutex_);
  return accepted_at_;
}

void FakeGateway::handle_request(Session& connection, std::span<char> body) {
  const proto::RpcCall call = proto::read_call(body);
  using Kind = proto::RpcCall::Kind;
  if (call.kind == Kind::kRevoke) {
    const std::lock_guard lock(mutex_);
    ++revoked_;
    return;
  }
  if (call.kind == Kind::kHeartbeat) {
    if (is_mute_) return;
    std::string out;
    proto::append_heartbeat_reply(out, call.id, is_healthy_, reads_markers_);
    return connection.write(out);
  }
  if (call.kind != Kind::kCommand) {
    std::string out;
    proto::append_error(out, call.id, call.has_id, call.error_code, call.error_message);
    return connection.write(out);
  }
  {
    const std::lock_guard lock(mutex_);
    received_commands_.push_back({std::string(call.profile), call.statement, std::string(call.command),
                                  std::string(call.first_command), to_ms(call.timeout),
                                  host_.loop().now_ms()});
  }
  if (is_mute_) return;
  const FaultScript script = script_of(call.statement);
  if (script.late <= 0) return send_response(connection, call.id, script, call.statement);
  host_.after(script.late,
              [this, alive = alive_, key = &connection, id = call.id, script, statement = call.statement] {
                if (*alive && connections_.has(key)) send_response(*key, id, script, statement);
              });
}

void FakeGateway::send_response(Session& connection, int64_t id, const FaultScript& script,
                                const std::string& statement) {
  if (script.answer == "none") return;
  const bool breaks_off =
      (script.reset >= 0 || script.cut >= 0) && faults_applied_[statement]++ < script.times;
  std::string out;
  if (script.corruption == "other") id += 1000000;
  if (script.answer == "shed" && faults_applied_[statement]++ < script.times) {
    const std::string data =
        script.holdoff.empty() ? "" : fmt::format(R"(,"data":{{"holdoff":{}}})", script.holdoff);
    const std::string text =
        fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":-32001,"message":"shed"{}}}}})", id, data);
    out = fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text);
  } else if (script.answer == "fail") {
    proto::append_error(out, id, true, proto::kRpcFailed, "failed");
  } else {
    std::string rows;
    for (int page = 0; page < script.pages; ++page) rows += rows_of(script, page);
    proto::append_result(out, id, rows);
  }
  if (script.corruption == "huge") out = "Content-Length: 60000000\r\n\r\n" + std::string(200000, ' ');
  if (script.corruption == "junk") out = "Content-Length: 4\r\n\r\njunk";
  if (script.corruption == "twice") out += std::string(out);
  if (breaks_off) {
    connection.write(
        std::string_view(out).substr(0, static_cast<size_t>(std::max(script.reset, script.cut))));
    return connections_.end(&connection, script.reset >= 0);
  }
  connection.write(out);
}

}  // namespace firvalve::fakes
