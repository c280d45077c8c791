// Usual clients have a request open and write a second one slowly. Meanwhile bad clients send a request and
// half of another, and close. Each request of a usual client that the gateway has taken must get its final
// answer.
#include "harness.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 64;
constexpr int kUsualClients = 20;
constexpr int kBadClients = 200;
constexpr size_t kEngines = 6;
constexpr double kTimeoutMs = 4000;
constexpr double kRunMs = 1500;
constexpr size_t kLargeBodyBytes = 130000;  // the gateway reads bodies of up to 131,072 bytes
constexpr size_t kSentOfLargeBody = 120000;
constexpr double kPauseInRequestMs = 500;  // of a slow writer; a gateway waits 2 s for the rest of a message

std::string message(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string request(int id, const std::string& req, const std::string& statement) {
  return message("{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"method\":\"lookup\",\"params\":" +
                 command_params(statement, kTimeoutMs, req, ",\"ms\":1500") + "}");
}

// Half of a request with a large statement.
std::string half_of_large_request() {
  std::string begin = "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"lookup\",\"params\":{\"req\":\"" +
                      new_req() + "\",\"timeout\":4000,\"bytes\":\"";
  begin.append(kSentOfLargeBody - begin.size(), 'A');
  return "Content-Length: " + std::to_string(kLargeBodyBytes) + "\r\n\r\n" + begin;
}

struct UsualClient {
  int fd = -1;
  std::string first_req;
  std::string second;  // the whole message of the second request
  std::string received;
  double sent_at = 0;
  bool is_closed = false;
  bool has_answer() const { return received.find("\"id\":1,") != std::string::npos; }
};

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const std::string& folder) {
    const auto plan = [](const Engine::Started& query) {
      Plan out;
      out.run_ms = kRunMs;
      out.rows = "made for\t" + query.statement + "\tdone\n";
      return out;
    };
    std::vector<std::unique_ptr<Engine>> owned;
    std::vector<Engine*> engines;
    for (size_t i = 0; i < kEngines; ++i) {
      owned.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), plan));
      engines.push_back(owned.back().get());
    }
    Settings settings;
    settings.memory_mb = kMemoryMb;
    Gateway gateway(folder, 1, free_addresses(1)[0]);
    gateway.configure(settings, start_event_bus(), engines);
    gateway.start();
    gateway.wait_until_ready();

    std::vector<UsualClient> usual(kUsualClients);
    for (UsualClient& client : usual) {
      client.fd = connect_to(gateway.clients());
      client.first_req = new_req();
      client.sent_at = now_ms();
      if (!write_all(client.fd, request(1, client.first_req, "select 1 from lodges_1.rooms")))
        throw CannotRun("a usual client could not send its request");
      record("usual client sends %s", client.first_req.c_str());
    }
    sleep_ms(200);  // all of them are read by now
    for (UsualClient& client : usual) {
      client.second = request(2, new_req(), "select 2 from lodges_1.rooms");
      write_all(client.fd, client.second.substr(0, client.second.size() / 2));
    }
    record("each usual client has written half of its second request");

    std::vector<int> bad;
    if (has_trouble()) {
      for (int i = 0; i < kBadClients; ++i) {
        bad.push_back(connect_to(gateway.clients()));
        if (bad.back() < 0) throw CannotRun("a bad client could not connect");
        write_all(bad.back(), request(1, new_req(), "select 3 from lodges_1.rooms"));
      }
      for (const int fd : bad) write_all(fd, half_of_large_request());
      record("%d bad clients have sent a request and half of another", kBadClients);
    }
    sleep_ms(kPauseInRequestMs);
    for (UsualClient& client : usual) write_all(client.fd, client.second.substr(client.second.size() / 2));
    record("each usual client has written the rest of its second request");
    for (const int fd : bad) ::close(fd);
    if (!bad.empty()) record("the bad clients have closed");

    int served = 0, errors = 0, lost = 0;
    for (UsualClient& client : usual) {
      const double until = client.sent_at + kTimeoutMs + 500;
      while (!client.has_answer() && !client.is_closed && now_ms() < until)
        client.is_closed = !read_some(client.fd, client.received, until - now_ms());
      const bool is_served = client.received.find("\"id\":1,\"result\"") != std::string::npos;
      record("usual client %s: %s", client.first_req.c_str(),
             is_served             ? "served"
             : client.has_answer() ? "an error"
             : client.is_closed    ? "the connection ended with no answer"
                                   : "no answer in its time");
      ++(is_served ? served : client.has_answer() ? errors : lost);
      if (!client.has_answer())
        record("BROKEN: %s was taken, and its connection ended with no answer", client.first_req.c_str());
    }
    record("usual clients %d: served %d, answered with an error %d, without an answer %d", kUsualClients,
           served, errors, lost);
    if (!gateway.is_alive()) record("the gateway has ended");
    if (!has_trouble() && served == 0) throw CannotRun("nothing was served");
    finish(lost > 0 ? 1 : 0);
  });
}
