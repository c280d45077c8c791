#include "fakes/fault_proxy.h"

#include <deque>
#include <random>

#include "cluster/wire.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::fakes {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

// One connection: of a gateway that dialled, and on to the one that it wanted.
class FaultProxy::Passage {
 public:
  class Side : public net::Connection {
   public:
    Side(FaultProxy& between, uint64_t passage, bool forth, const StreamSocket& socket)
        : Connection(between.host_.loop(), socket), between_(between), passage_(passage), forth_(forth) {}
    Side(FaultProxy& between, uint64_t passage, bool forth, const SocketAddress& address)
        : Connection(between.host_.loop(), address), between_(between), passage_(passage), forth_(forth) {}

   protected:
    void on_bytes() override {
      std::span<char> body;
      for (;;) {
        const proto::Read read = frames_.next(inbox_, body);
        if (read == proto::Read::kMore) return;
        if (read == proto::Read::kBroken) return between_.end(passage_);
        std::string frame = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        frame.append(body.data(), body.size());
        between_.carry(passage_, forth_, std::move(frame));
        if (!is_open()) return;
      }
    }
    void on_end(End) override { between_.end(passage_); }

   private:
    FaultProxy& between_;
    const uint64_t passage_;
    const bool forth_;
    proto::RpcFrames frames_{cluster::kFrameMost};
  };

  std::unique_ptr<Side> near, far;
  size_t to = 0, from = SIZE_MAX;
  Ms last_forth = 0, last_back = 0;  // when the last frame was due
  std::deque<std::string> held_forth, held_back;
};

FaultProxy::FaultProxy(FakeHost& host, uint64_t seed)
    : host_(host), chance_(seed), alive_(std::make_shared<bool>(true)) {}

FaultProxy::~FaultProxy() {
  host_.do_now([this] {
    *alive_ = false;
    doors_.clear();
    while (!passages_.empty()) end(passages_.begin()->first);
  });
}

double FaultProxy::part() { return std::uniform_real_distribution<double>(0, 1)(chance_); }

std::string FaultProxy::stand_before(const std::string& real, const std::string& address) {
  host_.do_now([&] {
    const size_t number = doors_.size();
    auto door = std::make_unique<Door>();
    door->real = real;
    door->listener = std::make_unique<Listener>(host_, [this, number](StreamSocket socket) {
      const uint64_t id = ++last_;
      auto passage = std::make_unique<Passage>();
      passage->to = number;
      passage->near = std::make_unique<Passage::Side>(*this, id, true, socket);
      passage->far = std::make_unique<Passage::Side>(*this, id, false, SocketAddress(doors_[number]->real));
      const bool refused = passage->far->was_refused();
      passages_[id] = std::move(passage);
      if (refused) end(id);
    });
    door->listener->listen(address);
    door->address = address;
    names_[address] = number;
    doors_.push_back(std::move(door));
  });
  return address;
}

void FaultProxy::end(uint64_t id) {
  const auto at = passages_.find(id);
  if (at == passages_.end()) return;
  at->second->near->abort();
  at->second->far->abort();
  host_.loop().destroy_after_turn(std::move(at->second->near));
  host_.loop().destroy_after_turn(std::move(at->second->far));
  passages_.erase(at);
}

void FaultProxy::write(uint64_t id, bool forth, const std::string& frame) {
  const auto at = passages_.find(id);
  if (at == passages_.end()) return;
  Passage& p = *at->second;
  const auto pair = forth ? std::pair(p.from, p.to) : std::pair(p.to, p.from);
  if (options_[pair].silent) return;
  ++passed_;
  bytes_[pair] += frame.size();
  if (on_frame) on_frame(pair.first, pair.second, frame);
  (forth ? *p.far : *p.near).write(frame);
}

void FaultProxy::carry(uint64_t id, bool forth, std::string frame) {
  const auto at = passages_.find(id);
  if (at == passages_.end()) return;
  Passage& p = *at->second;
  if (p.from == SIZE_MAX && forth) {
    const char* why = "";
    const size_t head = frame.find("\r\n\r\n") + 4;
    const auto read = cluster::read_frame({frame.data() + head, frame.size() - head}, why);
    const auto name = read ? names_.find(read->from) : names_.end();
    if (name != names_.end()) p.from = name->second;
  }
  Options& options = options_[forth ? std::pair(p.from, p.to) : std::pair(p.to, p.from)];
  if (options.cut) return end(id);
  if (options.torn) {
    options.torn = false;
    (forth ? *p.far : *p.near).write(frame.substr(0, frame.size() / 2));
    host_.after(1, [this, id, alive = alive_] {
      if (*alive) end(id);
    });
    return;
  }
  if (options.silent || part() < options.lost) return;
  if (options.held) {
    (forth ? p.held_forth : p.held_back).push_back(std::move(frame));
    return;
  }
  const int copies = part() < options.repeated ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (options.delay_most <= 0) {
      write(id, forth, frame);
      continue;
    }
    const Ms now = host_.loop().now_ms();
    Ms due = now + options.delay_least + part() * (options.delay_most - options.delay_least);
    Ms& last = forth ? p.last_forth : p.last_back;
    if (!options.reordered) due = last = std::max(due, last);
    host_.after(due - now, [this, id, forth, frame, alive = alive_] {
      if (*alive) write(id, forth, frame);
    });
  }
}

// What was held goes on, once nothing holds it any more.
void FaultProxy::let_go(size_t from, size_t to) {
  std::vector<uint64_t> ids;
  for (const auto& [id, p] : passages_) ids.push_back(id);
  for (const uint64_t id : ids) {
    const auto at = passages_.find(id);
    if (at == passages_.end()) continue;
    Passage& p = *at->second;
    const bool forth = p.from == from && p.to == to, back = p.to == from && p.from == to;
    if (!forth && !back) continue;
    if (options_[{from, to}].cut) {
      end(id);
      continue;
    }
    for (const std::string& frame : std::exchange(forth ? p.held_forth : p.held_back, {}))
      carry(id, forth, frame);
  }
}

void FaultProxy::set(size_t from, size_t to, const Options& options) {
  host_.do_now([&] {
    options_[{from, to}] = options;
    if (!options.held) let_go(from, to);
  });
}

void FaultProxy::set_both(size_t a, size_t b, const Options& options) {
  set(a, b, options);
  set(b, a, options);
}

void FaultProxy::set_apart(size_t one, const Options& options) {
  for (size_t other = 0; other < doors_.size(); ++other)
    if (other != one) set_both(one, other, options);
}

void FaultProxy::set_all(const Options& options) {
  for (size_t one = 0; one < doors_.size(); ++one)
    for (size_t other = 0; other < doors_.size(); ++other)
      if (other != one) set(one, other, options);
}

uint64_t FaultProxy::passed() const {
  uint64_t all = 0;
  host_.do_now([&] { all = passed_; });
  return all;
}

uint64_t FaultProxy::bytes(size_t from, size_t to) const {
  uint64_t all = 0;
  host_.do_now([&] {
    if (const auto at = bytes_.find({from, to}); at != bytes_.end()) all = at->second;
  });
  return all;
}

}  // namespace firvalve::fakes
