// The clients' side: the listener, their connections, and the calls open on them.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <map>
#include <memory>

#include "core/cluster_requests.h"
#include "core/core.h"
#include "net/connection.h"
#include "net/connection_end.h"
#include "proto/jsonrpc/rpc.h"

namespace firvalve::net {

class ClientServer : public ResponseSink {
 public:
  ClientServer(Loop& loop, Metrics& counters);
  ~ClientServer() override;

  void due(Ms now);  // ends connections that have had their time, and accepts again once there is room
  Ms next_due() const { return look_at_; }
  size_t unsent() const;  // bytes of answers that clients have not taken yet
  // The gateway ends, and everything taken has its answer: accepts no more and ends the connections. True
  // once none is left that could lose anything; until then it is called again each turn.
  bool leave(Ms now);

  void read_pages(ResultStore& shelf) { shelf_ = &shelf; }
  void ask_fleet(ClusterRequests& fleet) { fleet_ = &fleet; }
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }
  void read_marks(bool on) { marks_ = on; }  // of repeats; the operator's wish
  void listen(const std::string& address, Core& core);
  void answer(CallId call, std::string_view rows) override;
  void shed(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, std::string_view why) override;
  void answer_paged(CallId call, ResultHandle result) override;

 private:
  class ClientConnection;
  struct Open {
    ClientConnection* connection = nullptr;
    int64_t id = 0;
    std::string key;  // that its pages are bound to
  };

  void accept_on(bool on);
  void on_accept(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) { accept(); }
  void accept();
  void reply(CallId call, const std::function<void(std::string&, int64_t)>& append);
  void reply(CallId call, const ClusterRequests::Reply& told);
  ClientConnection* close_call(CallId call, int64_t& id);  // null: no such call
  void gone(Ms now, CallId call);                          // its client waits no longer

  Loop& loop_;
  Metrics& counters_;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  ClusterRequests* fleet_ = nullptr;  // none: this gateway is in no fleet
  ResultStore* shelf_ = nullptr;      // none: there are no paged answers
  Poco::Net::ServerSocket listener_;
  bool accepting_ = false, marks_ = false, left_ = false;
  Ms look_at_ = 0, leaving_since_ = 0;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::map<CallId, Open> open_;
  CallId last_call_{};
};

}  // namespace firvalve::net
