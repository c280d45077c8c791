// The clients' side: the listener, their connections, and the calls open on them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/cluster_requests.h"
#include "core/core.h"
#include "net/close_reason.h"
#include "net/connection.h"
#include "net/listener.h"

namespace firvalve::net {

class ClientConnection;

// Each call taken in gets exactly one answer, unless its client went first. The loop's thread alone.
class ClientServer : public ResponseSink {
 public:
  // Both outlive this.
  ClientServer(Loop& loop, Metrics& metrics);
  ~ClientServer() override;

  // Before listen(); what they refer to outlives this.
  void set_result_store(ResultStore& result_store) { result_store_ = &result_store; }
  void set_cluster(ClusterRequests& cluster) { cluster_ = &cluster; }
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }
  // Whether the marks of repeated commands are read: as the operator's file has it.
  void set_reads_retry_markers(bool on) { reads_retry_markers_ = on; }
  // Throws Poco::Exception where the address cannot be listened on.
  void listen(const std::string& address, Core& core);

  void run_due(TimePoint now);  // ends connections whose time is over, and accepts again
  std::optional<TimePoint> next_due() const { return check_at_; }
  size_t unsent_bytes() const;  // of answers that clients have not received yet
  // For the shutdown, once everything taken in has its answer: accepts no more and closes the connections.
  // True once none is left that could lose anything; until then it is called again each turn.
  bool close_connections(TimePoint now);

  void answer(CallId call, std::string_view rows) override;
  void shed(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, std::string_view reason) override;
  void answer_paged(CallId call, ResultHandle result) override;

 private:
  friend class ClientConnection;

  struct OpenCall {
    ClientConnection* connection = nullptr;
    int64_t id = 0;   // the client's
    std::string key;  // that its pages are bound to
  };
  struct ClosedCall {
    ClientConnection* connection = nullptr;
    int64_t id = 0;
  };
  using AppendReply = std::function<void(std::string& out, int64_t id)>;

  void accept(const Poco::Net::StreamSocket& socket);
  void accept_all_pending();
  CallId next_call() { return last_call_ = next_after(last_call_); }
  std::optional<ClosedCall> close_call(CallId call);  // none: there is no such call
  void reply(CallId call, const AppendReply& append);
  void reply(CallId call, const ClusterRequests::Reply& cluster_reply);
  void handle_client_gone(TimePoint now, CallId call);
  void forget(ClientConnection& connection, CloseReason reason, size_t open_calls);

  Loop& loop_;
  Metrics& metrics_;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  ClusterRequests* cluster_ = nullptr;   // null: this gateway is in no cluster
  ResultStore* result_store_ = nullptr;  // null: there are no paged answers
  Listener listener_;
  bool reads_retry_markers_ = false, is_listener_closed_ = false;
  std::optional<TimePoint> check_at_, all_lingering_since_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::map<CallId, OpenCall> open_calls_;
  CallId last_call_{};
};

}  // namespace firvalve::net
