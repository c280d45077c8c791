// One connection to an engine: it carries one call at a time and reads its response.
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
  // What the connection is used for at present.
  enum class Task {
    kIdle,
    kAttempt,         // it starts an attempt, or polls it
    kSideCall,        // a call beside the attempt's own: a cancel, or an update of its priority
    kIgnoreResponse,  // its attempt has been cancelled: nothing else may use it before the response has come
  };

  // Who owns the connection: each function is called once an event, and may close it.
  class Owner {
   public:
    virtual void handle_connected(EngineConnection& connection, TimePoint now) = 0;
    // status 0: the response cannot be used.
    virtual void handle_response(EngineConnection& connection, const proto::HttpResponse& response) = 0;
    virtual void handle_lost(EngineConnection& connection, CloseReason reason) = 0;
    virtual void evict(EngineConnection& connection) = 0;

   protected:
    ~Owner() = default;
  };

  // address: HOST:PORT. Connects; throws Poco::Exception where the address cannot be read.
  EngineConnection(Owner& owner, Loop& loop, Metrics& metrics, uint32_t engine, const std::string& address,
                   size_t max_body_bytes);

  const uint32_t engine;
  const std::string address;  // may be another engine's by now
  Task task = Task::kIdle;
  AttemptId attempt{};            // of all tasks but kIdle
  std::string side_call;          // of kSideCall: the request
  bool finishes_attempt = false;  // of kSideCall: the cancel with whose response the attempt ends
  bool carries_start = false;     // of kAttempt: its call is the attempt's start
  TimePoint since;                // idle, connecting or at its call

  bool is_evictable() const override { return task == Task::kIdle; }
  void evict() override { owner_.evict(*this); }

 protected:
  void on_connected() override { owner_.handle_connected(*this, loop_.now()); }
  void on_bytes() override;
  void on_end(End end) override { owner_.handle_lost(*this, close_reason_of(end)); }

 private:
  Owner& owner_;
  Metrics& metrics_;
  proto::HttpResponseReader reader_;
};

}  // namespace firvalve::net
