// The engine's HTTP protocol and its query queue, with the faults that each statement requests.
#include "fakes/fake_engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "proto/head.h"

namespace firvalve::fakes {

namespace {

constexpr Ms kMaxStatusWait = 250;  // maximum wait for a status response, set by the protocol
constexpr Ms kPollTimeout = 2000;   // a query that is not polled for this time ends, set by the protocol
constexpr std::string_view kPath = "/v1/store";

std::string make_response(std::string_view status, std::string_view fields, std::string_view body) {
  return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, fields, body.size(), body);
}

std::string note_headers(const FaultScript& script) {
  const size_t colon = script.note.find(':');
  if (colon == std::string::npos) return {};
  return fmt::format("Detail: {}\r\nX-Val: {}\r\n", script.note.substr(0, colon),
                     script.note.substr(colon + 1));
}

}  // namespace

class FakeEngine::Session : public net::Connection {
 public:
  Session(FakeEngine& owner, const Poco::Net::StreamSocket& socket)
      : net::Connection(owner.host_.loop(), socket), owner_(owner) {}

  bool is_waiting = false;  // for the response to a call; the next call is read after it

  void process_calls() {
    while (!is_waiting && is_open()) {
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
      owner_.handle_call(*this, call);
      if (!owner_.connections_.has(this)) return;
    }
  }

 protected:
  void on_bytes() override { process_calls(); }
  void on_end(End) override { owner_.connections_.end(this); }

 private:
  FakeEngine& owner_;
};

FakeEngine::FakeEngine(FakeHost& host, Options options, const std::string& address)
    : host_(host), options_(options), connections_(host), alive_(std::make_shared<bool>(true)) {
  host_.run_and_wait([&] {
    listener_ = std::make_unique<Listener>(host_, [this](const Poco::Net::StreamSocket& socket) {
      Session* const key = connections_.add(std::make_unique<Session>(*this, socket));
      if (reset_next_ > 0) --reset_next_, connections_.end(key, true);
    });
    listener_->listen(address);
    address_ = listener_->address();
    expire_unpolled();
  });
}

FakeEngine::~FakeEngine() {
  host_.run_and_wait([&] {
    *alive_ = false;
    listener_.reset();
    connections_.end_all(true);
  });
}

void FakeEngine::kill() {
  host_.run_and_wait([&] {
    listener_->close();
    connections_.end_all(true);
    queries_.clear();
    queue_.clear();
    running_ = 0;
  });
}

void FakeEngine::restart() {
  host_.run_and_wait([&] { listener_->listen(address_); });
}

void FakeEngine::hang(bool on) {
  host_.run_and_wait([&] { is_hanging_ = on; });
}

int FakeEngine::runs(const std::string& statement) const {
  const std::lock_guard lock(mutex_);
  const auto at = runs_.find(statement);
  return at == runs_.end() ? 0 : at->second;
}

int FakeEngine::max_runs_per_statement() const {
  const std::lock_guard lock(mutex_);
  int max = 0;
  for (const auto& [statement, count] : runs_) max = std::max(max, count);
  return max;
}

int FakeEngine::started() const {
  const std::lock_guard lock(mutex_);
  int all = 0;
  for (const auto& [statement, count] : runs_) all += count;
  return all;
}

int FakeEngine::calls(const std::string& start) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(call_lines_.begin(), call_lines_.end(),
                                        [&](const auto& l) { return l.starts_with(start); }));
}

Ms FakeEngine::first_call_at() const {
  const std::lock_guard lock(mutex_);
  return first_call_at_;
}

Ms FakeEngine::last_call_at() const {
  const std::lock_guard lock(mutex_);
  return last_call_at_;
}

std::vector<Ms> FakeEngine::held_after_ready() const {
  const std::lock_guard lock(mutex_);
  return held_after_ready_;
}

void FakeEngine::handle_call(Session& connection, const Call& call) {
  {
    const std::lock_guard lock(mutex_);
    if (options_.records_calls) call_lines_.push_back(call.line);
    last_call_at_ = host_.loop().now_ms();
    if (first_call_at_ == 0) first_call_at_ = last_call_at_;
  }
  if (is_hanging_) {
    connection.is_waiting = true;
    return;
  }
  const Ms now = host_.loop().now_ms();
  const std::string_view line = call.line;
  if (line.starts_with("POST ")) return start_query(connection, call);
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
        held_after_ready_.push_back(now - at->second.ready_at);
      }
      remove_query(at);
    }
    connection.write("HTTP/1.1 204 No Content\r\n\r\n");
    return;
  }
  if (at != queries_.end() && at->second.script.ask_status > 0) {
    at->second.polled_at = now;
    const int status = at->second.script.ask_status;
    return connection.write(
        make_response(fmt::format("{} No", status), status > 500 ? "Not-Begun: 1\r\n" : "", ""));
  }
  const size_t slash = rest.find('/');
  const int page = slash == std::string_view::npos
                       ? 0
                       : static_cast<int>(proto::parse_decimal(rest.substr(slash + 1), 1000).value_or(0));
  respond_or_wait(connection, id, page, now);
}

void FakeEngine::start_query(Session& connection, const Call& call) {
  const Ms now = host_.loop().now_ms();
  Query query;
  query.statement = call.statement;
  query.script = script_of(call.statement);
  query.polled_at = now;
  if (query.script.status == 503 || query.script.status == 504) {
    connection.write(make_response(fmt::format("{} No", query.script.status), "Not-Begun: 1\r\n", ""));
    return;
  }
  if (options_.slots > 0 &&
      query.script.delay * static_cast<double>(queue_.size()) / options_.slots > options_.max_queue_wait) {
    connection.write(make_response("503 Full", "Not-Begun: 1\r\n", ""));
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    ++runs_[call.statement];
  }
  if (query.script.refuse) listener_->close();
  query.run_number = ++last_run_number_;
  if (const auto same = queries_.find(call.id); same != queries_.end()) remove_query(same);
  Query& stored = queries_[call.id] = std::move(query);
  if (options_.slots == 0 || running_ < options_.slots)
    run_query(call.id, stored);
  else
    queue_.push_back(call.id);
  respond_or_wait(connection, call.id, 0, now);
}

void FakeEngine::run_query(const std::string& id, Query& query) {
  ++running_;
  query.is_running = true;
  query.ready_at = host_.loop().now_ms() + query.script.delay;
  host_.after(query.script.delay, [this, alive = alive_, id, run_number = query.run_number] {
    if (!*alive) return;
    const auto at = queries_.find(id);
    if (at == queries_.end() || at->second.run_number != run_number || !at->second.is_running) return;
    at->second.is_running = false;
    --running_;
    run_queued();
    Session* const waiting = std::exchange(at->second.waiting_session, nullptr);
    if (!waiting || !connections_.has(waiting)) return;
    respond_or_wait(*waiting, id, 0, host_.loop().now_ms());
    if (connections_.has(waiting)) waiting->process_calls();
  });
}

void FakeEngine::run_queued() {
  while (!queue_.empty() && (options_.slots == 0 || running_ < options_.slots)) {
    const std::string id = queue_.front();
    queue_.pop_front();
    if (const auto at = queries_.find(id); at != queries_.end()) run_query(id, at->second);
  }
}

void FakeEngine::remove_query(std::map<std::string, Query>::iterator at) {
  if (at->second.is_running)
    --running_;
  else
    std::erase(queue_, at->first);
  queries_.erase(at);
  run_queued();
}

// Responds now if there is a page, a status note or an error to send; otherwise when there is one.
void FakeEngine::respond_or_wait(Session& connection, const std::string& id, int page, Ms polled_at) {
  const auto at = queries_.find(id);
  if (at == queries_.end()) {
    connection.is_waiting = false;
    return connection.write(make_response("500 Error", "", ""));
  }
  Query& query = at->second;
  const Ms now = host_.loop().now_ms();
  query.polled_at = now;
  if (query.script.silent) {
    connection.is_waiting = true;
    return;
  }
  if (now >= query.ready_at) {
    connection.is_waiting = false;
    return send_page(connection, query, page);
  }
  if (now >= polled_at + kMaxStatusWait) {
    connection.is_waiting = false;
    connection.write(make_response("202 Accepted", note_headers(query.script), ""));
    return connection.process_calls();
  }
  if (!query.script.note.empty() && !query.note_sent) {
    query.note_sent = true;
    connection.is_waiting = false;
    return connection.write(make_response("202 Accepted", note_headers(query.script), ""));
  }
  connection.is_waiting = true;
  query.waiting_session = &connection;
  host_.after(polled_at + kMaxStatusWait - now,
              [this, alive = alive_, key = &connection, id, page, polled_at, run_number = query.run_number] {
                if (!*alive || !connections_.has(key)) return;
                const auto query_at = queries_.find(id);
                if (query_at != queries_.end() &&
                    (query_at->second.waiting_session != key || query_at->second.run_number != run_number))
                  return;  // this call has been answered
                if (!key->is_waiting) return;
                if (query_at != queries_.end()) query_at->second.waiting_session = nullptr;
                respond_or_wait(*key, id, page, polled_at);
                if (connections_.has(key)) key->process_calls();
              });
}

void FakeEngine::send_page(Session& connection, Query& query, int page) {
  const FaultScript& script = query.script;
  if (script.status != 200 || page >= script.pages)
    return connection.write(make_response("500 Error", "", ""));
  bool is_corrupted = false, breaks_off = false;
  {
    const std::lock_guard lock(mutex_);
    if (script.reset >= 0 || script.cut >= 0)
      breaks_off = broken_responses_[query.statement]++ < script.times;
    if (!breaks_off && !script.corruption.empty())
      is_corrupted = corrupted_[query.statement]++ < script.max_corruptions;
  }
  std::string body = rows_of(script, page);
  int sent_page = page;
  if (is_corrupted && script.corruption == "half") body.resize(body.size() / 2 - 1);  // ends inside a row
  if (is_corrupted && script.corruption == "page") sent_page = page + 1;
  std::string text = make_response(
      "200 OK",
      page == 0 ? fmt::format("X-Sheets: {}\r\n", script.pages) : fmt::format("X-Sheet: {}\r\n", sent_page),
      body);
  if (is_corrupted && script.corruption == "head") text[0] = '?';
  if (is_corrupted && script.corruption == "length")
    text.replace(text.find("Content-Length: ") + 16, 1, "99999999");
  if (is_corrupted && script.corruption == "noise") text += "noise";
  if (is_corrupted && script.corruption == "twice") text += std::string(text);
  if (is_corrupted && script.corruption == "junk") text = "junk\r\n\r\n";
  if (breaks_off) {
    reset_next_ += script.reset_next;
    const auto bytes = static_cast<size_t>(std::max(script.reset, script.cut));
    connection.write(std::string_view(text).substr(0, bytes));
    return connections_.end(&connection, script.reset >= 0);
  }
  connection.write(text);
}

void FakeEngine::expire_unpolled() {
  const Ms now = host_.loop().now_ms();
  for (auto at = queries_.begin(); at != queries_.end();) {
    const Query& q = at->second;
    const bool is_polled = q.waiting_session && connections_.has(q.waiting_session);
    const bool is_expired = !is_polled && now - q.polled_at > kPollTimeout;
    if (is_expired && now >= q.ready_at) {
      const std::lock_guard lock(mutex_);
      held_after_ready_.push_back(now - q.ready_at);
    }
    const auto next = std::next(at);
    if (is_expired) remove_query(at);
    at = next;
  }
  host_.after(kPollTimeout / 4, [this, alive = alive_] {
    if (*alive) expire_unpolled();
  });
}

}  // namespace firvalve::fakes
