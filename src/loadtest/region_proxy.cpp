#include "loadtest/region_proxy.h"

#include <Poco/Net/SocketAddress.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string_view>
#include <system_error>

#include "cluster/peer_codec.h"
#include "cluster/peer_limits.h"
#include "loadtest/parts.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::loadtest {
namespace {

using Poco::Net::SocketAddress;

constexpr size_t kReadBytes = size_t{64} * 1024;
constexpr int kEventsAtOnce = 256;
constexpr int kLookMs = 20;  // interval between checks of the flags that other threads set
constexpr int kBacklog = 4096;

int open_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void close_descriptor(int& descriptor) {
  if (descriptor >= 0) ::close(descriptor);
  descriptor = -1;
}

}  // namespace

// One end of a forwarded connection.
struct RegionProxy::Side {
  Connection* connection = nullptr;
  Side* other = nullptr;
  int descriptor = -1;
  bool is_gateway = false;
  uint32_t watched = 0;
  std::string unsent;             // bytes to send to this side
  proto::ReadBuffer read_buffer;  // incomplete frame received from this side
  proto::RpcFrames frames{cluster::kMaxFrameBytes};
};

// A gateway's connection and its connection to the replica.
class RegionProxy::Connection {
 public:
  Connection(int gateway, int keeper) {
    gateway_side.descriptor = gateway;
    keeper_side.descriptor = keeper;
    gateway_side.is_gateway = true;
    gateway_side.connection = keeper_side.connection = this;
    gateway_side.other = &keeper_side;
    keeper_side.other = &gateway_side;
  }
  ~Connection() {
    ::close(gateway_side.descriptor);
    ::close(keeper_side.descriptor);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  Side gateway_side, keeper_side;
  std::optional<size_t> member;  // the gateway, known from the connection's first frame
  bool lost_bytes = false;       // dropped bytes while its region was cut off
};

RegionProxy::RegionProxy(RegionProxyOptions options) : options_(std::move(options)), cut_(options_.regions) {
  epoll_ = ::epoll_create1(EPOLL_CLOEXEC);
  listen();
  if (listener_ < 0) {
    const std::string why = std::generic_category().message(errno);
    close_descriptor(epoll_);
    throw ScaleError("no proxy at " + options_.address + ": " + why);
  }
  thread_ = std::thread([this] { run(); });
}

RegionProxy::~RegionProxy() {
  stopping_ = true;
  thread_.join();
  connections_.clear();
  close_descriptor(listener_);
  close_descriptor(epoll_);
}

// Leaves listener_ below 0 and sets errno on failure.
void RegionProxy::listen() {
  const SocketAddress own(options_.address);
  listener_ = open_socket();
  const int on = 1;
  ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  epoll_event event{};
  event.events = EPOLLIN;
  const bool listens = listener_ >= 0 && ::bind(listener_, own.addr(), own.length()) == 0 &&
                       ::listen(listener_, kBacklog) == 0 &&
                       ::epoll_ctl(epoll_, EPOLL_CTL_ADD, listener_, &event) == 0;
  const int why = errno;
  if (!listens) close_descriptor(listener_);
  errno = why;
}

void RegionProxy::run() {
  std::array<epoll_event, kEventsAtOnce> events{};
  while (!stopping_) {
    if (!listening_wanted_) close_descriptor(listener_);
    if (listening_wanted_ && listener_ < 0) listen();
    const int count = ::epoll_wait(epoll_, events.data(), kEventsAtOnce, kLookMs);
    for (int i = 0; i < count; ++i) {
      const epoll_event& event = events[static_cast<size_t>(i)];
      if (event.data.ptr)
        serve(*static_cast<Side*>(event.data.ptr), event.events);
      else
        accept_all();
    }
    closed_.clear();
  }
}

void RegionProxy::accept_all() {
  for (;;) {
    const int gateway = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (gateway < 0) {
      if (errno == EMFILE || errno == ENFILE) out_of_descriptors_ = true;
      return;
    }
    const int keeper = open_socket();
    if (keeper < 0) {
      out_of_descriptors_ = true;
      ::close(gateway);
      return;
    }
    ++connects_;
    auto connection = std::make_unique<Connection>(gateway, keeper);
    const SocketAddress to(options_.keeper);
    if (::connect(keeper, to.addr(), to.length()) != 0 && errno != EINPROGRESS) continue;
    for (Side* const side : {&connection->gateway_side, &connection->keeper_side}) {
      epoll_event event{};
      event.events = side->watched = EPOLLIN;
      event.data.ptr = side;
      ::epoll_ctl(epoll_, EPOLL_CTL_ADD, side->descriptor, &event);
    }
    Connection* const key = connection.get();
    connections_[key] = std::move(connection);
  }
}

void RegionProxy::serve(Side& side, uint32_t events) {
  Connection& connection = *side.connection;
  if (!connections_.contains(&connection)) return;  // closed by an earlier event
  if ((events & EPOLLOUT) != 0) write(side);
  if (connections_.contains(&connection) && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) read(side);
}

void RegionProxy::read(Side& side) {
  Connection& connection = *side.connection;
  const std::span<char> space = side.read_buffer.prepare(kReadBytes);
  const ssize_t count = ::recv(side.descriptor, space.data(), space.size(), 0);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (count <= 0) return close(connection);
  const std::string bytes(space.data(), static_cast<size_t>(count));
  const auto is_cut = [&] { return connection.member && cut_[options_.region_of(*connection.member)]; };
  if (connection.lost_bytes && !is_cut()) return close(connection);  // the stream misses the dropped bytes
  if (connection.lost_bytes) return;
  side.read_buffer.commit(bytes.size());
  if (!connection.member || !is_cut()) look_at_frames(side);
  if (is_cut()) {
    connection.lost_bytes = true;
    return;
  }
  bytes_ += bytes.size();
  side.other->unsent.append(bytes);
  write(*side.other);
}

void RegionProxy::look_at_frames(Side& side) {
  Connection& connection = *side.connection;
  std::span<char> body;
  while (side.frames.next(side.read_buffer, body) == proto::ReadResult::kComplete) {
    const char* why = "";
    const std::optional<cluster::Frame> frame = cluster::read_frame(body, why);
    if (!frame) continue;
    if (side.is_gateway && !connection.member) connection.member = options_.member_of(frame->sender);
    if (connection.member && cut_[options_.region_of(*connection.member)]) return;
    messages_ += frame->messages.size();
    if (side.is_gateway || !connection.member || !options_.on_answer) continue;
    for (const consensus::Message& message : frame->messages) options_.on_answer(*connection.member, message);
  }
  side.read_buffer.release_if_empty();
}

// Sends the bytes queued for this side.
void RegionProxy::write(Side& side) {
  while (!side.unsent.empty()) {
    const ssize_t count = ::send(side.descriptor, side.unsent.data(), side.unsent.size(), MSG_NOSIGNAL);
    if (count < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN)) break;
    if (count < 0) return close(*side.connection);
    side.unsent.erase(0, static_cast<size_t>(count));
  }
  watch(side);
}

void RegionProxy::watch(Side& side) {
  const uint32_t wanted = side.unsent.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT;
  if (wanted == side.watched) return;
  epoll_event event{};
  event.events = side.watched = wanted;
  event.data.ptr = &side;
  ::epoll_ctl(epoll_, EPOLL_CTL_MOD, side.descriptor, &event);
}

void RegionProxy::close(Connection& connection) {
  const auto at = connections_.find(&connection);
  for (const Side* const side : {&connection.gateway_side, &connection.keeper_side})
    ::epoll_ctl(epoll_, EPOLL_CTL_DEL, side->descriptor, nullptr);
  closed_.push_back(std::move(at->second));
  connections_.erase(at);
}

}  // namespace firvalve::loadtest
