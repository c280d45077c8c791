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
  void on_end(End) override { owner_.lost(*this, up(), unsent() > 0); }

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

Engines::Connection* Engines::link_to(uint32_t engine, Ms now) {
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
    key->since = now;
    pool.links[key] = std::move(link);
    ++links_;
    counters_.add("engine connections");
    return key;
  } catch (const Poco::Exception&) {
    return nullptr;  // the address cannot be read, or no descriptor is left
  }
}

void Engines::drop(Connection& link) {
  link.close();
  Pool& pool = pools_[link.engine];
  std::erase(pool.idle, &link);
  const auto at = pool.links.find(&link);
  if (at == pool.links.end()) return;
  loop_.bury(std::move(at->second));
  pool.links.erase(at);
  --links_;
}

void Engines::rest(Connection& link, Ms now) {
  link.task = Task::kIdle;
  link.send = 0;
  link.since = now;
  if (pools_[link.engine].address.empty()) return drop(link);
  pools_[link.engine].idle.push_back(&link);
}

void Engines::start(Ms now, const Order& order) {
  Send& send = sends_[order.send];
  send.order = order;
  Connection* const link = link_to(order.engine, now);
  if (!link) return end(order.send, Outcome::kConnectFailed);
  send.on = link;
  link->task = Task::kSend;
  link->send = order.send;
  link->since = now;
  if (link->up()) carry(*link, now);
}

void Engines::carry(Connection& link, Ms now) {
  if (link.task == Task::kErrand) {
    link.since = now;
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
  link.since = now;
  link.write(call);
  send.told |= link.unsent() == 0;
}

void Engines::ask(uint64_t id, Send& send, Ms now) {
  send.asked_again = true;
  send.unasked_since = now;
  Connection* const link = link_to(send.order.engine, now);
  if (!link) return end_unproven(id, Outcome::kReset);
  send.on = link;
  link->task = Task::kSend;
  link->send = id;
  link->since = now;
  if (link->up()) carry(*link, now);
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
void Engines::lost(Connection& link, bool was_up, bool unsent) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool ends_send = link.ends_send;
  drop(link);
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  Send& send = at->second;
  if (task == Task::kErrand && ends_send) {
    if (!was_up) end(id, Outcome::kCancelled);  // refused: the process has died, and the query with it
    return;
  }
  if (task != Task::kSend) return;
  send.on = nullptr;
  if (!send.told && (!was_up || unsent)) return end(id, Outcome::kConnectFailed);
  send.told = true;
  if (!was_up) return end(id, Outcome::kReset);
  send.asked_again ? end_unproven(id, Outcome::kReset) : ask(id, send, now);
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
    if (!send.told || !link.up()) drop(link);
  }
  if (!begun) return end(id, as == Outcome::kCancelled ? Outcome::kMoot : as);
  if (first) errand(send.order.engine, id, {}, as == Outcome::kCancelled, now);
  if (as != Outcome::kCancelled) return end(id, as);
  send.as = as;
  send.ends_at = send.unasked_since + proto::kUnaskedMost + kProofSlack;
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
  Connection* const link = link_to(engine, now);
  if (!link) return;
  if (call.empty()) proto::append_give_up(call, sends_.at(id).order.command, pools_[engine].address);
  link->task = Task::kErrand;
  link->send = id;
  link->call = std::move(call);
  link->ends_send = ends_send;
  link->since = now;
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
}

void Engines::due(Ms now) {
  for (auto at = sends_.begin(); at != sends_.end();) {
    const auto next = std::next(at);
    if (at->second.ends_at > 0 && now >= at->second.ends_at) end(at->first, at->second.as);
    at = next;
  }
  for (auto& [engine, pool] : pools_) {
    std::vector<Connection*> late;
    for (const auto& [link, owned] : pool.links) {
      const Ms most = !link->up()                     ? times_.connect
                      : link->task == Task::kIdle     ? times_.idle - kIdleSlack
                      : link->task != Task::kSend     ? proto::kUnaskedMost
                                                      : 0;
      if (most > 0 && now - link->since >= most) late.push_back(link);
    }
    for (Connection* const link : late) {
      if (link->up()) {
        drop(*link);
      } else {
        const uint64_t id = link->send;
        const bool carries = link->task == Task::kSend;
        drop(*link);
        const auto send = sends_.find(id);
        if (!carries || send == sends_.end()) continue;
        send->second.on = nullptr;
        send->second.told ? end_unproven(id, Outcome::kReset) : end(id, Outcome::kConnectFailed);
      }
    }
  }
  telling_.swap(endings_);
  for (Ending& e : telling_) core_->ended(now, e.send, e.outcome, std::move(e.rows));
  telling_.clear();
}

Ms Engines::next_due() const {
  if (!endings_.empty()) return 1;  // at once
  Ms due = 0;
  const auto sooner = [&](Ms at) {
    if (due == 0 || at < due) due = at;
  };
  for (const auto& [id, send] : sends_)
    if (send.ends_at > 0) sooner(send.ends_at);
  for (const auto& [engine, pool] : pools_)
    for (const auto& [link, owned] : pool.links) {
      if (!link->up()) {
        sooner(link->since + times_.connect);
      } else if (link->task == Task::kIdle) {
        sooner(link->since + times_.idle - kIdleSlack);
      } else if (link->task != Task::kSend) {
        sooner(link->since + proto::kUnaskedMost);
      }
    }
  return due;
}

}  // namespace firvalve::net
