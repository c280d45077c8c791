// A client writes a request slowly on a connection that has rested. The request must be answered.
#include "../stand-ins-2/harness.h"

using namespace review;

namespace {

constexpr double kRestMs = 3800;   // clients close connections that have rested for 4 s
constexpr double kWriteMs = 1200;  // from the request's first byte to its last

bool holds() {
  Deployment deployment;
  deployment.add_engines(2);
  deployment.add_gateway();
  deployment.start_all(false);
  const std::string& gateway = deployment.gateway(1).listen();
  std::atomic<int> answered{0}, lost{0}, first_failed{0};
  std::vector<std::thread> clients;
  for (int number = 0; number < 8; ++number)
    clients.emplace_back([&, number] {
      sleep_ms(40 * number);
      Client client(gateway);
      const Reply first = client.ask("lookup", command_params(new_id(), 4000, 25, "select 1"), 4500);
      if (!first.is_result) {
        ++first_failed;
        return;
      }
      sleep_ms(kRestMs);
      const std::string id = new_id();
      const std::string body =
          "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"lookup\",\"params\":" +
          command_params(id, 4000, 25, "select * from lodges_1.rooms where id = '" + id + "'") + "}";
      const std::string message = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      const double begun_at = now_ms();
      const size_t pieces = has_trouble() ? 12 : 1;
      for (size_t i = 0; i < pieces; ++i) {
        if (i > 0)
          sleep_until(begun_at + kWriteMs * static_cast<double>(i) / static_cast<double>(pieces - 1));
        const size_t from = message.size() * i / pieces, to = message.size() * (i + 1) / pieces;
        client.write(message.substr(from, to - from));
      }
      const double written_at = now_ms();
      const Reply reply = client.receive(5000);
      ++(reply.has_come ? answered : lost);
      record("client %d: %s, written from %.0f to %.0f ms after its begin: %s %.80s", number, id.c_str(), 0.0,
             written_at - begun_at,
             reply.has_come    ? "answered"
             : reply.is_closed ? "the connection has ended without an answer"
                               : "no answer",
             reply.text.c_str());
    });
  for (std::thread& client : clients) client.join();
  record("answered %d, without an answer %d", answered.load(), lost.load());
  if (first_failed > 0) throw CannotRun("a first request was not served");
  return lost == 0;
}

}  // namespace

int main() { return run_case(holds); }
