#include "net/engines.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

namespace {
constexpr Ms kIdleSlack = 2000;          // before an engine's idle close: a call must not cross it
constexpr int64_t kPagedMost = 1000000;  // pages of a result that goes to the spool
constexpr Ms kSlowWait = 20;             // between pages that come faster than the disk takes them
constexpr Ms kWaySlack = 100;            // past a time that the protocol states: for the way there and back
}  // namespace

class Engines::Connection : public Link {
 public:
  Connection(Engines& owner, uint32_t engine, const Poco::Net::SocketAddress& address)
      : Link(owner.loop_, address), engine(engine), reader(owner.page_most_), owner_(owner) {}

  const uint32_t engine;
  Task task = Task::kIdle;
  uint64_t send = 0;
  std::string call;        // an errand's
  bool ends_send = false;  // the errand gives up a send
  Ms since = 0;            // idle, connecting or at its task
  proto::HttpReader reader;

  bool spare() const override { return task == Task::kIdle; }
  void spared() override { owner_.drop(*this); }

 protected:
  void on_up() override { owner_.carry(*this, loop_.now()); }
  void on_bytes() override {
    proto::HttpAnswer answer;
    const proto::Read read = reader.next(inbox_, answer);
    if (read == proto::Read::kMore && task != Task::kIdle) return;
    // Guards against bytes beyond an answer's end, which would be read as that to the next call: the
    // connection goes. A second copy spoils no more; before anything else behind it a length may have been
    // cut, and the engine is asked for the answer again.
    const std::string_view behind = inbox_.text();
    const bool cut =
        !behind.empty() && !behind.starts_with(std::string_view("HTTP/1.").substr(0, behind.size()));
    if (read != proto::Read::kWhole || task == Task::kIdle || (cut && answer.status == 200)) {
      owner_.counters_.add(task == Task::kIdle ? "engine answers unasked for" : "engine answers unreadable");
      answer = {};  // status 0
    }
    answer.keeps &= answer.status != 0 && behind.empty();
    reader.reset();
    owner_.hear(*this, answer);
  }
  void on_end(End end) override { owner_.lost(*this, end == End::kRefused ? Loss::kRefused : Loss::kEnded); }

 private:
  Engines& owner_;
};

Engines::Engines(Loop& loop, Counters& counters, Times times)
    : loop_(loop), counters_(counters), times_(times) {}
Engines::~Engines() = default;

// An engine that has gone keeps its address for what still runs there, until that is another's.
void Engines::list(Ms, uint32_t engine, std::string_view address, Life life) {
  Pool& pool = pools_[engine];
  const bool gone = life == Life::kGone;
  if (gone || pool.address != address)
    while (!pool.idle.empty()) drop(*pool.idle.back());
  pool.gone = gone;
  if (gone) return forget(engine);
  for (auto& [other, p] : pools_)
    if (other != engine && p.address == address) p.address.clear();
  pool.address = address;
}

void Engines::forget(uint32_t engine) {
  const auto at = pools_.find(engine);
  if (at != pools_.end() && at->second.gone && at->second.sends == 0 && at->second.links.empty())
    pools_.erase(at);
}

Engines::Connection* Engines::link_to(uint32_t engine, Ms now) {
  const auto at = pools_.find(engine);
  if (at == pools_.end() || at->second.address.empty()) return nullptr;
  // The one that has rested longest, so that whatever may still follow its last answer has come by now.
  while (!at->second.idle.empty()) {
    Connection* const link = at->second.idle.front();
    if (!link->quiet()) {
      drop(*link);
      continue;
    }
    at->second.idle.erase(at->second.idle.begin());
    return link;
  }
  if (!loop_.room(false)) {
    counters_.add("engine connections not had for want of descriptors");
    return nullptr;
  }
  try {
    auto link = std::make_unique<Connection>(*this, engine, Poco::Net::SocketAddress(at->second.address));
    Connection* const key = link.get();
    begin(*key, now);
    at->second.links[key] = std::move(link);
    counters_.add("engine connections");
    return key;
  } catch (const Poco::Exception&) {
    return nullptr;  // the address cannot be read, or no descriptor is left
  }
}

// Guards against a send that comes to its engine after its final answer: bytes for a machine that is cut off
// wait in the system and would go out when it is back, even from a closed connection.
void Engines::drop(Connection& link) {
  link.task == Task::kIdle ? link.close() : link.abort();
  const auto pool = pools_.find(link.engine);
  if (pool == pools_.end()) return;  // dropped before, as is what has no place in it any longer
  std::erase(pool->second.idle, &link);
  const auto at = pool->second.links.find(&link);
  if (at == pool->second.links.end()) return;
  loop_.bury(std::move(at->second));
  pool->second.links.erase(at);
  forget(link.engine);
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
  Pool& pool = pools_.at(link.engine);
  if (pool.gone || pool.address.empty()) return drop(link);
  pool.idle.push_back(&link);
}

void Engines::start(Ms now, const Order& order) {
  Send& send = sends_[order.send];
  send.query = order.paged ? proto::Query(SIZE_MAX, kPagedMost) : proto::Query();
  send.order = order;
  pools_[order.engine].sends += 1;
  Connection* const link = link_to(order.engine, now);
  // For want of a descriptor nothing has begun, and the engine is not to blame.
  if (!link)
    return end(order.send,
               pools_.at(order.engine).address.empty() ? Outcome::kConnectFailed : Outcome::kMoot);
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
  const std::string& host = pools_.at(link.engine).address;
  std::string call;
  if (send.told) {
    send.query.append_ask(call, send.order.command, host);
  } else {
    const Order& o = send.order;
    proto::append_start(call, {o.command, o.profile, o.statement, host, o.until - now, o.priority});
    send.begun = true;
  }
  send.asked_at = now;
  begin(link, now);
  link.write(call);
  send.told |= link.unsent() == 0;
}

void Engines::ask(uint64_t id, Ms now) {
  Send& send = sends_.at(id);
  send.ask_at = 0;
  if (Connection* const link = link_to(send.order.engine, now)) return give(*link, id, send, now);
  ask_later(send, now);
}

void Engines::ask_later(Send& send, Ms now, Ms wait) {
  send.ask_at = now + wait;
  look_at_ = sooner(look_at_, send.ask_at);
}

// Guards against answers that come spoilt, late or never while the query runs on: it belongs to no
// connection, and its news and pages can be had on another. The first time at once, then as often as news is
// due. Where an engine has gone silent that costs a connection each time, until the module or the client
// gives the send up; where all its answers stay spoilt for as long as an unasked query lives, it is given up
// here.
void Engines::ask_again(uint64_t id, Ms now) {
  Send& send = sends_.at(id);
  send.on = nullptr;
  counters_.add("asked again on another connection");
  if (send.spoilt_since == 0) {
    send.spoilt_since = now;
    return ask(id, now);
  }
  ask_later(send, now);
}

void Engines::hear(Connection& link, const proto::HttpAnswer& answer) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool keeps = answer.keeps, readable = answer.status != 0;
  if (task == Task::kSend) {
    Send& send = sends_.at(id);
    send.told = true;
    const proto::Query::Step step = send.query.hear(answer);
    if (step.noted) core_->noted(now, id, step.note, step.value);
    bool slow = false;
    if (send.order.paged && send.query.has_rows()) {
      const Shelf::Put put = core_->page(now, id, send.query.take_rows());
      if (put == Shelf::Put::kOutgrown) {
        // The query ends here; the core has told its clients, and the module withdraws a send that is no
        // more.
        send.on = nullptr;
        errand(send.order.engine, id, {}, false, now);
        end(id, Outcome::kCancelled);
        return keeps ? rest(link, now) : drop(link);
      }
      slow = put == Shelf::Put::kSlow;
    }
    if (step.next == proto::Query::Next::kAsk && slow) {
      send.spoilt_since = 0;
      send.on = nullptr;
      ask_later(send, now, kSlowWait);
      return keeps ? rest(link, now) : drop(link);
    }
    if (step.next == proto::Query::Next::kAsk) {
      send.spoilt_since = 0;
      if (keeps) return carry(link, now);
    }
    send.on = nullptr;
    if (step.next == proto::Query::Next::kEnded) {
      // After a call of which nobody knows whether it came, an engine that knows nothing of the query is not
      // at fault.
      // All of it is here: the engine need hold it no longer. A plain result ends by itself, as it did.
      if (step.outcome == Outcome::kOk && send.order.paged) errand(send.order.engine, id, {}, false, now);
      const bool blameless = step.outcome == Outcome::kFailed && send.spoilt_since > 0;
      end(id, blameless ? Outcome::kSpoilt : step.outcome, send.query.take_rows());
    } else if (step.next == proto::Query::Next::kAsk) {
      ask(id, now);
    } else {
      counters_.add("engine answers spoilt");
      drop(link);
      if (send.spoilt_since > 0 && now - send.spoilt_since > proto::kUnaskedMost)
        return give_up(id, Outcome::kSpoilt, now);
      return ask_again(id, now);
    }
  } else if (task == Task::kErrand && link.ends_send) {
    if (!readable) return lost(link, Loss::kSilent);
    if (const auto at = sends_.find(id); at != sends_.end()) end(id, at->second.as);
  }
  keeps ? rest(link, now) : drop(link);
}

// A connection has ended, or its call has had no answer in its time. What that proves: one that never came
// up, or took only part of the start, has begun nothing. Else the query may run on; only a process that
// refuses to be asked is known to have died, and the query with it; a connection that is reset when new says
// nothing.
void Engines::lost(Connection& link, Loss loss) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool ends_send = link.ends_send, was_up = link.up(), unsent = link.unsent() > 0;
  drop(link);
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  Send& send = at->second;
  const bool died = loss == Loss::kRefused;
  if (task == Task::kErrand && ends_send)
    return died ? end(id, send.as) : errand(send.order.engine, id, {}, true, now);
  if (task != Task::kSend) return;
  send.on = nullptr;
  if (!send.told && (!was_up || unsent)) return end(id, Outcome::kConnectFailed);
  send.told = true;
  died ? end(id, Outcome::kReset) : ask_again(id, now);
}

void Engines::withdraw(Ms now, uint64_t id, Outcome as) {
  const auto at = sends_.find(id);
  if (at == sends_.end() || (at->second.ends_at > 0 && as == Outcome::kCancelled)) return;
  Send& send = at->second;
  const bool begun = send.begun;
  if (send.on) {
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
  give_up(id, as, now);
}

// The engine is told, and the send ends with its word, or at the latest when nobody has asked for the query
// for as long as one lives unasked: it may run on until then.
void Engines::give_up(uint64_t id, Outcome as, Ms now) {
  Send& send = sends_.at(id);
  send.as = as;
  send.ask_at = 0;
  send.ends_at = std::min(now, send.asked_at + proto::kNewsWait) + proto::kUnaskedMost + kWaySlack;
  look_at_ = sooner(look_at_, send.ends_at);
  errand(send.order.engine, id, {}, true, now);
}

void Engines::rank(Ms now, uint64_t id, int priority) {
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  at->second.order.priority = priority;
  if (!at->second.begun) return;  // its start tells it
  std::string call;
  proto::append_priority(call, at->second.order.command, pools_.at(at->second.order.engine).address,
                         priority);
  errand(at->second.order.engine, id, std::move(call), false, now);
}

void Engines::errand(uint32_t engine, uint64_t id, std::string call, bool ends_send, Ms now) {
  Connection* const link = link_to(engine, now);
  if (!link) return;
  if (call.empty()) proto::append_give_up(call, sends_.at(id).order.command, pools_.at(engine).address);
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
  const uint32_t engine = at->second.order.engine;
  if (Connection* const link = at->second.on) drop(*link);
  sends_.erase(at);
  pools_.at(engine).sends -= 1;
  forget(engine);
  endings_.push_back({id, outcome, std::move(rows)});
}

// Ends what has run out of time, and asks for what is to be asked for again.
void Engines::look(Ms now) {
  look_at_ = 0;
  std::vector<uint64_t> ended, asked;
  for (const auto& [id, send] : sends_) {
    if (send.ends_at > 0 && now >= send.ends_at) ended.push_back(id);
    if (send.ask_at > 0 && now >= send.ask_at) asked.push_back(id);
    for (const Ms at : {send.ends_at, send.ask_at})
      if (at > now) look_at_ = sooner(look_at_, at);
  }
  for (const uint64_t id : ended) end(id, sends_.at(id).as);
  for (const uint64_t id : asked)
    if (sends_.count(id)) ask(id, now);
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
  return link.since + (link.task == Task::kDiscard ? proto::kUnaskedMost : proto::kNewsWait + kWaySlack);
}

void Engines::due(Ms now) {
  if (look_at_ > 0 && now >= look_at_) look(now);
  telling_.swap(endings_);
  for (Ending& e : telling_) core_->ended(now, e.send, e.outcome, std::move(e.rows));
  telling_.clear();
}

}  // namespace firvalve::net
