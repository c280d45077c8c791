// Several processes of the gateway's program as one fleet on loopback: engines and an event bus beside them,
// the network between them as it may fail (between.h), and what they log, as it comes.
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

struct LoadClientsOptions {
  size_t gateways = 5, keepers = 3;  // the keepers are the first
  int engines = 2;
  Ms lease = 1000;
  bool folders = true;  // keepers have one each
  std::vector<std::string> duties = {"trial:a"};
  uint64_t seed = 1;
};

class LoadClients {
 public:
  LoadClients(std::string program, const LoadClientsOptions& options);
  ~LoadClients();

  size_t size() const { return members_.size(); }
  Process& process(size_t i) { return *members_[i].process; }
  bool up(size_t i) const { return members_[i].up; }
  void kill(size_t i);                                                     // SIGKILL
  int end(size_t i);                                                       // SIGTERM; its exit code
  void start(size_t i);                                                    // again, at the same addresses
  void forget(size_t i);                                                   // what it had on disk
  void pause(size_t i), go_on(size_t i);                                   // SIGSTOP, SIGCONT
  void rewrite(size_t i, const std::string& from, const std::string& to);  // in its operator's file

  FaultProxy& between() { return *between_; }
  FakeDeployment& engines() { return engines_; }
  const std::string& clients(size_t i) const { return members_[i].clients; }  // where its clients connect
  const std::string& peers(size_t i) const { return members_[i].real; }       // where its peers' bytes arrive
  const std::string& name(size_t i) const { return members_[i].name; }        // as its peers know it
  std::string folder(size_t i) const;
  std::string operator_file(size_t i) const;

  // What it has logged since its first start.
  std::string log(size_t i) const;
  // How often an event was logged: by one, or by all.
  size_t count(size_t i, const std::string& event, const std::string& with = {}) const;
  size_t count(const std::string& event) const;
  // Who says that it may act for a duty now; none says so, or more than one do.
  std::optional<size_t> holder(const std::string& duty) const;
  bool ready() const;  // a majority of keepers takes part, every duty has its holder

  // The clock that the processes count their leases by, in ms.
  static Ms clock();

 private:
  struct Member {
    std::string clients, real, name, log;
    std::unique_ptr<Process> process;
    bool up = false;
  };

  const std::string program_;
  const LoadClientsOptions options_;
  std::string place_;  // a folder for all that they write
  FakeHost host_;
  std::unique_ptr<FaultProxy> between_;
  FakeDeployment engines_;
  std::vector<Member> members_;
  struct Read {
    size_t at = 0;
    std::map<std::string, Ms> holds;  // until when, by duty
  };
  mutable std::vector<Read> read_;
};

}  // namespace firvalve::fakes
