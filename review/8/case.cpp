// Two timers ask for one run-once job with different statements, and the first gives up. Nobody may be served
// with what another statement made.
#include "../stand-ins-2/harness.h"

using namespace review;

namespace {

constexpr double kLinkMs = 40;  // messages between gateways "take 3.1 to 40 ms"

bool holds() {
  const std::string first_statement = "insert into sales_17.orders select * from staging.monday";
  const std::string other_statement = "insert into sales_17.orders select * from staging.tuesday";
  Deployment deployment;
  deployment.add_engines(6);
  for (auto& engine : deployment.engines) {
    engine->run_ms = [](const std::string&) { return 500.0; };
    engine->pages_of = [](const std::string&, const std::string& statement) {
      return std::vector<std::string>{"made\tby\t" + statement + "\n"};
    };
  }
  deployment.add_cluster(3, 4000, kLinkMs);
  deployment.start_all(true);
  sleep_ms(500);
  const auto params = [&](const std::string& statement, const std::string& id = new_id()) {
    return command_params(id, 12000, 1000, statement, ",\"name\":\"night-1\",\"profile\":\"load\"");
  };
  Gateway& gateway = deployment.gateway(1);
  Client first(gateway.listen()), other(gateway.listen());
  const std::string first_id = new_id();
  const int first_number = first.send("merge", params(first_statement, first_id));
  record("first timer, gateway 1: asks for night-1: %s", first_statement.c_str());
  sleep_ms(20);
  other.send("merge", params(other_statement));
  record("other timer, gateway 1: asks for night-1: %s", other_statement.c_str());
  if (has_trouble()) {
    gateway.wait_for_event("lease.acquired", 5000, 1);
    sleep_ms(40);
    first.send("revoke", "{\"id\":" + std::to_string(first_number) + ",\"req\":\"" + first_id + "\"}");
    record("first timer: stops waiting and sends revoke");
  } else {
    const Reply reply = first.receive(14000);
    record("first timer: %s rows: %s", reply.text.c_str(), reply.rows.c_str());
  }
  const Reply other_reply = other.receive(14000);
  record("other timer: %s rows: %s", other_reply.text.c_str(), other_reply.rows.c_str());
  Client again(deployment.gateway(2).listen());
  const Reply reply = again.ask("merge", params(first_statement), 14000);
  record("first timer again, gateway 2: %s rows: %s", reply.text.c_str(), reply.rows.c_str());
  for (const auto& engine : deployment.engines)
    for (const Run& run : engine->runs())
      record("run at %s: %s", engine->name().c_str(), run.statement.c_str());
  if (!reply.has_come) throw CannotRun("no answer");
  return !reply.is_result || reply.rows == "made\tby\t" + first_statement + "\n";
}

}  // namespace

int main() { return run_case(holds); }
