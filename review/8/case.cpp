// A connection is reset under a request for a run-once job, and the client asks again. A result must be
// whole.
#include "../stand-ins-2/harness.h"

using namespace review;

namespace {

bool holds() {
  std::string all_rows;
  std::vector<std::string> pages;
  for (int page = 0; page < 3; ++page) {
    std::string rows;
    for (int row = 0; row < 60; ++row)
      rows += "guest " + std::to_string(page * 60 + row) + "\tcabin " + std::to_string(row) + "\tloaded\n";
    pages.push_back(rows);
    all_rows += rows;
  }
  const std::string statement = "insert into sales_17.orders select * from staging.new";
  Deployment deployment;
  deployment.add_engines(2);
  for (auto& engine : deployment.engines) {
    engine->run_ms = [](const std::string&) { return 1000.0; };
    engine->pages_of = [&](const std::string&, const std::string&) { return pages; };
  }
  deployment.add_cluster(3, 2000);
  deployment.start_all(true);
  const auto params = [&] {
    return command_params(new_id(), 15000, 2000, statement, ",\"name\":\"night-1\",\"profile\":\"load\"");
  };
  record("the job's result has %zu bytes", all_rows.size());
  Reply reply;
  Client first(deployment.gateway(1).listen());
  first.send("merge", params());
  record("client: asks gateway 1 for the run-once job night-1");
  reply = first.receive(has_trouble() ? 700 : 16000);
  if (!reply.has_come) {
    first.reset();
    record("client: its connection is reset; it waits and asks gateway 2 for the same job");
    sleep_ms(1500);
    Client second(deployment.gateway(2).listen());
    reply = second.ask("merge", params(), 16000);
  }
  size_t starts = 0;
  for (const auto& engine : deployment.engines) starts += engine->runs().size();
  record("client: %s of %zu bytes of rows; starts %zu; %s", reply.is_result ? "a result" : "no result",
         reply.rows.size(), starts, reply.text.substr(0, 200).c_str());
  if (!reply.has_come) throw CannotRun("no answer");
  return !reply.is_result || reply.rows == all_rows;
}

}  // namespace

int main() { return run_case(holds); }
