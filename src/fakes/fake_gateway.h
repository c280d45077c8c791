// A fake gateway that produces the faults a client library must handle. Statements (fault_script.h) and the
// setters below select them. It executes and forwards nothing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fakes/fake_host.h"
#include "fakes/fault_script.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::fakes {

// The public functions may be called from any thread.
class FakeGateway {
 public:
  explicit FakeGateway(FakeHost& host, const std::string& address = "127.0.0.1:0");
  ~FakeGateway();
  std::string address() const { return address_; }

  void kill(bool with_reset = false);  // ends all connections and refuses new ones
  void restart();                      // listens on the same address again
  void set_healthy(bool healthy);      // reported by heartbeat responses
  void set_marks(bool marks);          // heartbeat responses report support for retry markers
  void set_mute(bool mute);            // accepts connections and requests, and sends no response

  struct ReceivedCommand {
    std::string profile, statement, req, first;
    Ms timeout = 0, at = 0;
  };
  std::vector<ReceivedCommand> heard() const;     // received commands, in order
  int heard(const std::string& statement) const;  // number of commands with this statement
  int revoked() const;                            // number of cancellations received
  std::vector<Ms> accepted_at() const;            // when each connection was accepted, by monotonic_ms()

 private:
  class Session;
  void handle_request(Session& connection, std::span<char> body);
  void send_response(Session& connection, int64_t id, const FaultScript& script,
                     const std::string& statement);

  FakeHost& host_;
  std::string address_;
  std::unique_ptr<Listener> listener_;
  Connections<Session> connections_;
  bool is_healthy_ = true, reads_markers_ = false, is_mute_ = false;
  std::map<std::string, int> faults_applied_;
  std::shared_ptr<bool> alive_;
  mutable std::mutex mutex_;
  std::vector<ReceivedCommand> received_commands_;
  std::vector<Ms> accepted_at_;
  int revoked_ = 0;
};

}  // namespace firvalve::fakes
