#include "client/client.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fmt/format.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>

#include "base/monotonic_clock.h"
#include "client/plan.h"
#include "proto/jsonrpc/reply.h"

namespace firvalve::client {

using Poco::Net::PollSet;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

const size_t kStatementMost = proto::kMaxRpcStatementBytes;

namespace {

constexpr size_t kReadAtOnce = 64 * 1024;  // bytes
constexpr size_t kLogsMost = 1000;         // lines waiting for the callbacks' thread; more are dropped
constexpr double kDay = 86'400'000;        // ms

Ms now() { return steady_clock_ms() + 1; }  // never 0, which is "none"

SocketAddress address_of(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == text.size())
    throw std::invalid_argument(fmt::format("gateway \"{}\": not of the form HOST:PORT", text));
  try {
    return SocketAddress(text);
  } catch (const Poco::Exception& e) {
    throw std::invalid_argument(fmt::format("gateway \"{}\": {}", text, e.displayText()));
  }
}

void check(bool good, const char* option, const char* must) {
  if (!good) throw std::invalid_argument(fmt::format("option {}: must be {}", option, must));
}

// Within a range, and a number.
bool within(double value, double least, double most) { return value >= least && value <= most; }

void check(const Options& o) {
  check(!o.gateways.empty(), "gateways", "one HOST:PORT at least");
  check(within(o.links_most, 1, 1000), "links_most", "1 to 1,000");
  check(o.open_most >= 1, "open_most", "1 at least");
  check(o.answer_most >= 1024, "answer_most", "1,024 bytes at least");
  check(within(o.retry_share, 0, 1), "retry_share", "0 to 1");
  check(within(o.retry_window_ms, 100, kDay), "retry_window_ms", "100 ms to a day");
  check(within(o.sends_most, 1, 100), "sends_most", "1 to 100");
  check(within(o.backoff_ms, 0, o.backoff_most_ms), "backoff_ms", "0 to backoff_most_ms");
  check(within(o.backoff_most_ms, 0, kDay), "backoff_most_ms", "0 ms to a day");
  check(within(o.holdoff_most_ms, 0, kDay), "holdoff_most_ms", "0 ms to a day");
  check(within(o.spread_ms, 0, o.spread_most_ms), "spread_ms", "0 to spread_most_ms");
  check(within(o.spread_most_ms, 0, kDay), "spread_most_ms", "0 ms to a day");
  check(within(o.connect_ms, 1, kDay), "connect_ms", "1 ms to a day");
  check(within(o.silence_ms, 1, kDay), "silence_ms", "1 ms to a day");
  check(within(o.idle_ms, 1, kDay), "idle_ms", "1 ms to a day");
}

void check(const Command& c) {
  const auto bad = [](const std::string& what) { throw std::invalid_argument("command: " + what); };
  if (c.profile.empty()) bad("no profile");
  if (c.profile == "heartbeat" || c.profile == "revoke") bad("the profile's name is the protocol's own");
  if (c.profile.size() > 256) bad("the profile's name is longer than 256 bytes");
  if (c.statement.empty()) bad("the statement is empty");
  if (c.statement.size() > kStatementMost)
    bad(fmt::format("the statement has {} bytes; a gateway reads {}", c.statement.size(), kStatementMost));
  if (!(c.timeout_ms > 0) || c.timeout_ms > kDay) bad("timeout_ms must be above 0, and a day at most");
  if (!(c.estimate_ms >= 0) || !std::isfinite(c.estimate_ms)) bad("estimate_ms must be 0 or more");
  if (!(c.memory_mb >= 0) || !std::isfinite(c.memory_mb)) bad("memory_mb must be 0 or more");
}

PlanOptions terms_of(const Options& o) {
  PlanOptions t;
  t.gateways = static_cast<int>(o.gateways.size());
  t.seed = o.seed;
  if (t.seed == 0) {
    std::random_device device;
    t.seed = (static_cast<uint64_t>(device()) << 32) | device();
  }
  t.links_most = o.links_most;
  t.open_most = o.open_most;
  t.sends_most = o.sends_most;
  t.retry_share = o.retry_share;
  t.retry_window = o.retry_window_ms;
  t.backoff = o.backoff_ms;
  t.backoff_most = o.backoff_most_ms;
  t.holdoff_most = o.holdoff_most_ms;
  t.connect = o.connect_ms;
  t.silence = o.silence_ms;
  t.idle = o.idle_ms;
  t.marks = o.marks;
  t.spread.spread = o.spread_ms;
  t.spread.spread_most = o.spread_most_ms;
  t.spread.idle_close = o.idle_ms;
  return t;
}

Outcome outcome_of(End end) {
  switch (end) {
    case End::kAnswered:
      return Outcome::kAnswered;
    case End::kRefused:
      return Outcome::kRefused;
    case End::kFailed:
      return Outcome::kFailed;
    case End::kUnknown:
      return Outcome::kUnknown;
    case End::kExpired:
      return Outcome::kExpired;
  }
  return Outcome::kFailed;
}

}  // namespace

std::string_view name_of(Outcome outcome) {
  static constexpr std::string_view kNames[] = {"answered", "refused", "failed", "unknown", "expired"};
  return kNames[static_cast<size_t>(outcome)];
}

struct Shared {
  Command command;
  Callback callback;
  // Of a page: the gateway that has it, its token, and which; below 0: a command.
  int only = -1;
  std::string token;
  uint64_t page = 0;
  // Of a question about a bulletin: what is asked, and all params as JSON; empty: a command.
  std::string method, params;
  CallNo no = 0;
  Ms asked_at = 0;
  std::weak_ptr<Driver> driver;
  mutable std::mutex mutex;
  mutable std::condition_variable ended;
  bool done = false;
  Result result;  // once done
};

// Sockets and threads. Whatever is decided is decided by the plan.
class Driver : public std::enable_shared_from_this<Driver> {
 public:
  using SharedPtr = std::shared_ptr<Shared>;

  explicit Driver(const Options& options) : options_(options), plan_(terms_of(options)) {
    for (const std::string& g : options.gateways) addresses_.push_back(address_of(g));
    const int descriptor = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (descriptor < 0) throw std::runtime_error("client: no descriptor left");
    bell_ = StreamSocket(new Poco::Net::StreamSocketImpl(descriptor));
    polled_.add(bell_, PollSet::POLL_READ);
  }

  void start() {
    io_ = std::thread([self = shared_from_this()] { self->run(); });
    callbacks_ = std::thread([self = shared_from_this()] { self->run_callbacks(); });
  }

  void take(const SharedPtr& call) {
    call->driver = weak_from_this();
    call->asked_at = now();
    const char* why = nullptr;
    {
      const std::lock_guard lock(mutex_);
      if (closed_) {
        why = "the client is closed";
      } else if (open_ >= options_.open_most) {
        why = "too many calls open";
        ++refused_at_door_;
      } else {
        ++open_;
        call->no = ++last_call_;
        posted_.push_back({call, false});
      }
    }
    if (!why) return ring();
    Result r;
    r.outcome = Outcome::kRefused;
    r.why = why;
    settle(*call, std::move(r));
    if (call->callback) call->callback(call->result);
  }

  void cancel(const SharedPtr& call) {
    {
      const std::lock_guard lock(mutex_);
      posted_.push_back({call, true});
    }
    ring();
  }

  size_t close(double wait_ms) {
    std::unique_lock lock(mutex_);
    closed_ = true;
    if (on_callbacks_thread()) return 0;
    const auto wait = std::chrono::duration<double, std::milli>(std::clamp(wait_ms, 0.0, kDay));
    none_open_.wait_for(lock, wait, [&] { return open_ == 0; });
    const size_t left = open_;
    cancel_all_ = true;
    lock.unlock();
    ring();
    lock.lock();
    none_open_.wait(lock, [&] { return open_ == 0; });
    return left;
  }

  // What the destructor of the client calls; see there.
  void stop() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = cancel_all_ = stopping_ = true;
    }
    ring();
    if (on_callbacks_thread()) {
      io_.detach();
      callbacks_.detach();
    } else {
      io_.join();
      callbacks_.join();
    }
  }

  int number_of(const std::string& gateway) const {
    const auto at = std::find(options_.gateways.begin(), options_.gateways.end(), gateway);
    return at == options_.gateways.end() ? -1 : static_cast<int>(at - options_.gateways.begin());
  }

  Stats stats() const {
    const std::lock_guard lock(mutex_);
    Stats s = stats_;
    s.calls += refused_at_door_;
    s.refused += refused_at_door_;
    s.stopped_here += refused_at_door_;
    s.open = open_;
    return s;
  }

 private:
  struct Posted {
    SharedPtr call;
    bool cancel = false;
  };
  struct Link {
    explicit Link(size_t answer_most) : frames(answer_most) {}
    StreamSocket socket;
    proto::Inbox inbox;
    proto::RpcFrames frames;
    std::string out;
    size_t out_sent = 0;
    uint64_t queued = 0, sent = 0;                  // bytes, since it was made
    std::deque<std::pair<uint64_t, int64_t>> ends;  // of calls not wholly handed over: where, and which
    bool up = false, writing = false, touched = false;
  };
  struct LostLink {
    LinkNo link = 0;
    Loss::How how = Loss::How::kReset;
  };

  bool on_callbacks_thread() const { return std::this_thread::get_id() == callbacks_id_; }

  void ring() {
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = ::write(bell_.impl()->sockfd(), &one, sizeof one);
  }

  // ---- The sockets' thread ----

  void run() {
    std::vector<Posted> posted;
    for (bool last = false; !last;) {
      bool cancel_all = false;
      {
        const std::lock_guard lock(mutex_);
        posted.swap(posted_);
        last = stopping_;
        cancel_all = cancel_all_;
      }
      const Ms at = now();
      for (const Posted& p : posted) handle(at, p);
      posted.clear();
      if (cancel_all) {
        std::vector<CallNo> all;
        for (const auto& [no, call] : calls_) all.push_back(no);
        for (const CallNo no : all) plan_.cancel(at, no);
      }
      turn(at);
      {
        const std::lock_guard lock(mutex_);
        put_stats();
      }
      if (!last) wait();
    }
    links_.clear();
    {
      const std::lock_guard lock(callback_mutex_);
      io_done_ = true;
    }
    callback_wanted_.notify_all();
  }

  void handle(Ms at, const Posted& p) {
    Shared& call = *p.call;
    if (p.cancel) return plan_.cancel(at, call.no);
    calls_[call.no] = p.call;
    plan_.call(at, call.no, call.command.profile, call.command.effect == Effect::kReplayable,
               call.asked_at + call.command.timeout_ms, call.only);
  }

  // Decides and carries out until nothing new has come of it.
  void turn(Ms at) {
    do {
      for (const LostLink& l : std::exchange(lost_, {})) lose(at, l);
      actions_.clear();
      plan_.decide(at, actions_);
      for (const PlanAction& a : actions_) carry_out(at, a);
      for (const LinkNo no : std::exchange(touched_, {})) {
        const auto link = links_.find(no);
        if (link == links_.end()) continue;
        link->second.touched = false;
        if (link->second.up) flush(no, link->second);
      }
    } while (!lost_.empty());
  }

  void lose(Ms at, const LostLink& l) {
    const auto link = links_.find(l.link);
    if (link == links_.end()) return;
    std::set<int64_t> unsent;
    for (const auto& [end, id] : link->second.ends)
      if (end > link->second.sent) unsent.insert(id);
    drop(link);
    plan_.link_lost(at, l.link, l.how, unsent);
  }

  using Links = std::unordered_map<LinkNo, Link>;
  void drop(Links::iterator link) {
    if (const auto fd = link->second.socket.impl()->sockfd(); by_fd_.erase(fd))
      polled_.remove(link->second.socket);
    link->second.socket.close();
    links_.erase(link);
  }

  void carry_out(Ms, const PlanAction& a) {
    switch (a.kind) {
      case PlanAction::Kind::kConnect:
        return connect(a);
      case PlanAction::Kind::kClose:
        if (const auto link = links_.find(a.link); link != links_.end()) {
          if (link->second.up) flush(a.link, link->second);  // a revocation goes out before it
          drop(link);
        }
        return;
      case PlanAction::Kind::kEnd:
        return end(a);
      case PlanAction::Kind::kLog:
        return log(LogLevel::kWarning,
                   fmt::format("gateway {} {}", options_.gateways[static_cast<size_t>(a.gateway)], a.text));
      default:
        break;
    }
    const auto at = links_.find(a.link);
    if (at == links_.end()) return;
    Link& link = at->second;
    const size_t before = link.out.size();
    if (a.kind == PlanAction::Kind::kSend) {
      const Shared& call = *calls_.at(a.call);
      const Command& c = call.command;
      if (!call.method.empty()) {
        proto::append_method(link.out, a.id, call.method, call.params);
      } else if (call.only >= 0) {
        proto::append_page_call(link.out, {a.id, call.token, c.key, call.page});
      } else {
        proto::append_command(link.out, {a.id, c.profile, c.statement, a.req, a.first, a.timeout,
                                         c.estimate_ms, c.memory_mb, c.paged, c.key, c.merge});
      }
    } else if (a.kind == PlanAction::Kind::kRevoke) {
      proto::append_revoke(link.out, a.id, a.req);
    } else {
      proto::append_heartbeat(link.out, a.id);
    }
    link.queued += link.out.size() - before;
    if (a.kind == PlanAction::Kind::kSend) link.ends.emplace_back(link.queued, a.id);
    touch(a.link, link);
  }

  void touch(LinkNo no, Link& link) {
    if (!link.touched) touched_.push_back(no);
    link.touched = true;
  }

  void connect(const PlanAction& a) {
    Link& link = links_.try_emplace(a.link, options_.answer_most).first->second;
    try {
      link.socket.connectNB(addresses_[static_cast<size_t>(a.gateway)]);
      link.socket.setNoDelay(true);
      by_fd_[link.socket.impl()->sockfd()] = a.link;
      polled_.add(link.socket, PollSet::POLL_WRITE | PollSet::POLL_ERROR);
    } catch (const Poco::Exception&) {
      lost_.push_back({a.link, Loss::How::kRefused});
    }
  }

  void want(Link& link, bool write) {
    if (link.writing == write) return;
    link.writing = write;
    polled_.update(link.socket,
                   PollSet::POLL_READ | PollSet::POLL_ERROR | (write ? int(PollSet::POLL_WRITE) : 0));
  }

  void flush(LinkNo no, Link& link) {
    while (link.out_sent < link.out.size()) {
      const ssize_t sent = ::send(link.socket.impl()->sockfd(), link.out.data() + link.out_sent,
                                  link.out.size() - link.out_sent, MSG_NOSIGNAL);
      if (sent >= 0) {
        link.out_sent += static_cast<size_t>(sent);
        link.sent += static_cast<uint64_t>(sent);
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        want(link, true);
        break;
      } else if (errno != EINTR) {
        // What came before the end is read first, where it still can be.
        lost_.push_back({no, Loss::How::kReset});
        return;
      }
    }
    while (!link.ends.empty() && link.ends.front().first <= link.sent) link.ends.pop_front();
    if (link.out_sent == link.out.size()) {
      link.out.clear();
      if (link.out.capacity() > kReadAtOnce) std::string().swap(link.out);
      link.out_sent = 0;
      want(link, false);
    }
  }

  void wait() {
    const Ms due = plan_.next_due();
    const Ms most = 1000;  // an idle look a second
    const Ms left = due > 0 ? std::clamp(std::ceil(due - now()), 0.0, most) : most;
    const auto ready = polled_.poll(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(left) * 1000));
    const Ms at = now();
    for (const auto& [socket, mode] : ready) {
      const int fd = socket.impl()->sockfd();
      if (fd == bell_.impl()->sockfd()) {
        uint64_t rung = 0;
        [[maybe_unused]] const ssize_t n = ::read(fd, &rung, sizeof rung);
        continue;
      }
      const auto no = by_fd_.find(fd);
      if (no == by_fd_.end()) continue;
      const LinkNo link_no = no->second;
      Link& link = links_.at(link_no);
      if (!link.up && !come_up(at, link_no, link)) continue;
      if (mode & PollSet::POLL_WRITE) flush(link_no, link);
      if (mode & (PollSet::POLL_READ | PollSet::POLL_ERROR)) read(at, link_no);
    }
  }

  bool come_up(Ms at, LinkNo no, Link& link) {
    int error = 0;
    socklen_t size = sizeof error;
    if (::getsockopt(link.socket.impl()->sockfd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
    if (error != 0) {
      lost_.push_back({no, error == ECONNREFUSED ? Loss::How::kRefused : Loss::How::kNeverUp});
      return false;
    }
    link.up = true;
    polled_.update(link.socket, PollSet::POLL_READ | PollSet::POLL_ERROR);
    plan_.link_up(at, no);
    return true;
  }

  void read(Ms at, LinkNo no) {
    Link& link = links_.at(no);
    const auto room = link.inbox.room(kReadAtOnce);
    const ssize_t got = ::recv(link.socket.impl()->sockfd(), room.data(), room.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return;
    if (got <= 0) {
      lost_.push_back({no, got == 0 ? Loss::How::kClosed : Loss::How::kReset});
      return;
    }
    link.inbox.filled(static_cast<size_t>(got));
    std::span<char> body;
    for (;;) {
      const proto::Read what = link.frames.next(link.inbox, body);
      if (what == proto::Read::kMore) break;
      if (what == proto::Read::kBroken || !handle(at, no, body)) {
        lost_.push_back({no, Loss::How::kSpoilt});
        return;
      }
      if (!plan_.uses(no)) return;  // closed by the next turn
    }
    link.inbox.rest();
  }

  // False: it can't be read.
  bool handle(Ms at, LinkNo no, std::span<char> body) {
    proto::RpcReply reply = proto::read_reply(body);
    using Kind = proto::RpcReply::Kind;
    if (reply.kind == Kind::kUnread) return false;
    if (!reply.has_id) return true;  // a complaint about a message of ours; the close that follows tells
    PlanReply r;
    r.id = reply.id;
    r.holdoff = reply.holdoff;
    r.healthy = reply.healthy;
    r.marks = reply.marks;
    r.text = reply.message;
    r.kind = reply.kind == Kind::kRows        ? PlanReply::Kind::kAnswered
             : reply.kind == Kind::kShed      ? PlanReply::Kind::kRefused
             : reply.kind == Kind::kHeartbeat ? PlanReply::Kind::kHeartbeat
                                              : PlanReply::Kind::kFailed;
    if (const CallNo ended = plan_.reply(at, no, r))
      if (reply.kind == Kind::kRows || reply.kind == Kind::kFailed) {
        Result& result = calls_.at(ended)->result;
        result.rows = std::move(reply.rows);
        result.token = std::move(reply.token);
        result.pages = reply.pages;
        result.all_rows = reply.all_rows;
        result.gone = reply.code == proto::kRpcGone;
        result.no_such_page = reply.code == proto::kRpcNoSuchPage;
      }
    return true;
  }

  void end(const PlanAction& a) {
    const auto at = calls_.find(a.call);
    const SharedPtr call = std::move(at->second);
    calls_.erase(at);
    Result r = std::move(call->result);  // what the answer told
    r.outcome = outcome_of(a.end);
    if (a.gateway >= 0) r.gateway = options_.gateways[static_cast<size_t>(a.gateway)];
    r.may_have_run = a.may_have_run;
    r.cancelled = a.cancelled;
    r.sends = a.sends;
    r.took_ms = now() - call->asked_at;
    r.come_back_ms = a.come_back;
    if (r.outcome != Outcome::kAnswered) r.why = a.text;
    if (!call->callback) {
      settle(*call, std::move(r));
      return closed_one();
    }
    settle(*call, std::move(r));
    {
      const std::lock_guard lock(callback_mutex_);
      ended_.push_back(call);
    }
    callback_wanted_.notify_one();
  }

  static void settle(Shared& call, Result r) {
    {
      const std::lock_guard lock(call.mutex);
      call.result = std::move(r);
      call.done = true;
    }
    call.ended.notify_all();
  }

  void closed_one() {
    const std::lock_guard lock(mutex_);
    if (--open_ == 0) none_open_.notify_all();
  }

  void put_stats() {
    const PlanStats& p = plan_.stats();
    stats_ = {p.calls,      p.answered,   p.refused,      p.failed,   p.unknown,
              p.expired,    p.cancelled,  p.stopped_here, p.sends,    p.repeats,
              p.crossings,  p.revoked,    p.late_answers, p.connects, p.connects_failed,
              p.reconnects, p.links_lost, p.outages,      0};
  }

  void log(LogLevel level, std::string line) {
    if (!options_.log) return;
    {
      const std::lock_guard lock(callback_mutex_);
      if (logs_.size() >= kLogsMost) return;
      logs_.emplace_back(level, std::move(line));
    }
    callback_wanted_.notify_one();
  }

  // ---- The callbacks' thread ----

  void run_callbacks() {
    callbacks_id_ = std::this_thread::get_id();
    std::unique_lock lock(callback_mutex_);
    for (;;) {
      callback_wanted_.wait(lock, [&] { return io_done_ || !ended_.empty() || !logs_.empty(); });
      if (ended_.empty() && logs_.empty()) return;
      std::deque<std::pair<LogLevel, std::string>> logs;
      logs.swap(logs_);
      SharedPtr call;
      if (!ended_.empty()) {
        call = std::move(ended_.front());
        ended_.pop_front();
      }
      lock.unlock();
      for (const auto& [level, line] : logs) options_.log(level, line);
      if (call) {
        call->callback(call->result);
        call->callback = {};  // what it holds ends with the call, not with the last handle
        call.reset();
        closed_one();
      }
      lock.lock();
    }
  }

  const Options options_;
  std::vector<SocketAddress> addresses_;
  std::thread io_, callbacks_;
  std::atomic<std::thread::id> callbacks_id_{};

  mutable std::mutex mutex_;  // of what follows
  std::vector<Posted> posted_;
  bool closed_ = false, cancel_all_ = false, stopping_ = false;
  size_t open_ = 0;  // until the callback has returned
  uint64_t refused_at_door_ = 0;
  CallNo last_call_ = 0;
  Stats stats_;
  std::condition_variable none_open_;

  std::mutex callback_mutex_;  // of what follows
  std::condition_variable callback_wanted_;
  std::deque<SharedPtr> ended_;
  std::deque<std::pair<LogLevel, std::string>> logs_;
  bool io_done_ = false;

  // The sockets' thread alone:
  Plan plan_;
  PlanActions actions_;
  std::unordered_map<CallNo, SharedPtr> calls_;
  Links links_;
  std::unordered_map<int, LinkNo> by_fd_;
  std::vector<LostLink> lost_;
  std::vector<LinkNo> touched_;
  PollSet polled_;
  StreamSocket bell_;
};

// ---- Handle and Client --------------------------------------------------------------------------

Handle::Handle() = default;
Handle::~Handle() = default;
Handle::Handle(const Handle&) = default;
Handle& Handle::operator=(const Handle&) = default;

void Handle::cancel() {
  if (!shared_ || done()) return;
  if (const auto driver = shared_->driver.lock()) driver->cancel(shared_);
}

const Result& Handle::wait() const {
  if (!shared_) throw std::logic_error("a handle of no call was waited for");
  std::unique_lock lock(shared_->mutex);
  shared_->ended.wait(lock, [&] { return shared_->done; });
  return shared_->result;
}

bool Handle::done() const {
  if (!shared_) return false;
  const std::lock_guard lock(shared_->mutex);
  return shared_->done;
}

Client::Client(Options options) {
  check(options);
  driver_ = std::make_shared<Driver>(options);
  driver_->start();
}

Client::~Client() { driver_->stop(); }

Handle Client::send(Command command, Callback done) {
  check(command);
  Handle handle;
  handle.shared_ = std::make_shared<Shared>();
  handle.shared_->command = std::move(command);
  handle.shared_->callback = std::move(done);
  driver_->take(handle.shared_);
  return handle;
}

Handle Client::page(const std::string& gateway, const std::string& token, uint64_t page, double timeout_ms,
                    const std::string& key, Callback done) {
  const int only = driver_->number_of(gateway);
  if (only < 0) throw std::invalid_argument(fmt::format("gateway \"{}\" is none of this client's", gateway));
  Handle handle;
  handle.shared_ = std::make_shared<Shared>();
  Shared& s = *handle.shared_;
  s.command = {"page", "page", timeout_ms, 0, 0, Effect::kReplayable, false, key, {}};
  check(s.command);
  s.only = only;
  s.token = token;
  s.page = page;
  s.callback = std::move(done);
  driver_->take(handle.shared_);
  return handle;
}

Handle Client::ask(const std::string& method, const std::string& bulletin, const std::string& params,
                   double timeout_ms, Callback done) {
  const auto named = proto::with_bulletin(bulletin, params, timeout_ms);
  if (!named) throw std::invalid_argument("params are no JSON object");
  if (!proto::is_topic_method(method)) throw std::invalid_argument("no such method about bulletins");
  Handle handle;
  handle.shared_ = std::make_shared<Shared>();
  Shared& s = *handle.shared_;
  s.command = {method, method, timeout_ms, 0, 0, Effect::kReplayable, false, {}, {}};
  check(s.command);
  s.method = method;
  s.params = *named;
  s.callback = std::move(done);
  driver_->take(handle.shared_);
  return handle;
}

Result Client::call(Command command) { return send(std::move(command)).wait(); }

size_t Client::close(double wait_ms) { return driver_->close(wait_ms); }

Stats Client::stats() const { return driver_->stats(); }

// ---- Pages --------------------------------------------------------------------------------------

Pages::Pages(Client& client, const Result& result, std::string key, Options terms)
    : client_(client),
      gateways_{result.gateway},
      token_(result.token),
      key_(std::move(key)),
      first_(result.rows),
      has_first_(true),
      terms_(terms),
      pages_(result.token.empty() ? 1 : result.pages),
      asked_(1) {}

Pages::Pages(Client& client, std::vector<std::string> gateways, std::string token, std::string key,
             uint64_t from, Options terms)
    : client_(client),
      gateways_(std::move(gateways)),
      token_(std::move(token)),
      key_(std::move(key)),
      terms_(terms),
      at_(std::max<uint64_t>(from, 1) - 1),
      asked_(at_) {
  if (gateways_.empty()) throw std::invalid_argument("no gateway to ask for pages");
}

Pages::~Pages() {
  for (Handle& h : ahead_) h.cancel();
}

// Until the number of pages is known, one is asked for at a time.
void Pages::fill() {
  const auto ahead = static_cast<size_t>(std::clamp(terms_.ahead, 0, 32));
  while (ahead_.size() < (pages_ == 0 ? 1 : ahead + 1) && (pages_ == 0 || asked_ < pages_))
    ahead_.push_back(client_.page(gateways_[gateway_], token_, ++asked_, terms_.page_timeout_ms, key_));
}

Pages::Next Pages::next(std::string& rows) {
  if (has_first_) {
    has_first_ = false;
    at_ = 1;
    rows = std::move(first_);
    if (!token_.empty()) fill();
    return Next::kPage;
  }
  const Ms began = now();
  for (;;) {
    if (pages_ > 0 && at_ >= pages_) return Next::kEnd;
    fill();
    const Result r = ahead_.front().wait();
    if (r.outcome == Outcome::kAnswered) {
      ahead_.erase(ahead_.begin());
      ++at_;
      pages_ = r.pages;
      rows = r.rows;
      fill();
      return Next::kPage;
    }
    if (r.no_such_page) return Next::kEnd;
    for (Handle& h : ahead_) h.cancel();
    ahead_.clear();
    asked_ = at_;
    if (r.gone) {
      // Which gateway has it is not known with the token alone: each is asked once.
      if (pages_ > 0 || ++gone_at_ >= gateways_.size()) return Next::kGone;
      gateway_ = (gateway_ + 1) % gateways_.size();
      continue;
    }
    if (now() - began > terms_.give_up_ms) return Next::kFailed;
    // Nothing was lost but a try. A moment's rest, so that a gateway that refuses at once is not asked in a
    // loop.
    const Ms rest = std::clamp(r.come_back_ms, 20.0, 1000.0);
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(rest));
  }
}

void Pages::release() {
  if (token_.empty()) return;
  for (Handle& h : ahead_) h.cancel();
  ahead_.clear();
  client_.page(gateways_[gateway_], token_, 0, terms_.page_timeout_ms, key_).wait();
  pages_ = at_;
}

Ping ping(const std::string& gateway, double timeout_ms) {
  const SocketAddress address = address_of(gateway);
  const Ms began = now(), until = began + timeout_ms;
  Ping result;
  const auto left = [&] {
    return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(std::max(1.0, until - now()) * 1000));
  };
  const auto ended = [&](const char* why) {
    result.why = why;
    result.took_ms = now() - began;
    return result;
  };
  try {
    StreamSocket socket;
    socket.connect(address, left());
    std::string message;
    proto::append_heartbeat(message, 1);
    socket.sendBytes(message.data(), static_cast<int>(message.size()));
    proto::Inbox inbox;
    proto::RpcFrames frames;
    for (std::span<char> body;;) {
      const proto::Read what = frames.next(inbox, body);
      if (what == proto::Read::kBroken) return ended("unreadable");
      if (what == proto::Read::kWhole) {
        const proto::RpcReply reply = proto::read_reply(body);
        if (reply.kind != proto::RpcReply::Kind::kHeartbeat) return ended("no heartbeat");
        result.answered = true;
        result.healthy = reply.healthy;
        result.marks = reply.marks;
        return ended("");
      }
      if (now() >= until || !socket.poll(left(), Poco::Net::Socket::SELECT_READ))
        return ended("no answer in time");
      const auto room = inbox.room(4096);
      const int got = socket.receiveBytes(room.data(), static_cast<int>(room.size()));
      if (got <= 0) return ended("closed");
      inbox.filled(static_cast<size_t>(got));
    }
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return ended("connection refused");
  } catch (const Poco::TimeoutException&) {
    return ended("no answer in time");
  } catch (const Poco::Exception& e) {
    return ended(e.what());
  }
}

}  // namespace firvalve::client
