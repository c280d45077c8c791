// Stand-ins for the cases of the second review: engines, an event bus, clients and the platform that starts
// and ends gateways. They follow the published protocol and share no code with the project. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---- Time and record ----------------------------------------------------------------------------

inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleep_until(double at) { sleep_ms(at - now_ms()); }

inline bool has_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

// Writes one line to the record, with the time since the start of the case.
inline void record(const char* format, ...) {
  static std::mutex mutex;
  static std::FILE* const file = [] {
    const char* const path = std::getenv("RECORD");
    std::FILE* const opened = std::fopen(path ? path : "record.txt", "w");
    return opened ? opened : stderr;
  }();
  const std::lock_guard lock(mutex);
  std::fprintf(file, "%9.1f ", now_ms());
  va_list args;
  va_start(args, format);
  std::vfprintf(file, format, args);
  va_end(args);
  std::fprintf(file, "\n");
  std::fflush(file);
}

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- Sockets ------------------------------------------------------------------------------------

inline std::pair<int, std::string> listen_on_free_port(const std::string& host = "127.0.0.1") {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 1024) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw CannotRun("cannot listen on loopback");
  return {fd, host + ":" + std::to_string(ntohs(address.sin_port))};
}

// An address that nothing listens on at the moment.
inline std::string free_address() {
  const auto [fd, address] = listen_on_free_port();
  ::close(fd);
  return address;
}

inline int connect_to(const std::string& address) {
  const size_t colon = address.find(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && ::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
  }
  if (fd >= 0) ::close(fd);
  return -1;
}

inline bool write_all(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t got = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) return false;
    sent += static_cast<size_t>(got);
  }
  return true;
}

inline void reset_and_close(int fd) {
  const linger reset{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ::close(fd);
}

inline bool wait_readable(int fd, double ms) {
  pollfd entry{fd, POLLIN, 0};
  return ::poll(&entry, 1, static_cast<int>(std::max(0.0, ms))) > 0;
}

// A proxy in front of one address, for links that take their time: each byte passes `delay_ms` later.
class SlowLink {
 public:
  SlowLink(std::string target, double delay_ms) : target_(std::move(target)), delay_ms_(delay_ms) {
    std::tie(listener_, address_) = listen_on_free_port();
    std::thread([this] {
      for (;;) {
        const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0) return;
        const int on = 1;
        ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int far = connect_to(target_);
        if (far < 0) {
          reset_and_close(near);
          continue;
        }
        pass(near, far);
        pass(far, near);
      }
    }).detach();
  }
  const std::string& address() const { return address_; }

 private:
  struct Queue {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::pair<double, std::string>> chunks;  // with the time at which each is due; empty: the end
  };

  void pass(int from, int to) const {
    const auto queue = std::make_shared<Queue>();
    const double delay_ms = delay_ms_;
    std::thread([queue, from, delay_ms] {
      for (;;) {
        char bytes[65536];
        const ssize_t got = ::recv(from, bytes, sizeof bytes, 0);
        const std::lock_guard lock(queue->mutex);
        queue->chunks.emplace_back(now_ms() + delay_ms,
                                   std::string(bytes, static_cast<size_t>(std::max<ssize_t>(got, 0))));
        queue->changed.notify_one();
        if (got <= 0) return;
      }
    }).detach();
    std::thread([queue, to] {
      for (;;) {
        std::unique_lock lock(queue->mutex);
        queue->changed.wait(lock, [&] { return !queue->chunks.empty(); });
        const auto [due_at, bytes] = std::move(queue->chunks.front());
        queue->chunks.pop_front();
        lock.unlock();
        sleep_until(due_at);
        if (bytes.empty() || !write_all(to, bytes)) {
          ::shutdown(to, SHUT_RDWR);
          return;
        }
      }
    }).detach();
  }

  const std::string target_;
  const double delay_ms_;
  std::string address_;
  int listener_ = -1;
};

// ---- Base64 -------------------------------------------------------------------------------------

inline std::string to_base64(const std::string& bytes) {
  static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k) out += i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

inline std::string from_base64(const std::string& text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int digit = -1;
    if (c >= 'A' && c <= 'Z') digit = c - 'A';
    if (c >= 'a' && c <= 'z') digit = c - 'a' + 26;
    if (c >= '0' && c <= '9') digit = c - '0' + 52;
    if (c == '+') digit = 62;
    if (c == '/') digit = 63;
    if (digit < 0) continue;
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) out += static_cast<char>(group >> (bits -= 8) & 255);
  }
  return out;
}

// ---- Engine -------------------------------------------------------------------------------------

struct Run {  // a query as the engine began it
  double at = 0;
  std::string engine, id, kind, statement;
};

// A sound engine, by the protocol page: it runs each statement for `run_ms(statement)` and answers with the
// rows that `rows_of(id, statement)` gives, in pages of whole rows. `after_answer` may add a disruption.
class Engine {
 public:
  std::function<double(const std::string& statement)> run_ms = [](const std::string&) { return 20.0; };
  std::function<std::vector<std::string>(const std::string& id, const std::string& statement)> pages_of =
      [](const std::string& id, const std::string&) { return std::vector<std::string>{id + "\tof\tthis\n"}; };
  // Called with the connection and the whole text after a good end (page 0 of a query) was written.
  std::function<void(int fd, const std::string& id, const std::string& text)> after_answer;
  std::function<void(const Run& run)> on_start;

  explicit Engine(std::string name) : name_(std::move(name)) { listen(); }
  ~Engine() { kill(); }

  const std::string& name() const { return name_; }
  const std::string& address() const { return address_; }

  // The process dies: its connections are reset, later ones refused, and its queries are gone.
  void kill() {
    {
      const std::lock_guard lock(mutex_);
      if (is_dead_) return;
      is_dead_ = true;
      ::shutdown(listener_, SHUT_RDWR);
      for (const int fd : open_) {
        const linger reset{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(fd, SHUT_RD);
      }
      queries_.clear();
    }
    acceptor_.join();
    ::close(listener_);
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }

  // Cut off: connections stay open, and nothing passes.
  void set_silent(bool on) { is_silent_ = on; }

  std::vector<Run> runs() const {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  struct Query {
    std::string statement;
    double ends_at = 0, asked_at = 0;
    std::vector<std::string> pages;
  };
  struct Request {
    std::string method, path, body;
    std::map<std::string, std::string> fields;
  };

  void listen() {
    std::tie(listener_, address_) = listen_on_free_port();
    acceptor_ = std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        if (is_dead_) {
          reset_and_close(fd);
          continue;
        }
        open_.insert(fd);
        threads_.emplace_back([this, fd] { serve(fd); });
      }
    });
  }

  static bool read_request(int fd, std::string& buffer, Request& request) {
    size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
      if (!read_more(fd, buffer)) return false;
    std::istringstream head(buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    std::istringstream first(line);
    request = {};
    first >> request.method >> request.path;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      request.fields[name] = line.substr(line.find_first_not_of(' ', colon + 1));
    }
    const size_t length =
        request.fields.count("content-length") ? std::stoul(request.fields["content-length"]) : 0;
    while (buffer.size() < end + 4 + length)
      if (!read_more(fd, buffer)) return false;
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
  }

  static bool read_more(int fd, std::string& buffer) {
    char bytes[16384];
    const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
    if (got <= 0) return false;
    buffer.append(bytes, static_cast<size_t>(got));
    return true;
  }

  static std::string respond(const std::string& status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  void serve(int fd) {
    std::string buffer;
    Request request;
    while (read_request(fd, buffer, request)) {
      {
        const std::lock_guard lock(mutex_);
        if (is_dead_) break;
      }
      while (is_silent_) sleep_ms(5);
      if (!handle(fd, request)) break;
    }
    {
      const std::lock_guard lock(mutex_);
      open_.erase(fd);
    }
    ::close(fd);
  }

  bool handle(int fd, const Request& request) {
    static const std::string kPath = "/v1/store";
    if (request.method == "POST") {
      const auto field = [&](const char* name) {
        const auto at = request.fields.find(name);
        return at == request.fields.end() ? std::string() : at->second;
      };
      const Run run{now_ms(), name_, field("call-id"), field("call-kind"), request.body};
      {
        const std::lock_guard lock(mutex_);
        runs_.push_back(run);
        Query& query = queries_[run.id];
        query = {run.statement, run.at + run_ms(run.statement), run.at, pages_of(run.id, run.statement)};
      }
      record("engine %s begins %s (%s)", name_.c_str(), run.id.c_str(), run.kind.c_str());
      if (on_start) on_start(run);
      return answer_news(fd, run.id);
    }
    const std::string rest = request.path.substr(std::min(request.path.size(), kPath.size() + 1));
    const std::string id = rest.substr(0, rest.find('/'));
    if (request.method == "DELETE") {
      {
        const std::lock_guard lock(mutex_);
        queries_.erase(id);
      }
      return write_all(fd, "HTTP/1.1 204 No Content\r\n\r\n");
    }
    if (request.method == "PUT") return write_all(fd, "HTTP/1.1 204 No Content\r\n\r\n");
    const size_t slash = rest.find('/');
    const size_t page = slash == std::string::npos ? 0 : std::stoul(rest.substr(slash + 1));
    if (page == 0) return answer_news(fd, id);
    std::string text = respond("500 Error", "", "");
    {
      const std::lock_guard lock(mutex_);
      const auto at = queries_.find(id);
      if (at != queries_.end() && page < at->second.pages.size()) {
        at->second.asked_at = now_ms();
        text = respond("200 OK", "X-Sheet: " + std::to_string(page) + "\r\n", at->second.pages[page]);
      }
    }
    return write_all(fd, text);
  }

  // The news of a query: its end, or after 250 ms that it is not yet over.
  bool answer_news(int fd, const std::string& id) {
    const double asked_at = now_ms();
    for (;;) {
      while (is_silent_) sleep_ms(5);
      std::string text;
      bool is_good_end = false;
      {
        const std::lock_guard lock(mutex_);
        if (is_dead_) return false;
        const auto at = queries_.find(id);
        if (at != queries_.end() && asked_at - at->second.asked_at > 2000)
          queries_.erase(at), text = respond("500 Error", "", "");  // not asked for in 2 s
        else if (at == queries_.end())
          text = respond("500 Error", "", "");
        else {
          at->second.asked_at = now_ms();
          is_good_end = now_ms() >= at->second.ends_at;
          if (is_good_end)
            text = respond("200 OK", "X-Sheets: " + std::to_string(at->second.pages.size()) + "\r\n",
                           at->second.pages[0]);
          else if (now_ms() - asked_at >= 250)
            text = respond("202 Accepted", "", "");
        }
      }
      if (!text.empty()) {
        if (!write_all(fd, text)) return false;
        if (is_good_end && after_answer) after_answer(fd, id, text);
        return true;
      }
      sleep_ms(1);
    }
  }

  const std::string name_;
  std::string address_;
  int listener_ = -1;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
  mutable std::mutex mutex_;
  bool is_dead_ = false;
  std::atomic<bool> is_silent_{false};
  std::set<int> open_;
  std::map<std::string, Query> queries_;
  std::vector<Run> runs_;
};

// ---- Event bus ----------------------------------------------------------------------------------

// Tells the number of the last event each second; the engines stay as the configuration lists them.
class EventBus {
 public:
  EventBus() {
    std::tie(listener_, address_) = listen_on_free_port();
    acceptor_ = std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        threads_.emplace_back([this, fd] {
          while (!is_ending_ && write_all(fd, "1\n")) sleep_ms(1000);
          ::close(fd);
        });
      }
    });
  }
  ~EventBus() {
    is_ending_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    for (std::thread& thread : threads_) thread.join();
  }
  const std::string& address() const { return address_; }

 private:
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> is_ending_{false};
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

// ---- Client -------------------------------------------------------------------------------------

struct Reply {
  bool has_come = false;
  bool is_result = false;
  int code = 0;            // of an error
  std::string text;        // the whole message
  std::string rows;        // decoded, of a result with rows
  std::string token;       // of a paged result
  double at = 0;           // when it came
  bool is_closed = false;  // the connection ended instead
};

inline std::string string_member(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":\"";
  const size_t at = json.find(key);
  if (at == std::string::npos) return {};
  return json.substr(at + key.size(), json.find('"', at + key.size()) - at - key.size());
}

inline std::optional<long> number_member(const std::string& json, const std::string& name) {
  const std::string key = "\"" + name + "\":";
  const size_t at = json.find(key);
  if (at == std::string::npos) return std::nullopt;
  return std::strtol(json.c_str() + at + key.size(), nullptr, 10);
}

// One connection to a gateway. One request at a time unless send() and receive() are called directly.
class Client {
 public:
  explicit Client(const std::string& gateway) : fd_(connect_to(gateway)) {}
  ~Client() { close(); }
  Client(const Client&) = delete;
  bool is_up() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // The connection is reset: neither side hears more of the other.
  void reset() {
    if (fd_ >= 0) reset_and_close(fd_);
    fd_ = -1;
  }
  // Sends a request and returns its number.
  int send(const std::string& method, const std::string& params) {
    const std::string body = "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(++last_id_) + ",\"method\":\"" +
                             method + "\",\"params\":" + params + "}";
    if (fd_ >= 0) write_all(fd_, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return last_id_;
  }
  void write(const std::string& bytes) {
    if (fd_ >= 0) write_all(fd_, bytes);
  }
  // Waits for the next message.
  Reply receive(double wait_ms) {
    Reply reply;
    const double until = now_ms() + wait_ms;
    while (fd_ >= 0) {
      const size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        const size_t length = std::stoul(buffer_.substr(buffer_.find(':') + 1));
        if (buffer_.size() >= end + 4 + length) {
          reply.text = buffer_.substr(end + 4, length);
          buffer_.erase(0, end + 4 + length);
          break;
        }
      }
      if (!wait_readable(fd_, until - now_ms())) return reply;
      char bytes[16384];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) {
        reply.is_closed = true;
        return reply;
      }
      buffer_.append(bytes, static_cast<size_t>(got));
    }
    if (reply.text.empty()) return reply;
    reply.has_come = true;
    reply.at = now_ms();
    reply.is_result = reply.text.find("\"result\":") != std::string::npos;
    reply.code = static_cast<int>(number_member(reply.text, "code").value_or(0));
    reply.rows = from_base64(string_member(reply.text, "bytes"));
    reply.token = string_member(reply.text, "token");
    return reply;
  }
  Reply ask(const std::string& method, const std::string& params, double wait_ms) {
    send(method, params);
    return receive(wait_ms);
  }

 private:
  int fd_ = -1;
  int last_id_ = 0;
  std::string buffer_;
};

// A new id, as the protocol asks for with every request.
inline std::string new_id() {
  static std::atomic<uint64_t> last{static_cast<uint64_t>(::getpid()) << 32};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
  return text;
}

inline std::string command_params(const std::string& id, double timeout_ms, int work_ms,
                                  const std::string& statement, const std::string& more = "") {
  return "{\"req\":\"" + id + "\",\"timeout\":" + std::to_string(static_cast<long>(timeout_ms)) +
         ",\"ms\":" + std::to_string(work_ms) + ".0,\"mem\":16" + more + ",\"bytes\":\"" +
         to_base64(statement) + "\"}";
}

// ---- Platform -----------------------------------------------------------------------------------

// The configuration of a small deployment: three profiles as in the operators' first brief.
inline std::string configuration(const std::string& name, const std::string& listen, const std::string& bus,
                                 const std::vector<std::unique_ptr<Engine>>& engines, int gateways,
                                 int index) {
  std::string listed;
  for (const auto& engine : engines)
    listed += (listed.empty() ? "" : ",") + std::string("{\"id\":\"") + engine->name() + "\",\"addr\":\"" +
              engine->address() +
              "\",\"zone\":\"office\",\"kind\":\"std-8\",\"cell\":1,\"state\":\"SERVING\",\"weight\":1,"
              "\"started_ms\":0}";
  const auto profile = [](const char* profile_name, const char* semantics, int slo, int deadline) {
    return std::string("{\"name\":\"") + profile_name + "\",\"semantics\":\"" + semantics +
           "\",\"slo\":" + std::to_string(slo) +
           "000000,\"credit\":1.0,\"deadline\":" + std::to_string(deadline) + "000000}";
  };
  return "{\"name\":\"" + name + "\",\"listen\":\"" + listen +
         "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
         "\"bus\":\"" +
         bus +
         "\",\"known\":{\"offset\":1,\"batch\":[{\"offset\":1,\"topology\":{\"version\":1,\"full\":true," +
         "\"servers\":[" + listed + "]}}]},\"settings\":{\"peers_total\":" + std::to_string(gateways) +
         ",\"index\":" + std::to_string(index) +
         ",\"zone\":\"office\",\"shapes\":[\"std-8\"],"
         "\"specifics\":{\"cores_by_kind\":[8],\"memory_by_kind_mb\":[4096],\"class_threads\":[1,4,2]},"
         "\"rules\":{\"stop_sending_within\":500000000},"
         "\"ceilings\":{\"cancel\":true,\"try_limit\":6,\"dial_timeout\":250000000,\"conn_idle\":15000000000,"
         "\"retry_after\":true,\"max_retry_after\":500000000},\"profiles\":[" +
         profile("lookup", "idempotent", 800, 4000) + "," + profile("report", "idempotent", 3000, 15000) +
         "," + profile("load", "at_most_once", 4000, 20000) + "]}}";
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  if (!file) throw CannotRun("cannot write " + path);
}

inline std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// A temporary folder, removed at the end.
class Folder {
 public:
  Folder() {
    const char* const base = std::getenv("TMPDIR");
    std::string name = std::string(base ? base : "/tmp") + "/review-XXXXXX";
    if (!::mkdtemp(name.data())) throw CannotRun("cannot make a temporary folder");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

// A gateway as the platform starts it: the `run` command of the deploy file, from the root of the repository.
class Gateway {
 public:
  Gateway(const Folder& folder, std::string name, std::string listen, const std::string& config,
          const std::string& operator_file_text = "")
      : name_(std::move(name)),
        listen_(std::move(listen)),
        config_path_(folder / (name_ + ".json")),
        operator_path_(operator_file_text.empty() ? "" : folder / (name_ + ".json5")),
        log_path_(folder / (name_ + ".log")) {
    write_file(config_path_, config);
    if (!operator_path_.empty()) write_file(operator_path_, operator_file_text);
  }
  ~Gateway() { kill(); }

  const std::string& name() const { return name_; }
  const std::string& listen() const { return listen_; }
  std::string log() const { return read_file(log_path_); }

  void start() {
    const std::string command =
        "exec build/firvalve" + (operator_path_.empty() ? "" : " --operator " + operator_path_);
    process_ = ::fork();
    if (process_ < 0) throw CannotRun("cannot fork");
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
      ::setenv("NODE_CONFIG", config_path_.c_str(), 1);
      ::setenv("NODE_NAME", name_.c_str(), 1);
      ::setenv("NODE_LISTEN", listen_.c_str(), 1);
      const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    record("gateway %s starts", name_.c_str());
  }

  // Waits until it answers a heartbeat with healthy:true.
  void wait_until_ready(double wait_ms = 10000) {
    const double until = now_ms() + wait_ms;
    while (now_ms() < until) {
      if (has_ended()) throw CannotRun("gateway " + name_ + " ended at its start: " + log());
      Client client(listen_);
      if (client.is_up() &&
          client.ask("heartbeat", "{}", 500).text.find("\"healthy\":true") != std::string::npos)
        return;
      sleep_ms(30);
    }
    throw CannotRun("gateway " + name_ + " is not ready");
  }

  void wait_for_event(const std::string& event, double wait_ms = 15000, double interval_ms = 50) {
    const double until = now_ms() + wait_ms;
    while (now_ms() < until) {
      if (log().find("event=\"" + event + "\"") != std::string::npos) return;
      sleep_ms(interval_ms);
    }
    throw CannotRun("gateway " + name_ + " has not logged " + event);
  }

  void signal(int number) {
    if (process_ <= 0) return;
    record("gateway %s gets signal %d", name_.c_str(), number);
    ::kill(process_, number);
  }

  bool has_ended() {
    if (process_ <= 0) return true;
    int status = 0;
    if (::waitpid(process_, &status, WNOHANG) != process_) return false;
    process_ = -1;
    last_status_ = status;
    record("gateway %s has ended: %s %d", name_.c_str(), WIFEXITED(status) ? "exit" : "signal",
           WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status));
    return true;
  }

  bool wait_until_ended(double wait_ms) {
    const double until = now_ms() + wait_ms;
    while (!has_ended() && now_ms() < until) sleep_ms(10);
    return has_ended();
  }

  void kill() {
    if (process_ <= 0) return;
    ::kill(process_, SIGCONT);
    ::kill(process_, SIGKILL);
    int status = 0;
    ::waitpid(process_, &status, 0);
    process_ = -1;
  }

  int last_status() const { return last_status_; }

 private:
  const std::string name_, listen_, config_path_, operator_path_, log_path_;
  pid_t process_ = -1;
  int last_status_ = 0;
};

// Several gateways joined to a cluster whose replicas they are, with engines and an event bus.
struct Deployment {
  Folder folder;
  EventBus bus;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Gateway>> gateways;

  void add_engines(int count) {
    for (int i = 0; i < count; ++i) {
      char name[16];
      std::snprintf(name, sizeof name, "s-%08x", 10 + i);
      engines.push_back(std::make_unique<Engine>(name));
    }
  }
  void add_gateway(const std::string& operator_file = "") {
    const int index = static_cast<int>(gateways.size());
    const std::string name = "n" + std::to_string(index + 1), listen = free_address();
    gateways.push_back(std::make_unique<Gateway>(
        folder, name, listen, configuration(name, listen, bus.address(), engines, 1, 0), operator_file));
  }
  std::vector<std::unique_ptr<SlowLink>> links;

  // `link_ms`: the time that a message between gateways takes; 0: no proxy between them.
  void add_cluster(int count, int lease_ms, double link_ms = 0) {
    std::vector<std::string> peers, listens;
    for (int i = 0; i < count; ++i) {
      listens.push_back(free_address());
      if (link_ms > 0) links.push_back(std::make_unique<SlowLink>(listens.back(), link_ms));
      peers.push_back(link_ms > 0 ? links.back()->address() : listens.back());
    }
    std::string keepers;
    for (const std::string& peer : peers) keepers += (keepers.empty() ? "\"" : ",\"") + peer + "\"";
    for (int i = 0; i < count; ++i) {
      const std::string name = "n" + std::to_string(i + 1), listen = free_address();
      const std::string file = "{\"fleet\":{\"on\":true,\"site\":\"office\",\"listen\":\"" +
                               listens[static_cast<size_t>(i)] + "\",\"reached_at\":\"" +
                               peers[static_cast<size_t>(i)] + "\",\"keepers\":[" + keepers +
                               "],\"folder\":\"" + folder / (name + ".kept") +
                               "\",\"lease_ms\":" + std::to_string(lease_ms) + "}}";
      gateways.push_back(std::make_unique<Gateway>(
          folder, name, listen, configuration(name, listen, bus.address(), engines, count, i), file));
    }
  }
  void start_all(bool are_replicas) {
    for (auto& gateway : gateways) gateway->start();
    for (auto& gateway : gateways) gateway->wait_until_ready();
    if (are_replicas)
      for (auto& gateway : gateways) gateway->wait_for_event("consensus.replica_ready");
  }
  Gateway& gateway(size_t number) { return *gateways[number - 1]; }
};

constexpr unsigned kMaxCaseSeconds = 115;

// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
inline int run_case(const std::function<bool()>& holds) {
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(kMaxCaseSeconds);
  record("trouble: %s", has_trouble() ? "on" : "off");
  try {
    const bool has_held = holds();
    record("the rule %s", has_held ? "held" : "was broken");
    return has_held ? 0 : 1;
  } catch (const std::exception& error) {
    record("could not run: %s", error.what());
    return 2;
  }
}

}  // namespace review
