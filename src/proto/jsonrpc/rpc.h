// The clients' JSON-RPC 2.0 over TCP: messages behind a Content-Length head, and what they say.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "proto/read_buffer.h"

namespace firvalve::proto {

constexpr size_t kMaxRpcHeadBytes = 1024;
constexpr size_t kMaxRpcBodyBytes =
    size_t{128} * 1024;  // of a message: a statement, well past any written by hand
// For a message to arrive whole: a client that stops within one is owed the end within 3 s.
constexpr Duration kRpcMessageTimeout = std::chrono::milliseconds(2000);
// Without an open call: clients themselves close after 4 s.
constexpr Duration kRpcIdleTimeout = std::chrono::milliseconds(4500);
constexpr size_t kMaxRpcOpenCalls = 32;  // a connection, by the protocol
// For a change of a topic to be agreed, where its client does not say.
constexpr Duration kDefaultTopicTimeout = std::chrono::milliseconds(5000);

// Finds the next message in what was read. Broken framing is final.
class RpcFrames {
 public:
  explicit RpcFrames(size_t max_body_bytes = kMaxRpcBodyBytes) : max_body_bytes_(max_body_bytes) {}
  ReadResult next(ReadBuffer& in,
                  std::span<char>& body);  // the body is good until the read_buffer's next prepare()
  bool is_in_message() const { return in_body_; }

 private:
  ReadResult read_head(ReadBuffer& in);

  size_t max_body_bytes_;
  bool in_body_ = false;
  size_t body_bytes_ = 0;
};

// One request. The kind says which of the other fields mean anything; the views are slices of the message.
struct RpcCall {
  enum class Kind { kCommand, kRunOnce, kTopic, kRevoke, kHeartbeat, kPage, kRelease, kInvalid };
  Kind kind = Kind::kInvalid;
  bool has_id = false;
  int64_t id = 0;
  // kInvalid: the error that it is answered with.
  int error_code = 0;
  const char* error_message = "";
  // kCommand, kRunOnce.
  std::string_view profile;        // of kTopic: the method
  std::string_view command;        // 16 hex digits; of kRevoke: the command to be revoked, not checked
  std::string_view first_command;  // a repeat's mark: the first id of its chain; empty: no mark; not checked
  Duration timeout{}, estimate{};  // of kTopic, too: timeout
  double memory_mb = 0;
  std::string statement;  // decoded: it outlives the message; of kTopic: all params as JSON
  bool is_paged = false;  // its rows are wanted as pages
  std::string_view key;   // what its pages are bound to; empty: nothing; of kPage and kRelease, too
  // kRunOnce: the name under which the command runs once over the whole cluster. kTopic: the topic.
  std::string_view name;
  // kPage, kRelease.
  std::string_view token;
  uint64_t page = 0;  // kPage: the one wanted, from 1; 0: missing, or none that can be
  // kRevoke: the id of the request to be revoked; 0: it is named by its command alone.
  int64_t revoked_id = 0;
};

bool is_topic_method(std::string_view method);
bool is_command_id(std::string_view text);  // 16 hex digits

// Reads a message, which is changed on the way. The byte behind the message must be writable.
RpcCall read_call(std::span<char> body);

// The answers, each appended as a whole message.
void append_result(std::string& out, int64_t id, std::string_view rows);
void append_heartbeat_reply(std::string& out, int64_t id, bool is_healthy, bool reads_retry_markers = false);
void append_error(std::string& out, int64_t id, bool has_id, int code, std::string_view message);
void append_shed(std::string& out, int64_t id, std::optional<Duration> retry_after);
void append_paged(std::string& out, int64_t id, std::string_view token, uint64_t pages, uint64_t rows,
                  std::string_view first_page);
void append_page(std::string& out, int64_t id, uint64_t page, uint64_t pages, std::string_view rows);
void append_released(std::string& out, int64_t id);
void append_json_result(std::string& out, int64_t id, std::string_view json);
void append_rejected_change(std::string& out, int64_t id, std::string_view violations);         // a JSON list
constexpr int kRpcChangeRejected = -32010, kRpcNoQuorum = -32011, kRpcOutcomeUnknown = -32012;  // of a topic
constexpr int kRpcFailed = -32000, kRpcShed = -32001, kRpcResultGone = -32002, kRpcNoSuchPage = -32003,
              kRpcUnreadable = -32700;
constexpr int kRpcBadRequest = -32600, kRpcNoMethod = -32601, kRpcBadParams = -32602;  // as JSON-RPC has them

}  // namespace firvalve::proto
