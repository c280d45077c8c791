// A cluster of gateway processes on loopback, with fake engines, an event bus and a fault-injecting proxy
// between the gateways (fault_proxy.h). Reads the processes' logs while they run.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/fake_deployment.h"
#include "fakes/fault_proxy.h"
#include "fakes/process.h"

namespace firvalve::fakes {

// The size of the cluster and the operator settings of its gateways.
struct GatewayClusterOptions {
  size_t gateways = 5, keepers = 3;  // the first `keepers` gateways are the acceptors
  int engines = 2;
  Ms lease = 1000;
  bool folders = true;  // each acceptor stores its state on disk
  std::vector<std::string> duties = {"trial:a"};
  uint64_t seed = 1;
  int memory_mb = 192;  // the limit of each gateway
};

// Owns the processes; the destructor kills them and deletes their files.
class GatewayCluster {
 public:
  GatewayCluster(std::string program, const GatewayClusterOptions& options);
  ~GatewayCluster();

  size_t size() const { return members_.size(); }
  Process& process(size_t i) { return *members_[i].process; }
  bool up(size_t i) const { return members_[i].up; }
  void kill(size_t i);                     // SIGKILL
  int end(size_t i);                       // SIGTERM; returns the exit code
  void start(size_t i);                    // restarts it at the same addresses
  void forget(size_t i);                   // deletes its stored state
  void pause(size_t i), resume(size_t i);  // SIGSTOP, SIGCONT
  void rewrite(size_t i, const std::string& from, const std::string& to);  // edits its operator file

  FaultProxy& proxy() { return *proxy_; }
  FakeDeployment& engines() { return engines_; }
  const std::string& clients(size_t i) const { return members_[i].clients; }  // address for clients
  const std::string& peers(size_t i) const { return members_[i].real; }  // address it listens on for peers
  const std::string& name(size_t i) const { return members_[i].name; }   // its address at the proxy
  std::string folder(size_t i) const;
  std::string operator_file(size_t i) const;

  // The log of gateway `i` since its first start.
  std::string log(size_t i) const;
  // How often an event was logged, by one gateway (in lines that contain `with`) or by all.
  size_t count(size_t i, const std::string& event, const std::string& with = {}) const;
  size_t count(const std::string& event) const;
  // The gateway whose log says that it holds this lease now; none if no gateway or more than one does.
  std::optional<size_t> holder(const std::string& lease) const;
  bool ready() const;  // every lease of `duties` has a holder, except those with a wildcard

  // The clock of the processes' leases, in ms.
  static Ms clock();

 private:
  struct Member {
    std::string clients, real, name, log;
    std::unique_ptr<Process> process;
    bool up = false;
  };

  const std::string program_;
  const GatewayClusterOptions options_;
  std::string directory_;  // for logs, operator files and stored state
  FakeHost host_;
  std::unique_ptr<FaultProxy> proxy_;
  FakeDeployment engines_;
  std::vector<Member> members_;
  struct LogReader {
    size_t offset = 0;
    std::map<std::string, Ms> expiry_by_lease;
  };
  mutable std::vector<LogReader> log_readers_;
};

}  // namespace firvalve::fakes
