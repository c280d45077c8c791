#include "net/engine_connections.h"

#include <Poco/Net/NetException.h>

#include <algorithm>

namespace firvalve::net {

namespace {
constexpr Ms kIdleSlack = 2000;          // before an engine's idle close: a call must not cross it
constexpr double kIdlePart = 0.5;        // of the idle close at most: where that is short, some use is left
constexpr int64_t kPagedMost = 1000000;  // pages of a result that goes to the spool
constexpr Ms kSlowWait = 20;             // between pages that come faster than the disk takes them
constexpr Ms kWaySlack = 100;            // past a time that the protocol states: for the way there and back
}  // namespace

class EngineConnections::EngineConnection : public Connection {
 public:
  EngineConnection(EngineConnections& owner, uint32_t engine, const std::string& host)
      : Connection(owner.loop_, Poco::Net::SocketAddress(host)),
        engine(engine),
        host(host),
        reader(owner.page_most_),
        owner_(owner) {}

  const uint32_t engine;
  const std::string host;  // the address it goes to, which may be another engine's by now
  Task task = Task::kIdle;
  uint64_t send = 0;
  std::string call;        // an errand's
  bool ends_send = false;  // the errand gives up a send
  bool starts = false;     // its call is the start of a send
  Ms since = 0;            // idle, connecting or at its task
  proto::HttpReader reader;

  bool spare() const override { return task == Task::kIdle; }
  void spared() override { owner_.drop(*this, ConnectionEnd::kEvicted); }

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
    // A second copy of such a word that is still on its way would be taken for the answer to the next start.
    answer.keeps &= answer.status != 0 && behind.empty() && !answer.not_begun;
    reader.reset();
    owner_.handle(*this, answer);
  }
  void on_end(End end) override { owner_.lost(*this, end_of(end)); }

 private:
  EngineConnections& owner_;
};

EngineConnections::EngineConnections(Loop& loop, Metrics& counters, Times times)
    : loop_(loop), counters_(counters), times_(times) {}
EngineConnections::~EngineConnections() = default;

// An engine that has gone keeps its address, until that is another's, and its connections for what still runs
// there: it takes no new ones.
void EngineConnections::update_engine(TimePoint, uint32_t engine, std::string_view address,
                                      EngineState life) {
  const bool gone = life == EngineState::kRemoved;
  if (Pool& had = pools_[engine]; gone ? had.sends == 0 : had.address != address) drop_idle(engine);
  Pool& pool = pools_[engine];
  pool.gone = gone;
  if (gone) return forget(engine);
  if (pool.address == address) return;
  release_address(engine, pool);
  pool.address = address;
  const auto [at, is_new] = engine_at_.try_emplace(pool.address, engine);
  if (is_new) return;
  pools_.at(at->second).address.clear();
  at->second = engine;
}

void EngineConnections::release_address(uint32_t engine, Pool& pool) {
  const auto at = engine_at_.find(pool.address);
  if (at != engine_at_.end() && at->second == engine) engine_at_.erase(at);
  pool.address.clear();
}

void EngineConnections::forget(uint32_t engine) {
  const auto at = pools_.find(engine);
  if (at == pools_.end() || !at->second.gone || at->second.sends > 0 || !at->second.links.empty()) return;
  release_address(engine, at->second);
  pools_.erase(at);
}

EngineConnections::EngineConnection* EngineConnections::link_to(uint32_t engine, Ms now) {
  const auto at = pools_.find(engine);
  if (at == pools_.end()) return nullptr;
  // The one that has rested longest, so that whatever may still follow its last answer has come by now.
  while (!at->second.idle.empty()) {
    EngineConnection* const link = at->second.idle.front();
    if (!link->quiet()) {
      drop(*link, ConnectionEnd::kClosedByPeer);
      continue;
    }
    at->second.idle.erase(at->second.idle.begin());
    return link;
  }
  if (at->second.address.empty()) return nullptr;
  if (!loop_.room(false)) {
    counters_.add("engine connections not had for want of descriptors");
    return nullptr;
  }
  try {
    auto link = std::make_unique<EngineConnection>(*this, engine, at->second.address);
    EngineConnection* const key = link.get();
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
void EngineConnections::drop(EngineConnection& link, ConnectionEnd why) {
  link.task == Task::kIdle ? link.close() : link.abort();
  const auto pool = pools_.find(link.engine);
  if (pool == pools_.end()) return;  // dropped before, as is what has no place in it any longer
  std::erase(pool->second.idle, &link);
  const auto at = pool->second.links.find(&link);
  if (at == pool->second.links.end()) return;
  counters_.add("engine connections ended:", name_of(why));
  if (observer_) observer_(loop_.now(), {why, link.host, link.task == Task::kSend ? 1u : 0u});
  loop_.bury(std::move(at->second));
  pool->second.links.erase(at);
  forget(link.engine);
}

void EngineConnections::drop_idle(uint32_t engine) {
  const std::vector<EngineConnection*> idle =
      pools_.at(engine).idle;  // the pool may end with the last of them
  for (EngineConnection* const link : idle) drop(*link, ConnectionEnd::kNotListed);
}

// A new task, or a new call of one, with its own time.
void EngineConnections::begin(EngineConnection& link, Ms now) {
  link.since = now;
  look_at_ = sooner(look_at_, ends_at(link));
}

void EngineConnections::rest(EngineConnection& link, Ms now) {
  link.task = Task::kIdle;
  link.send = 0;
  begin(link, now);
  Pool& pool = pools_.at(link.engine);
  if (pool.sends == 0 && (pool.gone || pool.address.empty())) return drop(link, ConnectionEnd::kNotListed);
  pool.idle.push_back(&link);
  for (const auto& [id, send] : sends_)
    if (send.refused_since > 0 && send.order.engine == link.engine) look_at_ = now;
}

void EngineConnections::start_attempt(TimePoint at, const AttemptRequest& order) {
  const Ms now = to_ms(at);
  const uint64_t id = to_number(order.attempt);
  Send& send = sends_[id];
  send.query = order.paged ? proto::Query(SIZE_MAX, kPagedMost) : proto::Query();
  send.order = order;
  pools_[order.engine].sends += 1;
  EngineConnection* const link = link_to(order.engine, now);
  // For want of a descriptor nothing has begun, and the engine is not to blame.
  if (!link)
    return end(id, pools_.at(order.engine).address.empty() ? Outcome::kConnectFailed
                                                           : Outcome::kCancelledBeforeStart);
  give(*link, id, send, now);
}

void EngineConnections::give(EngineConnection& link, uint64_t id, Send& send, Ms now) {
  send.on = &link;
  link.task = Task::kSend;
  link.send = id;
  begin(link, now);
  if (link.up()) carry(link, now);
}

void EngineConnections::carry(EngineConnection& link, Ms now) {
  if (link.task == Task::kErrand) {
    begin(link, now);
    return link.write(link.call);
  }
  const auto at = sends_.find(link.send);
  if (link.task != Task::kSend || at == sends_.end()) return rest(link, now);
  Send& send = at->second;
  const std::string& host = link.host;
  std::string call;
  link.starts = !send.told;
  if (send.told) {
    send.query.append_ask(call, send.order.command, host);
  } else if (!core_->may_start_attempt(time_point_of(now), AttemptId{link.send})) {
    // Guards against a start that was decided on while its connection was still to come: meanwhile the engine
    // may have begun to drain, the client have gone, the window for repeats have run out.
    send.on = nullptr;
    end(link.send, Outcome::kCancelledBeforeStart);
    return rest(link, now);
  } else {
    const AttemptRequest& o = send.order;
    proto::append_start(
        call, {o.command, o.profile, o.statement, host, to_ms(o.deadline) - now, o.priority.value_or(-1)});
    send.begun = true;
  }
  send.asked_at = now;
  begin(link, now);
  link.write(call);
  send.told |= link.unsent() == 0;
}

void EngineConnections::ask(uint64_t id, Ms now) {
  Send& send = sends_.at(id);
  send.ask_at = 0;
  EngineConnection* const link = link_to(send.order.engine, now);
  if (!link) return ask_past_refusal(id, now);
  send.ends_at > 0 ? errand(*link, id, {}, true, now) : give(*link, id, send, now);
}

Ms EngineConnections::unasked_end(const Send& send) {
  return send.asked_at + proto::kNewsWait + proto::kUnaskedMost + kWaySlack;
}

// Guards against taking an engine that refuses connections for a dead one: one that drains, or whose table is
// full, does so while all that it has begun runs on, and a second send would run beside the first. Whether it
// has died is not to be told, so nothing ends by a refusal: it is asked over the first connection to it that
// comes free, or over a new one at growing intervals, until a query unasked for has ended by itself. Where
// the engine did die, that costs its commands this time before they go elsewhere.
void EngineConnections::ask_past_refusal(uint64_t id, Ms now) {
  Send& send = sends_.at(id);
  const Ms over = send.ends_at > 0 ? send.ends_at : unasked_end(send);
  if (now >= over) return end(id, send.ends_at > 0 ? send.as : Outcome::kReset);
  if (send.refused_since == 0) send.refused_since = now;
  ask_later(send, now, std::min(over - now, std::max(proto::kNewsWait, now - send.refused_since)));
}

void EngineConnections::ask_later(Send& send, Ms now, Ms wait) {
  send.ask_at = now + wait;
  look_at_ = sooner(look_at_, send.ask_at);
}

// Guards against answers that come spoilt, late or never while the query runs on: it belongs to no
// connection, and its news and pages can be had on another. The first time at once, then as often as news is
// due. Where an engine has gone silent that costs a connection each time, until the module or the client
// gives the send up; where all its answers stay spoilt for as long as an unasked query lives, it is given up
// here.
void EngineConnections::ask_again(uint64_t id, Ms now) {
  Send& send = sends_.at(id);
  send.on = nullptr;
  counters_.add("asked again on another connection");
  if (send.spoilt_since == 0) {
    send.spoilt_since = now;
    return ask(id, now);
  }
  ask_later(send, now);
}

void EngineConnections::handle(EngineConnection& link, const proto::HttpAnswer& answer) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool keeps = answer.keeps, readable = answer.status != 0;
  const ConnectionEnd not_kept = readable ? ConnectionEnd::kNotKept : ConnectionEnd::kUnreadable;
  if (task == Task::kSend) {
    Send& send = sends_.at(id);
    send.told = true;
    send.refused_since = 0;
    const proto::Query::Step step = send.query.handle(answer, link.starts);
    if (step.noted) core_->attempt_status_received(time_point_of(now), AttemptId{id}, step.note, step.value);
    bool slow = false;
    if (send.order.paged && send.query.has_rows()) {
      const ResultStore::AppendResult put =
          core_->append_page(time_point_of(now), AttemptId{id}, send.query.take_rows());
      if (put == ResultStore::AppendResult::kOutOfSpace) {
        // The query ends here; the core has told its clients, and the module withdraws a send that is no
        // more.
        send.on = nullptr;
        errand(id, {}, now);
        end(id, Outcome::kCancelled);
        return keeps ? rest(link, now) : drop(link, not_kept);
      }
      slow = put == ResultStore::AppendResult::kStoredSlowDown;
    }
    if (step.next == proto::Query::Next::kAsk && slow) {
      send.spoilt_since = 0;
      send.on = nullptr;
      ask_later(send, now, kSlowWait);
      return keeps ? rest(link, now) : drop(link, not_kept);
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
      if (step.outcome == Outcome::kOk && send.order.paged) errand(id, {}, now);
      const bool blameless = step.outcome == Outcome::kFailed && send.spoilt_since > 0;
      end(id, blameless ? Outcome::kIndeterminate : step.outcome, send.query.take_rows());
    } else if (step.next == proto::Query::Next::kAsk) {
      ask(id, now);
    } else {
      counters_.add("engine answers spoilt");
      drop(link, ConnectionEnd::kUnreadable);
      if (send.spoilt_since > 0 && now - send.spoilt_since > proto::kUnaskedMost)
        return give_up(id, Outcome::kIndeterminate, now);
      return ask_again(id, now);
    }
  } else if (task == Task::kErrand && link.ends_send) {
    if (!readable) return lost(link, ConnectionEnd::kUnreadable);
    if (const auto at = sends_.find(id); at != sends_.end()) end(id, at->second.as);
  }
  keeps ? rest(link, now) : drop(link, not_kept);
}

// A connection has ended, or its call has had no answer in its time. What that proves: one that never came
// up, or took only part of the start, has begun nothing. Else the query may run on, whatever becomes of the
// connections that ask for it.
void EngineConnections::lost(EngineConnection& link, ConnectionEnd why) {
  const Ms now = loop_.now();
  const uint64_t id = link.send;
  const Task task = link.task;
  const bool ends_send = link.ends_send, was_up = link.up(), unsent = link.unsent() > 0;
  drop(link, why);
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  Send& send = at->second;
  const bool refused = why == ConnectionEnd::kRefused;
  if (task == Task::kErrand && ends_send) return refused ? ask_past_refusal(id, now) : ask(id, now);
  if (task != Task::kSend) return;
  send.on = nullptr;
  if (!send.told && (!was_up || unsent)) return end(id, Outcome::kConnectFailed);
  send.told = true;
  refused ? ask_past_refusal(id, now) : ask_again(id, now);
}

void EngineConnections::cancel_attempt(TimePoint at_time, AttemptId attempt, Outcome as) {
  const Ms now = to_ms(at_time);
  const uint64_t id = to_number(attempt);
  const auto at = sends_.find(id);
  if (at == sends_.end() || (at->second.ends_at > 0 && as == Outcome::kCancelled)) return;
  Send& send = at->second;
  const bool begun = send.begun;
  if (send.on) {
    EngineConnection& link = *send.on;
    send.on = nullptr;
    // Nothing else may use it before the answer to its last call has come.
    link.task = Task::kDiscard;
    begin(link, now);
    if (!send.told || !link.up() || as != Outcome::kCancelled) drop(link, ConnectionEnd::kAttemptOver);
  }
  if (!begun) return end(id, as == Outcome::kCancelled ? Outcome::kCancelledBeforeStart : as);
  if (as == Outcome::kCancelled) return give_up(id, as, now);
  // Guards engines against commands that nobody waits for: one that runs when its client's time is over runs
  // on and keeps its place, and many gateways' together fill every engine. ClusterReply once, and nothing
  // waits for it: without the word a query ends unasked.
  if (send.order.may_cancel) errand(id, {}, now);
  end(id, as);
}

// The engine is told, and the send ends with its word, or at the latest when nobody has asked for the query
// for as long as one lives unasked: it may run on until then.
void EngineConnections::give_up(uint64_t id, Outcome as, Ms now) {
  Send& send = sends_.at(id);
  send.as = as;
  send.ask_at = 0;
  send.ends_at = unasked_end(send);
  look_at_ = sooner(look_at_, send.ends_at);
  ask(id, now);
}

void EngineConnections::set_priority(TimePoint at_time, AttemptId attempt, int priority) {
  const Ms now = to_ms(at_time);
  const uint64_t id = to_number(attempt);
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  at->second.order.priority = priority;
  if (!at->second.begun) return;  // its start tells it
  std::string call;
  proto::append_priority(call, at->second.order.command, pools_.at(at->second.order.engine).address,
                         priority);
  errand(id, std::move(call), now);
}

void EngineConnections::errand(uint64_t id, std::string call, Ms now) {
  if (EngineConnection* const link = link_to(sends_.at(id).order.engine, now))
    errand(*link, id, std::move(call), false, now);
}

void EngineConnections::errand(EngineConnection& link, uint64_t id, std::string call, bool ends_send,
                               Ms now) {
  if (call.empty()) proto::append_give_up(call, sends_.at(id).order.command, link.host);
  link.task = Task::kErrand;
  link.send = id;
  link.call = std::move(call);
  link.ends_send = ends_send;
  begin(link, now);
  if (link.up()) carry(link, now);
}

void EngineConnections::end(uint64_t id, Outcome outcome, std::string rows) {
  const auto at = sends_.find(id);
  if (at == sends_.end()) return;
  const uint32_t engine = at->second.order.engine;
  if (EngineConnection* const link = at->second.on) drop(*link, ConnectionEnd::kAttemptOver);
  sends_.erase(at);
  Pool& pool = pools_.at(engine);
  pool.sends -= 1;
  if (pool.sends == 0 && (pool.gone || pool.address.empty())) drop_idle(engine);
  forget(engine);
  endings_.push_back({id, outcome, std::move(rows)});
}

// Ends what has run out of time, and asks for what is to be asked for again.
void EngineConnections::look(Ms now) {
  look_at_ = 0;
  std::vector<uint64_t> ended, asked;
  for (const auto& [id, send] : sends_) {
    if (send.ends_at > 0 && now >= send.ends_at) ended.push_back(id);
    const bool free = send.refused_since > 0 && !pools_.at(send.order.engine).idle.empty();
    if (send.ask_at > 0 && (now >= send.ask_at || free)) asked.push_back(id);
    for (const Ms at : {send.ends_at, send.ask_at})
      if (at > now) look_at_ = sooner(look_at_, at);
  }
  for (const uint64_t id : ended) end(id, sends_.at(id).as);
  for (const uint64_t id : asked)
    if (sends_.count(id)) ask(id, now);
  std::vector<EngineConnection*> late;
  for (auto& [engine, pool] : pools_)
    for (const auto& [link, owned] : pool.links) {
      const Ms at = ends_at(*link);
      if (at > 0 && now >= at) late.push_back(link);
      if (at > now) look_at_ = sooner(look_at_, at);
    }
  for (EngineConnection* const link : late) lost(*link, why_late(*link));
}

ConnectionEnd EngineConnections::why_late(const EngineConnection& link) {
  if (link.refused()) return ConnectionEnd::kRefused;
  if (!link.up()) return ConnectionEnd::kConnectTimeout;
  return link.task == Task::kIdle ? ConnectionEnd::kIdle : ConnectionEnd::kNoAnswer;
}

Ms EngineConnections::ends_at(const EngineConnection& link) const {
  if (!link.up()) return link.since + (link.refused() ? 0 : times_.connect);
  if (link.task == Task::kIdle)
    return link.since + times_.idle - std::min(kIdleSlack, kIdlePart * times_.idle);
  return link.since + (link.task == Task::kDiscard ? proto::kUnaskedMost : proto::kNewsWait + kWaySlack);
}

void EngineConnections::due(Ms now) {
  if (look_at_ > 0 && now >= look_at_) look(now);
  telling_.swap(endings_);
  for (Ending& e : telling_)
    core_->attempt_finished(time_point_of(now), AttemptId{e.send}, e.outcome, e.rows);
  telling_.clear();
}

}  // namespace firvalve::net
