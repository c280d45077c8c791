#include "net/client_server.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <sys/socket.h>

#include <cerrno>

#include "proto/statement.h"

namespace firvalve::net {

using namespace Poco::Net;

namespace {
constexpr size_t kUnsentMost =
    128 * 1024;                    // bytes of answers waiting, past which a client is read no further
constexpr Ms kLook = 250;          // between looks at the clients' times
constexpr int kAcceptAtOnce = 64;  // connections a turn, so that those open are heard in between
// A lingering close, for the client's own end. A client cut off for its message hears within 3 s all told.
constexpr Ms kLingerMost = 500;
constexpr Ms kLingerAtEnd = 150;  // the same of all clients, when the gateway itself ends
}  // namespace

class ClientServer::ClientConnection : public Connection {
 public:
  ClientConnection(ClientServer& owner, const StreamSocket& socket)
      : Connection(owner.loop_, socket, Kind::kClient), owner_(owner), since_(loop_.now()) {
    if (owner.shelf_) peer_ = socket.peerAddress().host().toString();
  }

  std::map<int64_t, CallId> open_calls;
  bool peer_done = false;

  // One that has said something which was not read yet is not idle: a close now would reset it.
  bool spare() const override { return lingers() || (open_calls.empty() && quiet()); }
  void spared() override {
    owner_.counters_.add("client connections ended for want of room");
    finish(ConnectionEnd::kEvicted);
  }

  void give_up_calls() {
    const Ms now = loop_.now();
    for (const auto& [id, call] : open_calls) {
      owner_.open_.erase(call);
      owner_.gone(now, call);
    }
    open_calls.clear();
  }

  void finish(ConnectionEnd why) {
    const size_t calls = open_calls.size();
    give_up_calls();
    close();
    const auto at = owner_.connections_.find(this);
    if (at == owner_.connections_.end()) return;
    owner_.counters_.add("client connections closed:", name_of(why));
    if (owner_.observer_) owner_.observer_(loop_.now(), {why, {}, calls});
    loop_.bury(std::move(at->second));
    owner_.connections_.erase(at);
  }

  // Its own end, in good order; what it says from now on is not taken.
  void leave() {
    give_up_calls();
    since_ = loop_.now();
    linger();
  }

  // It can't be understood any further: an error without a number, the end of each call that is open, and its
  // own.
  void break_off(const char* why) {
    owner_.counters_.add("client connections ended", why);
    std::string out;
    proto::append_error(out, 0, false, proto::kRpcUnreadable, why);
    for (const auto& [id, call] : open_calls) proto::append_error(out, id, true, proto::kRpcFailed, "failed");
    write(out);
    leave();
  }

  void answered() {
    since_ = loop_.now();
    if (peer_done && open_calls.empty() && unsent() == 0) finish(ConnectionEnd::kClosedByPeer);
  }

  // Guards against clients that connect and say nothing, stop within a message, ask once and stay, or do not
  // read what they asked for. It may end a slow client's message; none that we know takes a part of that
  // time.
  void look(Ms now) {
    if (lingers()) {
      if (now - since_ > kLingerMost) finish(ConnectionEnd::kInGoodOrder);
      return;
    }
    if (part_since_ > 0 && now - part_since_ > proto::kRpcPartMost) return break_off("message cut short");
    if (!spoken_ && now - since_ > proto::kRpcPartMost) return break_off("no message");
    // What it has said by now is heard first.
    if (open_calls.empty() && now - since_ > proto::kRpcIdleMost && quiet()) leave();
  }

 protected:
  void on_bytes() override {
    std::span<char> body;
    for (;;) {
      // Guards the memory limit against a client that sends but does not read: its requests wait in the
      // system.
      if (unsent() > kUnsentMost) return read_on(false);
      const proto::Read read = frames_.next(inbox_, body);
      if (read == proto::Read::kMore) {
        const bool partly = frames_.in_message() || !inbox_.text().empty();
        if (!partly || part_since_ == 0) part_since_ = partly ? loop_.now() : 0;
        return;
      }
      part_since_ = 0;
      if (read == proto::Read::kBroken) return break_off("broken framing");
      spoken_ = true;
      since_ = loop_.now();
      handle(body);
      if (!open() || lingers()) return;
    }
  }
  void on_written() override {
    if (!peer_done) read_on(true);
    if (!inbox_.text().empty()) on_bytes();
    if (open() && !lingers()) answered();
  }
  // A client that has closed looks like one that has only finished writing. What is owed to both: each
  // command taken in gets its answer, in case it still reads; none is sent on for it any more but at once.
  bool half_open() override {
    peer_done = true;
    const Ms now = loop_.now();
    for (const auto& [id, call] : open_calls) owner_.core_->client_half_closed(time_point_of(now), call);
    return !open_calls.empty() || unsent() > 0;
  }
  void on_end(End end) override { finish(lingers() ? ConnectionEnd::kInGoodOrder : end_of(end)); }

 private:
  void handle(std::span<char> body);
  // Each adds to `out` what is answered at once.
  void refuse(const proto::RpcCall& call, std::string& out, int code, std::string_view why);
  bool may_open(const proto::RpcCall& call, std::string& out);
  void revoke(const proto::RpcCall& call);
  bool names_fleet_call(const proto::RpcCall& call, std::string& out);
  void ask_bulletin(const proto::RpcCall& call, std::string& out);
  void take_command(proto::RpcCall& call, std::string& out);
  void release_result(const proto::RpcCall& call, std::string& out);
  void read_page(const proto::RpcCall& call, std::string& out);
  void opened(CallId ref, int64_t id, std::string_view key = {}) {
    open_calls[id] = ref;
    owner_.open_[ref] = {this, id, std::string(key)};
  }

  ClientServer& owner_;
  proto::RpcFrames frames_;
  std::string peer_;     // the client's address, where results count against somebody's share
  bool spoken_ = false;  // a whole message has come
  Ms since_ = 0;         // the last whole message or answer
  Ms part_since_ = 0;    // a part of one has come; 0: none
};

void ClientServer::ClientConnection::handle(std::span<char> body) {
  proto::RpcCall call = proto::read_call(body);
  std::string out;
  switch (call.kind) {
    case proto::RpcCall::Kind::kHeartbeat:
      if (call.has_id) proto::append_healthy(out, call.id, true, owner_.marks_);
      break;
    case proto::RpcCall::Kind::kRevoke:
      revoke(call);
      break;
    case proto::RpcCall::Kind::kBulletin:
      ask_bulletin(call, out);
      break;
    case proto::RpcCall::Kind::kMerge:
      if (names_fleet_call(call, out)) take_command(call, out);
      break;
    case proto::RpcCall::Kind::kCommand:
      take_command(call, out);
      break;
    case proto::RpcCall::Kind::kPage:
      read_page(call, out);
      break;
    case proto::RpcCall::Kind::kRelease:
      release_result(call, out);
      break;
    default:
      refuse(call, out, call.code, call.why);
  }
  if (!out.empty()) write(out);
}

void ClientServer::ClientConnection::refuse(const proto::RpcCall& call, std::string& out, int code,
                                            std::string_view why) {
  owner_.counters_.add("calls not understood");
  proto::append_error(out, call.id, call.has_id, code, why);
}

// Two calls under one number end the connection: no answer would tell which one it is for.
bool ClientServer::ClientConnection::may_open(const proto::RpcCall& call, std::string& out) {
  if (open_calls.size() >= proto::kRpcOpenMost) {
    refuse(call, out, proto::kRpcBadRequest, "too many open requests");
    return false;
  }
  if (open_calls.count(call.id)) {
    break_off("number in use");
    return false;
  }
  return true;
}

// Only what came over this connection: nobody takes back another's command.
void ClientServer::ClientConnection::revoke(const proto::RpcCall& call) {
  const auto at = open_calls.find(call.revoked);
  const std::optional<CallId> ref =
      at != open_calls.end() ? at->second : owner_.core_->find_call(call.command);
  if (!ref) return;
  const auto open = owner_.open_.find(*ref);
  if (open == owner_.open_.end() || open->second.connection != this) return;
  int64_t id = 0;
  owner_.close_call(*ref, id);
  owner_.gone(loop_.now(), *ref);
}

bool ClientServer::ClientConnection::names_fleet_call(const proto::RpcCall& call, std::string& out) {
  if (!owner_.fleet_) {
    refuse(call, out, proto::kRpcNoMethod, "no such method");
    return false;
  }
  if (call.name.empty() || call.name.size() > kMaxClusterNameBytes) {
    refuse(call, out, proto::kRpcBadParams, "name is not 1 to 128 bytes");
    return false;
  }
  return true;
}

void ClientServer::ClientConnection::ask_bulletin(const proto::RpcCall& call, std::string& out) {
  if (!names_fleet_call(call, out) || !may_open(call, out)) return;
  const CallId ref = owner_.last_call_ = next_after(owner_.last_call_);
  opened(ref, call.id);
  owner_.fleet_->handle_topic_request(
      time_point_of(loop_.now()), call.profile, call.name, call.statement, duration_of(call.timeout),
      [&owner = owner_, ref](const ClusterRequests::Reply& told) { owner.reply(ref, told); });
}

void ClientServer::ClientConnection::take_command(proto::RpcCall& call, std::string& out) {
  if (!may_open(call, out)) return;
  CommandRequest asked;
  asked.command = call.command;
  asked.profile = call.profile;
  asked.table_group = proto::table_group(call.statement);
  asked.statement = std::move(call.statement);
  if (owner_.marks_ && !call.first.empty()) {
    if (!proto::is_command_id(call.first))
      return refuse(call, out, proto::kRpcBadParams, "first is not 16 hex digits");
    asked.retry_of = call.first;
  }
  if (owner_.shelf_ && call.paged) {
    asked.paged = true;
    asked.result_key = call.key;
    asked.owner = call.key.empty() ? std::string_view(peer_) : call.key;
  }
  asked.timeout = duration_of(call.timeout);
  if (call.estimate != 0) asked.estimated_work = duration_of(call.estimate);
  asked.memory_mb = call.memory_mb;
  const CallId ref = owner_.last_call_ = next_after(owner_.last_call_);
  if (call.kind == proto::RpcCall::Kind::kMerge) {
    opened(ref, call.id);
    owner_.fleet_->run_once_job(time_point_of(loop_.now()), ref, call.name, std::move(asked));
    return;
  }
  switch (owner_.core_->admit(time_point_of(loop_.now()), ref, std::move(asked))) {
    case AdmissionResult::kAdmitted:
      return opened(ref, call.id, call.key);
    case AdmissionResult::kResultFound:
      opened(ref, call.id, call.key);
      return owner_.answer_paged(ref, owner_.core_->found_result().value());
    case AdmissionResult::kUnknownProfile:
      return refuse(call, out, proto::kRpcNoMethod, "no such method");
    case AdmissionResult::kOutOfRange:
      return refuse(call, out, proto::kRpcBadParams, "a figure is out of range");
    case AdmissionResult::kNoCapacity:
      owner_.counters_.add("calls not taken for want of memory");
      return proto::append_error(out, call.id, true, proto::kRpcFailed, "failed");
    case AdmissionResult::kDuplicateId:
      return refuse(call, out, proto::kRpcBadParams, "req is in hand already");
  }
}

void ClientServer::ClientConnection::release_result(const proto::RpcCall& call, std::string& out) {
  if (!owner_.shelf_) return refuse(call, out, proto::kRpcNoMethod, "no such method");
  if (owner_.shelf_->release(time_point_of(loop_.now()), call.token, call.key))
    proto::append_released(out, call.id);
  else
    proto::append_error(out, call.id, true, proto::kRpcGone, "gone");
}

void ClientServer::ClientConnection::read_page(const proto::RpcCall& call, std::string& out) {
  if (!owner_.shelf_) return refuse(call, out, proto::kRpcNoMethod, "no such method");
  if (!may_open(call, out)) return;
  const CallId ref = owner_.last_call_ = next_after(owner_.last_call_);
  opened(ref, call.id);
  owner_.counters_.add("pages asked for");
  const auto reply = [&owner = owner_, ref, page = call.page](TimePoint, ResultStore::ReadStatus what,
                                                              std::string_view rows, uint64_t pages) {
    owner.reply(ref, [&](std::string& text, int64_t id) {
      if (what == ResultStore::ReadStatus::kRows)
        proto::append_page(text, id, page, pages, rows);
      else if (what == ResultStore::ReadStatus::kGone)
        proto::append_error(text, id, true, proto::kRpcGone, "gone");
      else
        proto::append_error(text, id, true, proto::kRpcNoSuchPage, "no such page");
    });
  };
  owner_.shelf_->read_page(time_point_of(loop_.now()), call.token, call.key, call.page, reply);
}

ClientServer::ClientServer(Loop& loop, Metrics& counters) : loop_(loop), counters_(counters) {}

ClientServer::~ClientServer() { accept_on(false); }

void ClientServer::accept_on(bool on) {
  const Poco::NObserver<ClientServer, ReadableNotification> observer(*this, &ClientServer::on_accept);
  if (on != accepting_)
    on ? loop_.addEventHandler(listener_, observer) : loop_.removeEventHandler(listener_, observer);
  accepting_ = on;
}

void ClientServer::listen(const std::string& address, Core& core) {
  core_ = &core;
  listener_.bind(SocketAddress(address), true);
  listener_.listen(1024);
  listener_.setBlocking(false);
  accept_on(true);
}

void ClientServer::due(Ms now) {
  if (now < look_at_) return;
  look_at_ = now + kLook;
  std::vector<ClientConnection*> all;
  for (const auto& [key, connection] : connections_) all.push_back(key);
  for (ClientConnection* const connection : all)
    if (connection->open()) connection->look(now);
  if (!left_) accept_on(true);
}

// Whatever is in the system's hands by now is still taken and answered: connections not accepted yet, bytes
// not read yet. The others are ended in good order. Only then is there nothing that the exit could lose.
bool ClientServer::leave(Ms now) {
  if (!left_) {
    accept_on(false);
    for (size_t before = SIZE_MAX; before != connections_.size(); accept()) before = connections_.size();
    accept_on(false);
    listener_.close();
    left_ = true;
  }
  bool all = true;
  for (const auto& [key, connection] : connections_) {
    if (!connection->lingers() && connection->open_calls.empty() && connection->quiet()) connection->leave();
    all &= connection->lingers();
  }
  if (all && leaving_since_ == 0) leaving_since_ = now;
  return all && (connections_.empty() || now - leaving_since_ > kLingerAtEnd);
}

size_t ClientServer::unsent() const {
  size_t all = 0;
  for (const auto& [key, connection] : connections_) all += connection->unsent();
  return all;
}

void ClientServer::accept() {
  for (int i = 0; i < kAcceptAtOnce; ++i) {
    // Guards against a loop that spins on connections it has no descriptor for: they wait in the system
    // meanwhile.
    if (!loop_.room(true)) return accept_on(false);
    const int descriptor =
        ::accept4(listener_.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) accept_on(false);
      return;
    }
    auto connection =
        std::make_unique<ClientConnection>(*this, StreamSocket(new StreamSocketImpl(descriptor)));
    ClientConnection* const key = connection.get();
    connections_[key] = std::move(connection);
    counters_.add("client connections");
  }
}

void ClientServer::gone(Ms now, CallId call) {
  core_->client_gone(time_point_of(now), call);
  if (fleet_) fleet_->client_gone(time_point_of(now), call);
}

ClientServer::ClientConnection* ClientServer::close_call(CallId call, int64_t& id) {
  const auto at = open_.find(call);
  if (at == open_.end()) return nullptr;
  ClientConnection* const connection = at->second.connection;
  id = at->second.id;
  connection->open_calls.erase(id);
  open_.erase(at);
  return connection;
}

void ClientServer::reply(CallId call, const std::function<void(std::string&, int64_t)>& append) {
  int64_t id = 0;
  ClientConnection* const connection = close_call(call, id);
  if (!connection) return;
  std::string out;
  append(out, id);
  connection->write(out);
  if (connection->open()) connection->answered();
}

void ClientServer::reply(CallId call, const ClusterRequests::Reply& told) {
  reply(call, [&](std::string& out, int64_t id) {
    using Kind = ClusterRequests::Reply::Kind;
    switch (told.kind) {
      case Kind::kDone:
        return proto::append_json_result(out, id, told.text);
      case Kind::kRejected:
        return proto::append_refused_change(out, id, told.text);
      case Kind::kInvalidParams:
        return proto::append_error(out, id, true, proto::kRpcBadParams, told.text);
      case Kind::kNoQuorum:
        return proto::append_error(out, id, true, proto::kRpcNoMajority,
                                   "no majority of keepers: nothing was changed");
      case Kind::kOutcomeUnknown:
        return proto::append_error(out, id, true, proto::kRpcMayBeMade, "it may have been made: ask again");
    }
  });
}

void ClientServer::answer(CallId call, std::string_view rows) {
  reply(call, [&](std::string& out, int64_t id) { proto::append_result(out, id, rows); });
}

void ClientServer::shed(CallId call, std::optional<Duration> retry_after) {
  const Ms advice = to_ms(retry_after.value_or(Duration{}));
  reply(call, [&](std::string& out, int64_t id) { proto::append_shed(out, id, advice); });
}

void ClientServer::fail(CallId call, std::string_view why) {
  reply(call,
        [&](std::string& out, int64_t id) { proto::append_error(out, id, true, proto::kRpcFailed, why); });
}

void ClientServer::answer_paged(CallId call, ResultHandle result) {
  const auto at = open_.find(call);
  if (at == open_.end()) return;
  const PagedAnswer paged = shelf_->answer_of(result);
  const std::string key = at->second.key;
  // Its first page may have to come from the disk.
  shelf_->read_page(
      time_point_of(loop_.now()), paged.token, key, 1,
      [this, call, paged](TimePoint, ResultStore::ReadStatus what, std::string_view rows, uint64_t) {
        reply(call, [&](std::string& out, int64_t id) {
          what == ResultStore::ReadStatus::kGone
              ? proto::append_error(out, id, true, proto::kRpcFailed, "the result was lost")
              : proto::append_paged(out, id, paged.token, paged.pages, paged.rows, rows);
        });
      });
}

}  // namespace firvalve::net
