// A second copy of some good answers arrives some milliseconds late. Every answer must be the client's own.
#include "../stand-ins-2/harness.h"

using namespace review;

namespace {

constexpr int kClients = 4;
constexpr double kLengthMs = 10000;
constexpr int kOneIn = 20;          // good answers that are followed by a second copy
constexpr double kCopyDelayMs = 4;  // "some milliseconds late"

struct Counts {
  std::atomic<int> served{0}, refused{0}, failed{0}, unanswered{0}, foreign{0};
};

void run_client(const std::string& gateway, double until, Counts& counts) {
  Client client(gateway);
  while (now_ms() < until && client.is_up()) {
    const std::string id = new_id();
    const Reply reply = client.ask(
        "lookup", command_params(id, 4000, 25, "select * from lodges_1.rooms where id = '" + id + "'"), 4500);
    if (!reply.has_come) {
      ++counts.unanswered;
      record("client: %s has no answer", id.c_str());
      client.close();
    } else if (reply.is_result && reply.rows != id + "\tof\tthis\n") {
      ++counts.foreign;
      record("client: %s is served with the rows of another command: %s", id.c_str(), reply.rows.c_str());
    } else if (reply.is_result) {
      ++counts.served;
      record("client: %s is served its own rows", id.c_str());
    } else {
      ++(reply.code == -32001 ? counts.refused : counts.failed);
      record("client: %s gets error %d", id.c_str(), reply.code);
    }
    sleep_ms(2);
  }
}

bool holds() {
  std::atomic<int> good_answers{0}, copies{0};
  std::mutex mutex;
  std::vector<std::thread> copiers;
  Deployment deployment;
  deployment.add_engines(2);
  for (auto& engine : deployment.engines) {
    engine->run_ms = [](const std::string&) { return 25.0; };
    engine->after_answer = [&](int fd, const std::string& id, const std::string& text) {
      if (++good_answers % kOneIn != 0 || !has_trouble()) return;
      ++copies;
      record("engine: the answer of %s comes a second time in %.0f ms", id.c_str(), kCopyDelayMs);
      const int copy = ::dup(fd);
      const std::lock_guard lock(mutex);
      copiers.emplace_back([copy, text] {
        sleep_ms(kCopyDelayMs);
        write_all(copy, text);
        ::close(copy);
      });
    };
  }
  deployment.add_gateway();
  deployment.start_all(false);
  Counts counts;
  std::vector<std::thread> clients;
  const double until = now_ms() + kLengthMs;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back(run_client, deployment.gateway(1).listen(), until, std::ref(counts));
  for (std::thread& client : clients) client.join();
  for (std::thread& copier : copiers) copier.join();
  record("good answers %d, copies %d; served %d, refused %d, failed %d, unanswered %d, foreign %d",
         good_answers.load(), copies.load(), counts.served.load(), counts.refused.load(),
         counts.failed.load(), counts.unanswered.load(), counts.foreign.load());
  if (counts.served < 50) throw CannotRun("too few commands were served");
  return counts.foreign == 0;
}

}  // namespace

int main() { return run_case(holds); }
