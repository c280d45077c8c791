// A connection to an engine. It carries one HTTP request at a time and reads the response.
#pragma once

#include <string>

#include "core/ids.h"
#include "core/metrics.h"
#include "net/close_reason.h"
#include "net/connection.h"
#include "proto/store/http.h"

namespace firvalve::net {

class EngineConnection : public Connection {
 public:
  // What the connection is currently used for.
  enum class Task {
    kIdle,
    kAttempt,          // starts or polls an attempt
    kControlRequest,   // cancels an attempt or updates its priority
    kDiscardResponse,  // the attempt was cancelled; the connection is blocked until the response has arrived
  };

  // Receives the events of the connection. Each function is called once per event and may close the
  // connection.
  class Owner {
   public:
    virtual void handle_connection_established(EngineConnection& connection, TimePoint now) = 0;
    // A response with status 0 is malformed or unsolicited.
    virtual void handle_response(EngineConnection& connection, const proto::HttpResponse& response) = 0;
    virtual void handle_connection_lost(EngineConnection& connection, CloseReason reason) = 0;
    virtual void evict(EngineConnection& connection, CloseReason reason) = 0;

   protected:
    ~Owner() = default;
  };

  // Connects to address (HOST:PORT). Throws Poco::Exception if the address is malformed.
  EngineConnection(Owner& owner, Loop& loop, Metrics& metrics, uint32_t engine, const std::string& address,
                   size_t max_body_bytes);

  const uint32_t engine;
  const std::string address;  // may have been reassigned to another engine since
  Task task = Task::kIdle;
  AttemptId attempt{};            // valid unless the task is kIdle
  std::string control_request;    // kControlRequest: the serialized request
  bool finishes_attempt = false;  // kControlRequest: a cancel whose response ends the attempt
  bool carries_start = false;     // kAttempt: the request in flight is the start of the attempt
  TimePoint timeout_started_at;   // start of the connect, idle or response timeout

  bool is_evictable() const override { return task == Task::kIdle; }
  void evict(EvictionReason reason) override { owner_.evict(*this, close_reason_of(reason)); }

 protected:
  void on_connected() override { owner_.handle_connection_established(*this, loop_.now()); }
  void on_bytes() override;
  void on_end(End end) override { owner_.handle_connection_lost(*this, close_reason_of(end)); }

 private:
  Owner& owner_;
  Metrics& metrics_;
  proto::HttpResponseReader reader_;
};

}  // namespace firvalve::net
