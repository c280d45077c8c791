// The client-facing server: the listener, the client connections, and their open calls.
#pragma once

#include <cstdint>
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

// Each accepted call gets exactly one answer, unless its client disconnects or revokes it first. Must be used
// on the loop's thread only.
class ClientServer : public ResponseSink {
 public:
  // The loop and the metrics must outlive this object.
  ClientServer(Loop& loop, Metrics& metrics);
  ~ClientServer() override;

  // Must be called before listen(). The arguments must outlive this object.
  void set_result_store(ResultStore& result_store) { result_store_ = &result_store; }
  void set_cluster(ClusterRequests& cluster) { cluster_ = &cluster; }
  // Limits the memory of requests that wait in the cluster; one that would exceed it is rejected.
  void set_max_held_bytes(size_t bytes) { max_held_bytes_ = bytes; }
  void observe(ConnectionObserver observer) { observer_ = std::move(observer); }
  // Whether the retry markers of commands are read, as set in the operator's file.
  void set_reads_retry_markers(bool on) { reads_retry_markers_ = on; }
  // Throws Poco::Exception if it cannot listen on the address.
  void listen(const std::string& address, Core& core);

  void run_due(TimePoint now);  // closes connections that have timed out, and resumes accepting
  std::optional<TimePoint> next_due() const;
  size_t unsent_bytes() const;  // bytes of answers that were not handed to the kernel yet
  // For the shutdown, after all accepted calls were answered: stops listening and closes the connections.
  // Must be called each turn until it returns true: then no connection can lose data by the exit.
  bool close_connections(TimePoint now);

  void answer(CallId call, std::string_view rows) override;
  void shed(CallId call, std::optional<Duration> retry_after) override;
  void fail(CallId call, std::string_view reason) override;
  void answer_paged(CallId call, ResultHandle result) override;

 private:
  friend class ClientConnection;

  struct OpenCall {
    ClientConnection* connection = nullptr;
    int64_t id = 0;         // the client's request id
    std::string key;        // the key to which the pages of the result are bound
    size_t held_bytes = 0;  // as reserved by hold_bytes()
  };
  struct ClosedCall {
    ClientConnection* connection = nullptr;
    int64_t id = 0;
  };
  using AppendReply = std::function<void(std::string& out, int64_t id)>;

  void accept(const Poco::Net::StreamSocket& socket);
  void accept_all_pending();
  CallId next_call_id() { return last_call_ = next_after(last_call_); }
  // Reserves memory for a request that waits in the cluster, where nothing else bounds it. Returns false if
  // the limit does not allow it.
  bool hold_bytes(size_t bytes);
  void release_bytes(size_t bytes) { held_bytes_ -= bytes; }
  void forget_call(CallId call);
  std::optional<ClosedCall> close_call(CallId call);  // empty: the call is not open
  void reply(CallId call, const AppendReply& append);
  void reply(CallId call, const ClusterRequests::Reply& cluster_reply);
  void handle_client_gone(TimePoint now, CallId call);
  void remove_connection(ClientConnection& connection, CloseReason reason, size_t open_calls);
  // Calls ClientConnection::resume_input() at the time.
  void resume_input_at(ClientConnection& connection, TimePoint time) { waiting_[&connection] = time; }
  void resume_waiting(TimePoint now);

  Loop& loop_;
  Metrics& metrics_;
  Core* core_ = nullptr;
  ConnectionObserver observer_;
  ClusterRequests* cluster_ = nullptr;   // null: this gateway belongs to no cluster
  ResultStore* result_store_ = nullptr;  // null: paged answers are not supported
  Listener listener_;
  bool reads_retry_markers_ = false, is_listener_closed_ = false;
  std::optional<TimePoint> next_check_at_, all_lingering_since_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> connections_;
  std::map<ClientConnection*, TimePoint> waiting_;  // for the rate limit, with the time when each goes on
  std::map<CallId, OpenCall> open_calls_;
  size_t held_bytes_ = 0, max_held_bytes_ = SIZE_MAX;
  CallId last_call_{};
};

}  // namespace firvalve::net
