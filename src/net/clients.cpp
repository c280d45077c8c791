#include "net/clients.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

#include "proto/statement.h"

namespace firvalve::net {

using namespace Poco::Net;

namespace {
constexpr size_t kUnsentMost = 128 * 1024;  // bytes of answers waiting, past which a client is read no further
constexpr size_t kAllUnsentMost = 96 * 1024 * 1024;  // of all clients: half the memory that a gateway is given
}  // namespace

class Clients::Connection : public Link {
 public:
  Connection(Clients& owner, const StreamSocket& socket) : Link(owner.loop_, socket), owner_(owner) {}

  std::map<int64_t, CallRef> open_calls;
  bool peer_done = false;

  void finish() {
    const Ms now = loop_.now();
    for (const auto& [id, call] : open_calls) {
      owner_.open_.erase(call);
      owner_.core_->client_gone(now, call);
    }
    open_calls.clear();
    close();
    const auto at = owner_.connections_.find(this);
    if (at == owner_.connections_.end()) return;
    loop_.bury(std::move(at->second));
    owner_.connections_.erase(at);
  }

  void answered() {
    if (peer_done && open_calls.empty() && unsent() == 0) finish();
  }

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      // Guards the memory limit against a client that sends but does not read: its requests wait in the system.
      if (unsent() > kUnsentMost) return read_on(false);
      const proto::Read read = frames_.next(inbox_, body);
      if (read == proto::Read::kMore) return;
      if (read == proto::Read::kBroken) {
        owner_.counters_.add("client connections ended for broken framing");
        return finish();
      }
      hear(body);
      if (!open()) return;
    }
  }
  void on_written() override {
    if (!peer_done) read_on(true);
    if (!inbox_.text().empty()) on_bytes();
    if (open()) answered();
  }
  bool half_open() override {
    peer_done = true;
    if (open_calls.empty() && unsent() == 0) return false;
    return true;
  }
  void on_end(End) override { finish(); }

 private:
  void hear(std::span<char> body);
  Clients& owner_;
  proto::RpcFrames frames_;
};

void Clients::Connection::hear(std::span<char> body) {
  proto::RpcCall call = proto::read_call(body);
  std::string out;
  const auto refuse = [&](int code, std::string_view why) {
    owner_.counters_.add("calls not understood");
    proto::append_error(out, call.id, call.has_id, code, why);
  };
  switch (call.kind) {
    case proto::RpcCall::Kind::kHeartbeat:
      if (call.has_id) proto::append_healthy(out, call.id, true);
      break;
    case proto::RpcCall::Kind::kRevoke: {
      const auto at = open_calls.find(call.revoked);
      const CallRef ref = at != open_calls.end() ? at->second : owner_.core_->call_of(call.command);
      int64_t id = 0;
      if (ref != 0 && owner_.close_call(ref, id)) owner_.core_->client_gone(loop_.now(), ref);
      break;
    }
    case proto::RpcCall::Kind::kCommand: {
      if (open_calls.size() >= proto::kRpcOpenMost) {
        refuse(-32600, "too many open requests");
        break;
      }
      if (open_calls.count(call.id)) {
        refuse(-32600, "id is in use");
        break;
      }
      Asked asked;
      asked.command = call.command;
      asked.profile = call.profile;
      asked.tables = proto::table_group(call.statement);
      asked.statement = std::move(call.statement);
      asked.timeout = call.timeout;
      asked.estimate = call.estimate;
      asked.memory_mb = call.memory_mb;
      const CallRef ref = ++owner_.last_call_;
      switch (owner_.core_->take_in(loop_.now(), ref, std::move(asked))) {
        case TakeIn::kTaken:
          open_calls[call.id] = ref;
          owner_.open_[ref] = {this, call.id};
          break;
        case TakeIn::kUnknownProfile:
          refuse(-32601, "no such method");
          break;
        case TakeIn::kNotNew:
          refuse(-32602, "req is in hand already");
          break;
      }
      break;
    }
    default:
      refuse(call.code, call.why);
  }
  if (!out.empty()) write(out);
}

Clients::Clients(Loop& loop, Counters& counters) : loop_(loop), counters_(counters) {}

Clients::~Clients() {
  if (listening_)
    loop_.removeEventHandler(listener_, Poco::NObserver<Clients, ReadableNotification>(*this, &Clients::on_accept));
}

void Clients::listen(const std::string& address, Core& core) {
  core_ = &core;
  listener_.bind(SocketAddress(address), true);
  listener_.listen(1024);
  listener_.setBlocking(false);
  loop_.count(1);
  loop_.addEventHandler(listener_, Poco::NObserver<Clients, ReadableNotification>(*this, &Clients::on_accept));
  listening_ = true;
}

size_t Clients::unsent() const {
  size_t all = 0;
  for (const auto& [key, connection] : connections_) all += connection->unsent();
  return all;
}

void Clients::on_accept(const Poco::AutoPtr<ReadableNotification>&) {
  try {
    auto connection = std::make_unique<Connection>(*this, listener_.acceptConnection());
    Connection* const key = connection.get();
    connections_[key] = std::move(connection);
    counters_.add("client connections");
  } catch (const Poco::Exception&) {
    // It went before it was accepted. Where no descriptor is left, it waits in the system for the next turn.
  }
}

Clients::Connection* Clients::close_call(CallRef call, int64_t& id) {
  const auto at = open_.find(call);
  if (at == open_.end()) return nullptr;
  Connection* const connection = at->second.connection;
  id = at->second.id;
  connection->open_calls.erase(id);
  open_.erase(at);
  return connection;
}

void Clients::reply(CallRef call, const std::function<void(std::string&, int64_t)>& append) {
  int64_t id = 0;
  Connection* const connection = close_call(call, id);
  if (!connection) return;
  // Guards the memory limit against many clients that do not read: the one answered now is given up.
  if (connection->unsent() > kUnsentMost && unsent() > kAllUnsentMost) {
    counters_.add("client connections ended for unread answers");
    return connection->finish();
  }
  std::string out;
  append(out, id);
  connection->write(out);
}

void Clients::answer(CallRef call, std::string_view rows) {
  reply(call, [&](std::string& out, int64_t id) { proto::append_result(out, id, rows); });
}

void Clients::shed(CallRef call, Ms advice) {
  reply(call, [&](std::string& out, int64_t id) { proto::append_shed(out, id, advice); });
}

void Clients::fail(CallRef call) {
  reply(call, [](std::string& out, int64_t id) {
    proto::append_error(out, id, true, proto::kRpcFailed, "failed");
  });
}

}  // namespace firvalve::net
