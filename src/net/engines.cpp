#include "net/engines.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

namespace {
constexpr Ms kIdleSlack = 2000;  // before an engine's idle close: a call must not cross it
constexpr Ms kProofSlack = 100;  // past the time after which an unasked query has ended: for the way there
}  // namespace

class Engines::Connection : public Link {
 public:
  Connection(Engines& owner, uint32_t engine, const Poco::Net::SocketAddress& address)
      : Link(owner.loop_, address), engine(engine), owner_(owner) {}

  const uint32_t engine;
  Task task = Task::kIdle;
  uint64_t send = 0;
  std::string call;        // an errand's
  bool ends_send = false;  // the errand gives up a send
  Ms since = 0;            // idle, connecting or at its task
  proto::HttpReader reader;

 protected:
  void on_up() override { owner_.carry(*this, loop_.now()); }
  void on_bytes() override {
    proto::HttpAnswer answer;
    const proto::Read read = reader.next(inbox_, answer);
    if (read == proto::Read::kMore) return;
    if (read == proto::Read::kBroken || task == Task::kIdle) {
      owner_.counters_.add("engine answers unreadable");
      answer = {};  // status 0: the send failed and may have run
      answer.keeps = false;
    }
    reader.reset();
    owner_.hear(*this, answer);
  }
  void on_end(End) override { owner_.lost(*this, Loss::kEnded); }

 private:
  Engines& owner_;
};

Engines::Engines(Loop& loop, Counters& counters, Times times, int most_links)
    : loop_(loop), counters_(counters), times_(times), most_links_(most_links) {}
Engines::~Engines() = default;

void Engines::list(Ms, uint32_t engine, std::string_view address, Life life) {
  Pool& pool = pools_[engine];
  if (life == Life::kGone || pool.address != address) {
    while (!pool.idle.empty()) drop(*pool.idle.back());
    if (life == Life::kGone) address = {};
  }
  if (!address.empty())
    for (auto& [other, p] : pools_)
      if (other != engine && p.address == address) p.address.clear();  // it belongs to the new engine
  pool.address = address;
}

Engines::Connection* Engines::link_to(uint32_t engine) {
  Pool& pool = pools_[engine];
  if (!pool.idle.empty()) {
    Connection* const link = pool.idle.back();
    pool.idle.pop_back();
    return link;
  }
  if (pool.address.empty() || links_ >= most_links_) return nullptr;
  try {
    auto link = std::make_unique<Connection>(*this, engine, Poco::Net::SocketAddress(pool.address));
    Connection* const key = link.get();
    pool.links[key] = std::move(link);
    ++links_;
    counters_.add("engine connections");
    return key;
  } catch (const Poco::Exception&) {
    return nullptr;  // the address cannot be read, or no descriptor is left
  }
}

// Guards against a send that comes to its engine after its final answer: bytes for a machine that is cut off wait in
// the system and would go out when it is back, even from a closed connection.
void Engines::drop(Connection& link) {
  link.task == Task::kIdle ? link.close() : link.abort();
  Pool& pool = pools_[link.engine];
  std::erase(pool.idle, &link);
  const auto at = pool.links.find(&link);
  if (at == pool.links.end()) return;
  loop_.bury(std::move(at->second));
  pool.links.erase(at);
  --links_;
}

// A new task, or a new call of one, with its own time.
void Engines::begin(Connection& link, Ms now) {
  link.since = now;
  look_at_ = sooner(look_at_, ends_at(link));
}

void Engines::rest(Connection& link, Ms now) {
  link.task = Task::kIdle;
  link.send = 0;
  begin(link, now);
  if (pools_[link.engine].address.empty()) return drop(link);
  pools_[link.engine].idle.push_back(&link);
}

void Engines::start(Ms now, const Order& order) {
  Send& send = sends_[order.send];
  send.order = order;
  Connection* const link = link_to(order.engine);
  if (!link) return end(order.send, Outcome::kConnectFailed);
  give(*link, order.send, send, now);
}

void Engines::give(Connection& link, uint64_t id, Send& send, Ms now) {
  send.on = &link;
  link.task = Task::kSend;
  link.send = id;
  begin(link, now);
  if (link.up()) carry(link, now);
}

void Engines::carry(Connection& link, Ms now) {
  if (link.task == Task::kErrand) {
    begin(link, now);
    return link.write(link.call);
  }
  const auto at = sends_.find(link.send);
  if (link.task != Task::kSend || at == sends_.end()) return rest(link, now);
  Send& send = at->second;
  const std::string& host = pools_[link.engine].address;
  std::string call;
  if (send.told) {
    send.query.append_ask(call, send.order.command, host);
  } else {
    const Order& o = send.order;
    proto::append_start(call, {o.command, o.profile, o.statement, host, o.until - now, o.priority});
    send.begun = true;
  }
  begin(link, now);
  link.write(call);
  send.told |= link.unsent() == 0;
}

void Engines::ask(uint64_t id, Send& send, Ms now) {
  send.asked_again = true;
  send.unasked_since = now;
  Connection* const link = link_to(send.order.engine);
  if (!link) return end_unproven(id, Outcome::kReset);
  give(*link, id, send, now);
}

void Engines::hear(Connection& link, const proto::HttpAnswer& answer) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool keeps = answer.keeps;
  if (task == Task::kSend) {
    Send& send = sends_.at(id);
    send.told = true;
    send.asked_again = false;
    const proto::Query::Step step = send.query.hear(answer);
    if (step.noted) core_->noted(now, id, step.note, step.value);
    if (step.next == proto::Query::Next::kAsk && keeps) return carry(link, now);
    send.on = nullptr;
    if (step.next == proto::Query::Next::kEnded) {
      end(id, step.outcome, send.query.take_rows());
    } else {
      ask(id, send, now);
    }
  } else if (task == Task::kErrand && link.ends_send) {
    end(id, Outcome::kCancelled);
  }
  keeps ? rest(link, now) : drop(link);
}

// A connection has ended. What that proves: one that never came up, or took only part of the start, has begun
// nothing. Else the send is asked for once more, for it belongs to no connection; only a process that refuses that
// is known to have died.
void Engines::lost(Connection& link, Loss loss) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool ends_send = link.ends_send, was_up = link.up(), unsent = link.unsent() > 0;
  drop(link);
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  Send& send = at->second;
  const bool died = !was_up && loss == Loss::kEnded;  // refused: and the query with its process
  if (task == Task::kErrand && ends_send && died) return end(id, Outcome::kCancelled);
  if (task != Task::kSend) return;
  send.on = nullptr;
  if (!send.told && (!was_up || unsent)) return end(id, Outcome::kConnectFailed);
  send.told = true;
  if (died) return end(id, Outcome::kReset);
  was_up && !send.asked_again ? ask(id, send, now) : end_unproven(id, Outcome::kReset);
}

void Engines::withdraw(Ms now, uint64_t id, Outcome as) {
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  Send& send = at->second;
  const bool first = !send.given_up;
  send.given_up = true;
  const bool begun = send.begun;
  if (send.on) {
    send.unasked_since = now;
    Connection& link = *send.on;
    send.on = nullptr;
    // Nothing else may use it before the answer to its last call has come.
    link.task = Task::kDiscard;
    begin(link, now);
    if (!send.told || !link.up() || as != Outcome::kCancelled) drop(link);
  }
  if (!begun) return end(id, as == Outcome::kCancelled ? Outcome::kMoot : as);
  // At its client's time-out the engine ends it by the time it was told: nothing is sent for it.
  if (as != Outcome::kCancelled) return end(id, as);
  if (first) errand(send.order.engine, id, {}, true, now);
  end_unproven(id, as);
}

void Engines::rank(Ms now, uint64_t id, int priority) {
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  at->second.order.priority = priority;
  if (!at->second.begun) return;  // its start tells it
  std::string call;
  proto::append_priority(call, at->second.order.command, pools_[at->second.order.engine].address, priority);
  errand(at->second.order.engine, id, std::move(call), false, now);
}

void Engines::errand(uint32_t engine, uint64_t id, std::string call, bool ends_send, Ms now) {
  Connection* const link = link_to(engine);
  if (!link) return;
  if (call.empty()) proto::append_give_up(call, sends_.at(id).order.command, pools_[engine].address);
  link->task = Task::kErrand;
  link->send = id;
  link->call = std::move(call);
  link->ends_send = ends_send;
  begin(*link, now);
  if (link->up()) carry(*link, now);
}

void Engines::end(uint64_t id, Outcome outcome, std::string rows) {
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  if (Connection* const link = at->second.on) drop(*link);
  sends_.erase(at);
  endings_.push_back({id, outcome, std::move(rows)});
}

// It may run on where it was sent, until nobody has asked for it for long enough.
void Engines::end_unproven(uint64_t id, Outcome outcome) {
  Send& send = sends_.at(id);
  send.as = outcome;
  send.ends_at = send.unasked_since + proto::kUnaskedMost + kProofSlack;
  look_at_ = sooner(look_at_, send.ends_at);
}

// Ends what has run out of time.
void Engines::look(Ms now) {
  look_at_ = 0;
  std::vector<uint64_t> ended;
  for (const auto& [id, send] : sends_) {
    if (send.ends_at > 0 && now >= send.ends_at) ended.push_back(id);
    if (send.ends_at > now) look_at_ = sooner(look_at_, send.ends_at);
  }
  for (const uint64_t id : ended) end(id, sends_.at(id).as);
  std::vector<Connection*> late;
  for (auto& [engine, pool] : pools_)
    for (const auto& [link, owned] : pool.links) {
      const Ms at = ends_at(*link);
      if (at > 0 && now >= at) late.push_back(link);
      if (at > now) look_at_ = sooner(look_at_, at);
    }
  for (Connection* const link : late) lost(*link, Loss::kSilent);
}

Ms Engines::ends_at(const Connection& link) const {
  if (!link.up()) return link.since + times_.connect;
  if (link.task == Task::kIdle) return link.since + times_.idle - kIdleSlack;
  return link.task == Task::kSend ? 0 : link.since + proto::kUnaskedMost;
}

void Engines::due(Ms now) {
  if (look_at_ > 0 && now >= look_at_) look(now);
  telling_.swap(endings_);
  for (Ending& e : telling_) core_->ended(now, e.send, e.outcome, std::move(e.rows));
  telling_.clear();
}

}  // namespace firvalve::net
