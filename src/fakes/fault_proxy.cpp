// Reads frames from both sides of each proxied connection and applies the faults of their direction.
#include "fakes/fault_proxy.h"

#include <deque>
#include <random>

#include "cluster/peer_codec.h"
#include "cluster/peer_limits.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::fakes {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

// The two halves of a proxied connection: `near` to the gateway that dialled, `far` to the gateway it
// dialled.
class FaultProxy::ConnectionPair {
 public:
  class Socket : public net::Connection {
   public:
    Socket(FaultProxy& proxy, uint64_t pair_id, bool is_forward, const StreamSocket& socket)
        : Connection(proxy.host_.loop(), socket), proxy_(proxy), pair_id_(pair_id), is_forward_(is_forward) {}
    Socket(FaultProxy& proxy, uint64_t pair_id, bool is_forward, const SocketAddress& address)
        : Connection(proxy.host_.loop(), address),
          proxy_(proxy),
          pair_id_(pair_id),
          is_forward_(is_forward) {}

   protected:
    void on_bytes() override {
      std::span<char> body;
      for (;;) {
        const proto::ReadResult read = frames_.next(read_buffer_, body);
        if (read == proto::ReadResult::kIncomplete) return;
        if (read == proto::ReadResult::kMalformed) return proxy_.end_pair(pair_id_);
        std::string frame = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        frame.append(body.data(), body.size());
        proxy_.forward(pair_id_, is_forward_, std::move(frame));
        if (!is_open()) return;
      }
    }
    void on_end(End) override { proxy_.end_pair(pair_id_); }

   private:
    FaultProxy& proxy_;
    const uint64_t pair_id_;
    const bool is_forward_;
    proto::RpcFrames frames_{cluster::kMaxFrameBytes};
  };

  std::unique_ptr<Socket> near, far;
  size_t to = 0, from = SIZE_MAX;
  Ms last_due_forward = 0, last_due_backward = 0;  // delivery time of the last delayed frame
  std::deque<std::string> held_forward, held_backward;
};

FaultProxy::FaultProxy(FakeHost& host, uint64_t seed)
    : host_(host), rng_(seed), alive_(std::make_shared<bool>(true)) {}

FaultProxy::~FaultProxy() {
  host_.run_and_wait([this] {
    *alive_ = false;
    routes_.clear();
    while (!pairs_.empty()) end_pair(pairs_.begin()->first);
  });
}

double FaultProxy::draw_fraction() { return std::uniform_real_distribution<double>(0, 1)(rng_); }

std::string FaultProxy::add_gateway(const std::string& real, const std::string& address) {
  host_.run_and_wait([&] {
    const size_t number = routes_.size();
    auto route = std::make_unique<Route>();
    route->real = real;
    route->listener = std::make_unique<Listener>(host_, [this, number](const StreamSocket& socket) {
      const uint64_t id = ++last_pair_id_;
      auto pair = std::make_unique<ConnectionPair>();
      pair->to = number;
      pair->near = std::make_unique<ConnectionPair::Socket>(*this, id, true, socket);
      pair->far =
          std::make_unique<ConnectionPair::Socket>(*this, id, false, SocketAddress(routes_[number]->real));
      const bool refused = pair->far->was_refused();
      pairs_[id] = std::move(pair);
      if (refused) end_pair(id);
    });
    route->listener->listen(address);
    route->address = address;
    route_numbers_[address] = number;
    routes_.push_back(std::move(route));
  });
  return address;
}

void FaultProxy::end_pair(uint64_t id) {
  const auto at = pairs_.find(id);
  if (at == pairs_.end()) return;
  at->second->near->abort();
  at->second->far->abort();
  host_.loop().destroy_after_turn(std::move(at->second->near));
  host_.loop().destroy_after_turn(std::move(at->second->far));
  pairs_.erase(at);
}

void FaultProxy::deliver(uint64_t id, bool is_forward, const std::string& frame) {
  const auto at = pairs_.find(id);
  if (at == pairs_.end()) return;
  ConnectionPair& pair = *at->second;
  const auto direction = is_forward ? std::pair(pair.from, pair.to) : std::pair(pair.to, pair.from);
  if (options_[direction].silent) return;
  ++frames_passed_;
  bytes_[direction] += frame.size();
  if (on_frame) on_frame(direction.first, direction.second, frame);
  (is_forward ? *pair.far : *pair.near).write(frame);
}

// Finds the dialling gateway by the sender name in its first frame.
void FaultProxy::identify_dialer(ConnectionPair& pair, const std::string& frame) {
  const char* why = "";
  const size_t head = frame.find("\r\n\r\n") + 4;
  const auto read = cluster::read_frame({frame.data() + head, frame.size() - head}, why);
  const auto name = read ? route_numbers_.find(read->sender) : route_numbers_.end();
  if (name != route_numbers_.end()) pair.from = name->second;
}

void FaultProxy::forward(uint64_t id, bool is_forward, std::string frame) {
  const auto at = pairs_.find(id);
  if (at == pairs_.end()) return;
  ConnectionPair& pair = *at->second;
  if (pair.from == SIZE_MAX && is_forward) identify_dialer(pair, frame);
  Options& options = options_[is_forward ? std::pair(pair.from, pair.to) : std::pair(pair.to, pair.from)];
  if (options.cut) return end_pair(id);
  if (options.torn) {
    options.torn = false;
    (is_forward ? *pair.far : *pair.near).write(frame.substr(0, frame.size() / 2));
    host_.after(1, [this, id, alive = alive_] {
      if (*alive) end_pair(id);
    });
    return;
  }
  if (options.silent || draw_fraction() < options.lost) return;
  if (options.held) {
    (is_forward ? pair.held_forward : pair.held_backward).push_back(std::move(frame));
    return;
  }
  const int copies = draw_fraction() < options.repeated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (options.max_delay > 0)
      deliver_later(id, pair, is_forward, frame, options);
    else
      deliver(id, is_forward, frame);
  }
}

void FaultProxy::deliver_later(uint64_t id, ConnectionPair& pair, bool is_forward, const std::string& frame,
                               const Options& options) {
  const Ms now = host_.loop().now_ms();
  Ms due = now + options.min_delay + draw_fraction() * (options.max_delay - options.min_delay);
  Ms& last = is_forward ? pair.last_due_forward : pair.last_due_backward;
  if (!options.reordered) due = last = std::max(due, last);
  host_.after(due - now, [this, id, is_forward, frame, alive = alive_] {
    if (*alive) deliver(id, is_forward, frame);
  });
}

// Forwards the frames that were held in this direction, or resets its connections if they are cut now.
void FaultProxy::release_held(size_t from, size_t to) {
  std::vector<uint64_t> ids;
  for (const auto& [id, pair] : pairs_) ids.push_back(id);
  for (const uint64_t id : ids) {
    const auto at = pairs_.find(id);
    if (at == pairs_.end()) continue;
    ConnectionPair& pair = *at->second;
    const bool is_forward = pair.from == from && pair.to == to;
    const bool is_backward = pair.to == from && pair.from == to;
    if (!is_forward && !is_backward) continue;
    if (options_[{from, to}].cut) {
      end_pair(id);
      continue;
    }
    for (const std::string& frame : std::exchange(is_forward ? pair.held_forward : pair.held_backward, {}))
      forward(id, is_forward, frame);
  }
}

void FaultProxy::set(size_t from, size_t to, const Options& options) {
  host_.run_and_wait([&] {
    options_[{from, to}] = options;
    if (!options.held) release_held(from, to);
  });
}

void FaultProxy::set_both(size_t a, size_t b, const Options& options) {
  set(a, b, options);
  set(b, a, options);
}

void FaultProxy::set_apart(size_t one, const Options& options) {
  for (size_t other = 0; other < routes_.size(); ++other)
    if (other != one) set_both(one, other, options);
}

void FaultProxy::set_all(const Options& options) {
  for (size_t one = 0; one < routes_.size(); ++one)
    for (size_t other = 0; other < routes_.size(); ++other)
      if (other != one) set(one, other, options);
}

uint64_t FaultProxy::passed() const {
  uint64_t all = 0;
  host_.run_and_wait([&] { all = frames_passed_; });
  return all;
}

uint64_t FaultProxy::bytes(size_t from, size_t to) const {
  uint64_t all = 0;
  host_.run_and_wait([&] {
    if (const auto at = bytes_.find({from, to}); at != bytes_.end()) all = at->second;
  });
  return all;
}

}  // namespace firvalve::fakes
