// A gateway that does what a client library must survive, told by the statements it gets (script.h) and by
// what is set here. It runs nothing and sends nothing on.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"
#include "fakes/fault_script.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::fakes {

// From any thread.
class FakeGateway {
 public:
  explicit FakeGateway(FakeHost& host, const std::string& address = "127.0.0.1:0");
  ~FakeGateway();
  std::string address() const { return address_; }

  void kill(bool with_reset = false);  // all connections end, the address refuses
  void come_back();
  void set_healthy(bool healthy);
  void set_marks(bool marks);
  void set_mute(bool mute);  // accepts and reads, and says nothing

  struct Heard {
    std::string profile, statement, req, first;
    Ms timeout = 0, at = 0;
  };
  std::vector<Heard> heard() const;  // commands, in order
  int heard(const std::string& statement) const;
  int revoked() const;
  std::vector<Ms> accepted_at() const;  // of each connection, by monotonic_ms()

 private:
  class Session;
  void handle(Session& connection, std::span<char> body);
  void answer(Session& connection, int64_t id, const FaultScript& script, const std::string& statement);

  FakeHost& host_;
  std::string address_;
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  bool healthy_ = true, marks_ = false, mute_ = false;
  std::map<std::string, int> broken_;
  std::shared_ptr<bool> alive_;
  mutable std::mutex mutex_;
  std::vector<Heard> heard_;
  std::vector<Ms> accepted_;
  int revoked_ = 0;
};

}  // namespace firvalve::fakes
