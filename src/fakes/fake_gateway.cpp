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
      owner_.handle(*this, body);
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
  host_.do_now([&] {
    listener_ = std::make_unique<Listener>(host_, [this](const Poco::Net::StreamSocket& socket) {
      connections_.add(std::make_unique<Session>(*this, socket));
      const std::lock_guard lock(mutex_);
      accepted_.push_back(host_.loop().now_ms());
    });
    listener_->listen(address);
    address_ = listener_->address();
  });
}

FakeGateway::~FakeGateway() {
  host_.do_now([&] {
    *alive_ = false;
    listener_.reset();
    connections_.end_all(false);
  });
}

void FakeGateway::kill(bool with_reset) {
  host_.do_now([&] {
    listener_->close();
    connections_.end_all(with_reset);
  });
}
void FakeGateway::come_back() {
  host_.do_now([&] { listener_->listen(address_); });
}
void FakeGateway::set_healthy(bool healthy) {
  host_.do_now([&] { healthy_ = healthy; });
}
void FakeGateway::set_marks(bool marks) {
  host_.do_now([&] { marks_ = marks; });
}
void FakeGateway::set_mute(bool mute) {
  host_.do_now([&] { mute_ = mute; });
}

std::vector<FakeGateway::Heard> FakeGateway::heard() const {
  const std::lock_guard lock(mutex_);
  return heard_;
}
int FakeGateway::heard(const std::string& statement) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::count_if(heard_.begin(), heard_.end(), [&](const Heard& h) { return h.statement == statement; }));
}
int FakeGateway::revoked() const {
  const std::lock_guard lock(mutex_);
  return revoked_;
}
std::vector<Ms> FakeGateway::accepted_at() const {
  const std::lock_guard lock(mutex_);
  return accepted_;
}

void FakeGateway::handle(Session& connection, std::span<char> body) {
  const proto::RpcCall call = proto::read_call(body);
  using Kind = proto::RpcCall::Kind;
  if (call.kind == Kind::kRevoke) {
    const std::lock_guard lock(mutex_);
    ++revoked_;
    return;
  }
  if (call.kind == Kind::kHeartbeat) {
    if (mute_) return;
    std::string out;
    proto::append_heartbeat_reply(out, call.id, healthy_, marks_);
    return connection.write(out);
  }
  if (call.kind != Kind::kCommand) {
    std::string out;
    proto::append_error(out, call.id, call.has_id, call.error_code, call.error_message);
    return connection.write(out);
  }
  {
    const std::lock_guard lock(mutex_);
    heard_.push_back({std::string(call.profile), call.statement, std::string(call.command),
                      std::string(call.first_command), to_ms(call.timeout), host_.loop().now_ms()});
  }
  if (mute_) return;
  const FaultScript script = script_of(call.statement);
  if (script.late <= 0) return answer(connection, call.id, script, call.statement);
  host_.after(script.late,
              [this, alive = alive_, key = &connection, id = call.id, script, statement = call.statement] {
                if (*alive && connections_.has(key)) answer(*key, id, script, statement);
              });
}

void FakeGateway::answer(Session& connection, int64_t id, const FaultScript& s,
                         const std::string& statement) {
  if (s.answer == "none") return;
  const bool breaks = (s.reset >= 0 || s.cut >= 0) && broken_[statement]++ < s.times;
  std::string out;
  if (s.spoil == "other") id += 1000000;
  if (s.answer == "shed" && broken_[statement]++ < s.times) {
    const std::string data = s.holdoff.empty() ? "" : fmt::format(R"(,"data":{{"holdoff":{}}})", s.holdoff);
    const std::string text =
        fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":-32001,"message":"shed"{}}}}})", id, data);
    out = fmt::format("Content-Length: {}\r\n\r\n{}", text.size(), text);
  } else if (s.answer == "fail") {
    proto::append_error(out, id, true, proto::kRpcFailed, "failed");
  } else {
    std::string rows;
    for (int page = 0; page < s.pages; ++page) rows += rows_of(s, page);
    proto::append_result(out, id, rows);
  }
  if (s.spoil == "huge") out = "Content-Length: 60000000\r\n\r\n" + std::string(200000, ' ');
  if (s.spoil == "junk") out = "Content-Length: 4\r\n\r\njunk";
  if (s.spoil == "twice") out += std::string(out);
  if (breaks) {
    connection.write(std::string_view(out).substr(0, static_cast<size_t>(std::max(s.reset, s.cut))));
    return connections_.end(&connection, s.reset >= 0);
  }
  connection.write(out);
}

}  // namespace firvalve::fakes
