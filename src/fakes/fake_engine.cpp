#include "fakes/fake_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "proto/head.h"

namespace firvalve::fakes {

namespace {

constexpr Ms kNewsWait = 250;  // the protocol's: news come within it
constexpr Ms kUnasked = 2000;  // the protocol's: a query that is not asked for so long has ended
constexpr std::string_view kPath = "/v1/store";

std::string http(std::string_view status, std::string_view fields, std::string_view body) {
  return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, fields, body.size(), body);
}

std::string note_fields(const FaultScript& s) {
  const size_t colon = s.note.find(':');
  if (colon == std::string::npos) return {};
  return fmt::format("Detail: {}\r\nX-Val: {}\r\n", s.note.substr(0, colon), s.note.substr(colon + 1));
}

}  // namespace

class FakeEngine::Session : public net::Connection {
 public:
  Session(FakeEngine& owner, const Poco::Net::StreamSocket& socket)
      : net::Connection(owner.host_.loop(), socket), owner_(owner) {}

  bool waits = false;  // a call is not answered yet; the next is not read before

  void more() {
    while (!waits && is_open()) {
      const size_t end = proto::find_header_end(read_buffer_.text());
      if (end == std::string_view::npos) return;
      std::string_view head = read_buffer_.text().substr(0, end);
      Call call;
      call.line = proto::take_line(head);
      int64_t length = 0;
      for (std::string_view line = proto::take_line(head); !line.empty(); line = proto::take_line(head)) {
        const auto field = proto::parse_header_field(line);
        if (!field) return owner_.connections_.end(this);
        if (proto::equals_ignore_case(field->name, "Content-Length"))
          length = proto::parse_decimal(field->value, 1 << 24).value_or(0);
        if (proto::equals_ignore_case(field->name, "Call-Id")) call.id = field->value;
      }
      if (read_buffer_.text().size() < end + static_cast<size_t>(length)) return;
      call.statement = read_buffer_.text().substr(end, static_cast<size_t>(length));
      read_buffer_.consume(end + static_cast<size_t>(length));
      owner_.handle(*this, call);
      if (!owner_.connections_.has(this)) return;
    }
  }

 protected:
  void on_bytes() override { more(); }
  void on_end(End) override { owner_.connections_.end(this); }

 private:
  FakeEngine& owner_;
};

FakeEngine::FakeEngine(FakeHost& host, Means means, const std::string& address)
    : host_(host), means_(means), connections_(host), alive_(std::make_shared<bool>(true)) {
  host_.do_now([&] {
    listener_ = std::make_unique<Listener>(host_, [this](const Poco::Net::StreamSocket& socket) {
      Session* const key = connections_.add(std::make_unique<Session>(*this, socket));
      if (reset_next_ > 0) --reset_next_, connections_.end(key, true);
    });
    listener_->listen(address);
    address_ = listener_->address();
    forget_unasked();
  });
}

FakeEngine::~FakeEngine() {
  host_.do_now([&] {
    *alive_ = false;
    listener_.reset();
    connections_.end_all(true);
  });
}

void FakeEngine::kill() {
  host_.do_now([&] {
    listener_->close();
    connections_.end_all(true);
    queries_.clear();
    line_.clear();
    at_work_ = 0;
  });
}

void FakeEngine::come_back() {
  host_.do_now([&] { listener_->listen(address_); });
}

void FakeEngine::hang(bool on) {
  host_.do_now([&] { hangs_ = on; });
}

int FakeEngine::runs(const std::string& statement) const {
  const std::lock_guard lock(mutex_);
  const auto at = runs_.find(statement);
  return at == runs_.end() ? 0 : at->second;
}

int FakeEngine::runs_most() const {
  const std::lock_guard lock(mutex_);
  int most = 0;
  for (const auto& [statement, count] : runs_) most = std::max(most, count);
  return most;
}

int FakeEngine::started() const {
  const std::lock_guard lock(mutex_);
  int all = 0;
  for (const auto& [statement, count] : runs_) all += count;
  return all;
}

int FakeEngine::calls(const std::string& start) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::count_if(lines_.begin(), lines_.end(), [&](const auto& l) { return l.starts_with(start); }));
}

Ms FakeEngine::first_call_at() const {
  const std::lock_guard lock(mutex_);
  return first_at_;
}

Ms FakeEngine::last_call_at() const {
  const std::lock_guard lock(mutex_);
  return last_at_;
}

std::vector<Ms> FakeEngine::held_after_ready() const {
  const std::lock_guard lock(mutex_);
  return held_;
}

void FakeEngine::handle(Session& connection, const Call& call) {
  {
    const std::lock_guard lock(mutex_);
    if (means_.records_calls) lines_.push_back(call.line);
    last_at_ = host_.loop().now_ms();
    if (first_at_ == 0) first_at_ = last_at_;
  }
  if (hangs_) {
    connection.waits = true;
    return;
  }
  const Ms now = host_.loop().now_ms();
  const std::string_view line = call.line;
  if (line.starts_with("POST ")) return start(connection, call);
  const size_t path = line.find(kPath);
  if (path == std::string_view::npos) return connections_.end(&connection);
  std::string_view rest = line.substr(path + kPath.size() + 1);
  rest = rest.substr(0, rest.find(' '));
  const std::string id(rest.substr(0, rest.find('/')));
  const auto at = queries_.find(id);
  if (line.starts_with("DELETE ") || line.starts_with("PUT ")) {
    if (line.starts_with("DELETE ") && at != queries_.end()) {
      if (now >= at->second.ready_at) {
        const std::lock_guard lock(mutex_);
        held_.push_back(now - at->second.ready_at);
      }
      leave(at);
    }
    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    return;
  }
  if (at != queries_.end() && at->second.script.ask_status > 0) {
    at->second.asked_at = now;
    const int status = at->second.script.ask_status;
    return connection.write(http(fmt::format("{} No", status), status > 500 ? "Not-Begun: 1\r\n" : "", ""));
  }
  const size_t slash = rest.find('/');
  const int page = slash == std::string_view::npos
                       ? 0
                       : static_cast<int>(proto::parse_decimal(rest.substr(slash + 1), 1000).value_or(0));
  tell(connection, id, page, now);
}

void FakeEngine::start(Session& connection, const Call& call) {
  const Ms now = host_.loop().now_ms();
  Query query;
  query.statement = call.statement;
  query.script = script_of(call.statement);
  query.asked_at = now;
  if (query.script.status == 503 || query.script.status == 504) {
    connection.write(http(fmt::format("{} No", query.script.status), "Not-Begun: 1\r\n", ""));
    return;
  }
  if (means_.slots > 0 &&
      query.script.delay * static_cast<double>(line_.size()) / means_.slots > means_.full_behind) {
    connection.write(http("503 Full", "Not-Begun: 1\r\n", ""));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[call.statement];
  }
  if (query.script.refuse) listener_->close();
  query.number = ++last_number_;
  if (const auto same = queries_.find(call.id); same != queries_.end()) leave(same);
  Query& kept = queries_[call.id] = std::move(query);
  if (means_.slots == 0 || at_work_ < means_.slots)
    begin(call.id, kept);
  else
    line_.push_back(call.id);
  tell(connection, call.id, 0, now);
}

void FakeEngine::begin(const std::string& id, Query& query) {
  ++at_work_;
  query.works = true;
  query.ready_at = host_.loop().now_ms() + query.script.delay;
  host_.after(query.script.delay, [this, alive = alive_, id, number = query.number] {
    if (!*alive) return;
    const auto at = queries_.find(id);
    if (at == queries_.end() || at->second.number != number || !at->second.works) return;
    at->second.works = false;
    --at_work_;
    begin_next();
    Session* const waits = std::exchange(at->second.waits, nullptr);
    if (!waits || !connections_.has(waits)) return;
    tell(*waits, id, 0, host_.loop().now_ms());
    if (connections_.has(waits)) waits->more();
  });
}

void FakeEngine::begin_next() {
  while (!line_.empty() && (means_.slots == 0 || at_work_ < means_.slots)) {
    const std::string id = line_.front();
    line_.pop_front();
    if (const auto at = queries_.find(id); at != queries_.end()) begin(id, at->second);
  }
}

void FakeEngine::leave(std::map<std::string, Query>::iterator at) {
  if (at->second.works)
    --at_work_;
  else
    std::erase(line_, at->first);
  queries_.erase(at);
  begin_next();
}

// Answers now, or once there is something to tell.
void FakeEngine::tell(Session& connection, const std::string& id, int page, Ms asked_at) {
  const auto at = queries_.find(id);
  if (at == queries_.end()) {
    connection.waits = false;
    return connection.write(http("500 Error", "", ""));
  }
  Query& query = at->second;
  const Ms now = host_.loop().now_ms();
  query.asked_at = now;
  if (query.script.silent) {
    connection.waits = true;
    return;
  }
  if (now >= query.ready_at) {
    connection.waits = false;
    return answer(connection, query, page);
  }
  if (now >= asked_at + kNewsWait) {
    connection.waits = false;
    connection.write(http("202 Accepted", note_fields(query.script), ""));
    return connection.more();
  }
  if (!query.script.note.empty() && !query.noted) {
    query.noted = true;
    connection.waits = false;
    return connection.write(http("202 Accepted", note_fields(query.script), ""));
  }
  connection.waits = true;
  query.waits = &connection;
  host_.after(asked_at + kNewsWait - now, [this, alive = alive_, key = &connection, id, page, asked_at,
                                           number = query.number] {
    if (!*alive || !connections_.has(key)) return;
    const auto query_at = queries_.find(id);
    if (query_at != queries_.end() && (query_at->second.waits != key || query_at->second.number != number))
      return;  // it has been told
    if (!key->waits) return;
    if (query_at != queries_.end()) query_at->second.waits = nullptr;
    tell(*key, id, page, asked_at);
    if (connections_.has(key)) key->more();
  });
}

void FakeEngine::answer(Session& connection, Query& query, int page) {
  const FaultScript& s = query.script;
  if (s.status != 200 || page >= s.pages) return connection.write(http("500 Error", "", ""));
  bool spoil = false, breaks = false;
  {
    const std::lock_guard lock(mutex_);
    if (s.reset >= 0 || s.cut >= 0) breaks = broken_[query.statement]++ < s.times;
    if (!breaks && !s.spoil.empty()) spoil = spoilt_[query.statement]++ < s.spoil_times;
  }
  std::string body = rows_of(s, page);
  int told = page;
  if (spoil && s.spoil == "half") body.resize(body.size() / 2 - 1);  // in the middle of a row
  if (spoil && s.spoil == "page") told = page + 1;
  std::string text =
      http("200 OK",
           page == 0 ? fmt::format("X-Sheets: {}\r\n", s.pages) : fmt::format("X-Sheet: {}\r\n", told), body);
  if (spoil && s.spoil == "head") text[0] = '?';
  if (spoil && s.spoil == "length") text.replace(text.find("Content-Length: ") + 16, 1, "99999999");
  if (spoil && s.spoil == "noise") text += "noise";
  if (spoil && s.spoil == "twice") text += std::string(text);
  if (spoil && s.spoil == "junk") text = "junk\r\n\r\n";
  if (breaks) {
    reset_next_ += s.reset_next;
    const auto bytes = static_cast<size_t>(std::max(s.reset, s.cut));
    connection.write(std::string_view(text).substr(0, bytes));
    return connections_.end(&connection, s.reset >= 0);
  }
  connection.write(text);
}

void FakeEngine::forget_unasked() {
  const Ms now = host_.loop().now_ms();
  for (auto at = queries_.begin(); at != queries_.end();) {
    const Query& q = at->second;
    const bool asked = q.waits && connections_.has(q.waits);
    const bool unasked = !asked && now - q.asked_at > kUnasked;
    if (unasked && now >= q.ready_at) {
      const std::lock_guard lock(mutex_);
      held_.push_back(now - q.ready_at);
    }
    const auto next = std::next(at);
    if (unasked) leave(at);
    at = next;
  }
  host_.after(kUnasked / 4, [this, alive = alive_] {
    if (*alive) forget_unasked();
  });
}

}  // namespace firvalve::fakes
