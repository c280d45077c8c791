// Starts the gateway processes with their operator files and reads their logs.
#include "fakes/gateway_cluster.h"

#include <fmt/format.h>
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "base/monotonic_clock.h"

namespace firvalve::fakes {

namespace {

std::string read_file(const std::string& path, size_t from = 0) {
  std::ifstream file(path);
  file.seekg(static_cast<std::streamoff>(from));
  std::stringstream all;
  all << file.rdbuf();
  return all.str();
}

std::string field(const std::string& line, const std::string& name) {
  const std::string start = "\"" + name + "\":\"";
  const size_t at = line.find(start);
  if (at == std::string::npos) return {};
  const size_t from = at + start.size();
  return line.substr(from, line.find('"', from) - from);
}

std::string json_list(const std::vector<std::string>& all) {
  std::string text;
  for (const std::string& one : all) text += (text.empty() ? "\"" : ", \"") + one + "\"";
  return "[" + text + "]";
}

}  // namespace

GatewayCluster::GatewayCluster(std::string program, const GatewayClusterOptions& options)
    : program_(std::move(program)), options_(options), engines_(options.engines) {
  char name[] = "/tmp/firvalve-clients-XXXXXX";
  if (!::mkdtemp(name)) throw std::runtime_error("no folder for load clients");
  directory_ = name;
  proxy_ = std::make_unique<FaultProxy>(host_, options.seed);
  std::vector<std::string> keepers;
  const std::vector<std::string> free = free_addresses(3 * options.gateways);
  for (size_t i = 0; i < options.gateways; ++i) {
    Member& member = members_.emplace_back();
    member.clients = free[3 * i];
    member.real = free[3 * i + 1];
    member.name = proxy_->add_gateway(member.real, free[3 * i + 2]);
    member.log = fmt::format("{}/{}.log", directory_, i);
    if (i < options.keepers) keepers.push_back(member.name);
  }
  log_readers_.resize(options.gateways);
  for (size_t i = 0; i < options.gateways; ++i) {
    const std::string kept =
        i < options.keepers && options.folders ? fmt::format(R"("folder": "{}", )", folder(i)) : "";
    std::ofstream(operator_file(i)) << fmt::format(
        R"({{"fleet": {{"on": true, "site": "here", "listen": "{}", "reached_at": "{}", "keepers": {}, {})"
        R"("lease_ms": {}, "duties": {}}}, "log": {{"level": "debug", "form": "json"}}}})",
        members_[i].real, members_[i].name, json_list(keepers), kept, options.lease,
        json_list(options.duties));
  }
  for (size_t i = 0; i < options.gateways; ++i) start(i);
}

GatewayCluster::~GatewayCluster() {
  members_.clear();
  proxy_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string GatewayCluster::folder(size_t i) const { return fmt::format("{}/{}.kept", directory_, i); }
std::string GatewayCluster::operator_file(size_t i) const {
  return fmt::format("{}/{}.json5", directory_, i);
}

void GatewayCluster::start(size_t i) {
  Member& member = members_[i];
  if (member.process)
    member.process->start();
  else
    member.process =
        std::make_unique<Process>(program_, engines_.config(member.clients, options_.memory_mb),
                                  std::vector<std::string>{"--operator", operator_file(i)}, member.log);
  member.up = true;
}

void GatewayCluster::kill(size_t i) {
  members_[i].up = false;
  members_[i].process->stop(SIGKILL);
}

int GatewayCluster::end(size_t i) {
  members_[i].process->signal(SIGTERM);
  const int code = members_[i].process->wait();
  members_[i].up = false;
  return code;
}

void GatewayCluster::forget(size_t i) {
  std::error_code ignored;
  std::filesystem::remove_all(folder(i), ignored);
}

void GatewayCluster::pause(size_t i) { members_[i].process->signal(SIGSTOP); }
void GatewayCluster::resume(size_t i) { members_[i].process->signal(SIGCONT); }

void GatewayCluster::rewrite(size_t i, const std::string& from, const std::string& to) {
  std::string text = read_file(operator_file(i));
  const size_t at = text.find(from);
  if (at == std::string::npos) throw std::runtime_error("the operator file does not contain: " + from);
  text.replace(at, from.size(), to);
  std::ofstream(operator_file(i), std::ios::trunc) << text;
}

std::string GatewayCluster::log(size_t i) const { return read_file(members_[i].log); }

size_t GatewayCluster::count(size_t i, const std::string& event, const std::string& with) const {
  std::istringstream lines(log(i));
  size_t all = 0;
  for (std::string line; std::getline(lines, line);)
    all += field(line, "event") == event && line.find(with) != std::string::npos;
  return all;
}

size_t GatewayCluster::count(const std::string& event) const {
  size_t all = 0;
  for (size_t i = 0; i < size(); ++i) all += count(i, event);
  return all;
}

Ms GatewayCluster::clock() { return boot_clock_ms(); }

std::optional<size_t> GatewayCluster::holder(const std::string& lease) const {
  std::optional<size_t> found;
  for (size_t i = 0; i < size(); ++i) {
    LogReader& reader = log_readers_[i];
    const std::string text = read_file(members_[i].log, reader.offset);
    const size_t end = text.rfind('\n');
    if (end != std::string::npos) {
      reader.offset += end + 1;
      std::istringstream lines(text.substr(0, end + 1));
      for (std::string line; std::getline(lines, line);) {
        const std::string event = field(line, "event"), name = field(line, "lease");
        if (event == "lease.acquired" || event == "lease.renewed")
          reader.expiry_by_lease[name] = std::strtod(field(line, "until_ms").c_str(), nullptr);
        else if (event == "lease.released" || event == "lease.lost")
          reader.expiry_by_lease.erase(name);
        else if (event == "gateway.serving")
          reader.expiry_by_lease.clear();  // restarted: leases of the earlier process are gone
      }
    }
    const auto at = reader.expiry_by_lease.find(lease);
    if (!up(i) || at == reader.expiry_by_lease.end() || at->second <= clock()) continue;
    if (found) return {};
    found = i;
  }
  return found;
}

bool GatewayCluster::ready() const {
  for (const std::string& lease : options_.duties)
    if (!lease.ends_with("*") && !holder(lease)) return false;
  return true;
}

}  // namespace firvalve::fakes
