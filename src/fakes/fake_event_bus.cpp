// The event bus protocol: one request line per connection, then events and offsets as JSON lines.
#include "fakes/fake_event_bus.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "proto/head.h"

namespace firvalve::fakes {

namespace {
constexpr Ms kOffsetInterval = 1000;
}

std::string listing(const std::string& name, const std::string& address, const std::string& state,
                    const std::string& machine, const std::string& zone) {
  return fmt::format(
      R"({{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":0,"state":"{}","weight":1,"started_ms":0}})",
      name, address, zone, machine, state);
}

std::string topology(int64_t offset, bool full, const std::string& listings) {
  return fmt::format(R"({{"offset":{},"topology":{{"version":1,"full":{},"servers":[{}]}}}})", offset, full,
                     listings);
}

class FakeEventBus::Session : public net::Connection {
 public:
  Session(FakeEventBus& owner, const Poco::Net::StreamSocket& socket)
      : net::Connection(owner.host_.loop(), socket), owner_(owner) {}

 protected:
  void on_bytes() override {
    const size_t end = read_buffer_.text().find('\n');
    if (end == std::string_view::npos) return;
    const std::string_view line = read_buffer_.text().substr(0, end);
    const auto from =
        line.starts_with("from ") ? proto::parse_decimal(line.substr(5), 1LL << 40) : std::nullopt;
    read_buffer_.consume(end + 1);
    ++owner_.traffic_.lines_in;
    owner_.traffic_.bytes_in += end + 1;
    if (!from) return owner_.connections_.end(this);
    owner_.start_subscription(*this, *from);
  }
  void on_end(End) override { owner_.connections_.end(this); }

 private:
  FakeEventBus& owner_;
};

FakeEventBus::FakeEventBus(FakeHost& host, int64_t base_offset, const std::string& address)
    : host_(host), connections_(host), base_offset_(base_offset), alive_(std::make_shared<bool>(true)) {
  host_.run_and_wait([&] {
    listener_ = std::make_unique<Listener>(host_, [this](const Poco::Net::StreamSocket& socket) {
      connections_.add(std::make_unique<Session>(*this, socket));
      ++traffic_.connections_made;
    });
    listener_->listen(address);
    address_ = listener_->address();
    broadcast_offset();
  });
}

FakeEventBus::~FakeEventBus() {
  host_.run_and_wait([&] {
    *alive_ = false;
    listener_.reset();
    connections_.end_all(false);
  });
}

void FakeEventBus::announce(const std::string& listings, bool whole) {
  host_.run_and_wait([&] {
    const int64_t offset = base_offset_ + static_cast<int64_t>(events_.size()) + 1;
    events_.push_back(topology(offset, whole, listings) + "\n");
    for (Session* const c : std::vector(subscribers_))
      if (connections_.has(c)) send_lines(*c, events_.back());
  });
}

BusTraffic FakeEventBus::traffic() const {
  BusTraffic out;
  host_.run_and_wait([&] {
    out = traffic_;
    out.connections_open = connections_.size();
  });
  return out;
}

void FakeEventBus::send_lines(Session& connection, const std::string& lines) {
  traffic_.lines_out += static_cast<uint64_t>(std::count(lines.begin(), lines.end(), '\n'));
  traffic_.bytes_out += lines.size();
  connection.write(lines);
}

void FakeEventBus::say_first(std::string line) {
  host_.run_and_wait([&] { first_line_ = std::move(line); });
}

std::vector<int64_t> FakeEventBus::asked_from() const {
  const std::lock_guard lock(mutex_);
  return requested_offsets_;
}

void FakeEventBus::start_subscription(Session& connection, int64_t from) {
  {
    const std::lock_guard lock(mutex_);
    requested_offsets_.push_back(from);
  }
  send_lines(connection, std::exchange(first_line_, {}));
  for (int64_t n = std::max(from, base_offset_); n < base_offset_ + static_cast<int64_t>(events_.size()); ++n)
    send_lines(connection, events_[static_cast<size_t>(n - base_offset_)]);
  subscribers_.push_back(&connection);
}

void FakeEventBus::broadcast_offset() {
  std::erase_if(subscribers_, [&](Session* c) { return !connections_.has(c); });
  const std::string line =
      fmt::format("{{\"offset\":{}}}\n", base_offset_ + static_cast<int64_t>(events_.size()));
  for (Session* const c : std::vector(subscribers_))
    if (connections_.has(c)) send_lines(*c, line);
  host_.after(kOffsetInterval, [this, alive = alive_] {
    if (*alive) broadcast_offset();
  });
}

}  // namespace firvalve::fakes
