// A gateway's configuration for fake engines, and free loopback addresses.
#include "fakes/fake_deployment.h"

#include <Poco/Net/ServerSocket.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

namespace firvalve::fakes {

FakeDeployment::FakeDeployment(int engines, FakeEngine::Options options)
    : bus_(std::make_unique<FakeEventBus>(host_)) {
  for (int i = 0; i < engines; ++i) engines_.push_back(std::make_unique<FakeEngine>(host_, options));
}

std::string FakeDeployment::name_of(int engine) const { return fmt::format("s-{:08x}", 10 + engine); }

std::string gateway_config(const GatewayOptions& options, const std::string& listings) {
  constexpr std::string_view kProfile =
      R"({{"name":"{}","semantics":"{}","slo":{}000000,"credit":1.0,"deadline":{}000000}})";
  const std::string profiles = fmt::format(kProfile, "lookup", "idempotent", 800, 4000) + "," +
                               fmt::format(kProfile, "report", "idempotent", 5000, 20000) + "," +
                               fmt::format(kProfile, "load", "at_most_once", 5000, 20000);
  return fmt::format(
      R"({{"name":"n1","listen":"{}","seed":"8c1f30d27a5be964",)"
      R"("limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"bus":"{}",)"
      R"("known":{{"offset":1,"batch":[{}]}},)"
      R"("settings":{{"peers_total":{},"shapes":["std"],)"
      R"("specifics":{{"cores_by_kind":[8],"memory_by_kind_mb":[1000],"class_threads":[1,1,1]}},)"
      R"("ceilings":{{"cancel":true,"try_limit":1,"dial_timeout":250000000,"conn_idle":15000000000,)"
      R"("retry_after":true,"max_retry_after":5000000000}},)"
      R"("profiles":[{}]}}}})",
      options.listen, options.memory_mb, options.sockets, options.bus, topology(1, true, listings),
      options.gateways, profiles);
}

std::string FakeDeployment::config(const std::string& listen, int memory_mb, int sockets) const {
  std::string listings;
  for (size_t i = 0; i < engines_.size(); ++i)
    listings += fmt::format("{}{}", i ? "," : "",
                            listing(name_of(static_cast<int>(i)), engines_[i]->address(), "SERVING"));
  return gateway_config({listen, bus_->address(), memory_mb, sockets}, listings);
}

int FakeDeployment::runs(const std::string& statement) const {
  int total = 0;
  for (const auto& engine : engines_) total += engine->runs(statement);
  return total;
}
int FakeDeployment::max_runs_per_statement() const {
  int max = 0;
  for (const auto& engine : engines_) max = std::max(max, engine->max_runs_per_statement());
  return max;
}
int FakeDeployment::started() const {
  int total = 0;
  for (const auto& engine : engines_) total += engine->started();
  return total;
}

std::string free_address() {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return socket.address().toString();
}

std::vector<std::string> free_addresses(size_t count) {
  // Two listeners on one address share it, and each receives a part of the other's connections. Each process
  // therefore uses its own loopback host, derived from its process id.
  const auto pid = static_cast<unsigned>(::getpid());
  const std::string host = fmt::format("127.{}.{}.{}", 1 + pid / 62500 % 250, pid / 250 % 250, 1 + pid % 250);
  std::vector<Poco::Net::ServerSocket> sockets(count);
  std::vector<std::string> addresses;
  for (Poco::Net::ServerSocket& socket : sockets) {
    socket.bind(Poco::Net::SocketAddress(host, 0), false);
    addresses.push_back(socket.address().toString());
  }
  return addresses;
}

}  // namespace firvalve::fakes
