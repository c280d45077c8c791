// JSON-RPC 2.0 over TCP between clients and gateways, as the gateway uses it: framing by a Content-Length
// header, parsing of requests, and serialization of answers.
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
// Far larger than any statement written by hand.
constexpr size_t kMaxRpcBodyBytes = size_t{128} * 1024;
// For receiving a complete message. A client that stops within a message must be disconnected within 3 s.
constexpr Duration kRpcMessageTimeout = std::chrono::milliseconds(2000);
// For a connection without open calls. Clients close idle connections after 4 s.
constexpr Duration kRpcIdleTimeout = std::chrono::milliseconds(4500);
constexpr size_t kMaxRpcOpenCalls = 32;  // per connection, set by the protocol
// For agreeing on a change of a topic, if the client sends no timeout.
constexpr Duration kDefaultTopicTimeout = std::chrono::milliseconds(5000);

// Splits the received bytes into messages. After kMalformed the stream cannot be resynchronized.
class RpcFrames {
 public:
  explicit RpcFrames(size_t max_body_bytes = kMaxRpcBodyBytes) : max_body_bytes_(max_body_bytes) {}
  // The body is valid until the next in.prepare().
  ReadResult next(ReadBuffer& in, std::span<char>& body);
  bool is_in_message() const { return in_body_; }
  // How many bytes of the current message's body have not been received yet; 0 if none or if its header is
  // incomplete, too.
  size_t missing_body_bytes(const ReadBuffer& in) const;
  // Drops the incomplete message. Returns how many bytes of it have not been received yet: the caller must
  // skip them before it calls next() again.
  size_t abandon_message(ReadBuffer& in);

 private:
  ReadResult read_head(ReadBuffer& in);

  size_t max_body_bytes_;
  bool in_body_ = false;
  size_t body_bytes_ = 0;
};

// A request. The kind determines which of the other fields are valid. The views are slices of the message.
struct RpcCall {
  enum class Kind { kCommand, kRunOnce, kTopic, kRevoke, kHeartbeat, kPage, kRelease, kInvalid };
  Kind kind = Kind::kInvalid;
  bool has_id = false;
  int64_t id = 0;
  // kInvalid: the error to answer with.
  int error_code = 0;
  const char* error_message = "";
  // kCommand, kRunOnce.
  std::string_view profile;  // kTopic: the method
  std::string_view command;  // command id, 16 hex digits; kRevoke: the command to revoke, not validated
  // Retry marker: the command id of the first try in a chain of retries; empty: no marker. Not validated.
  std::string_view first_command;
  Duration timeout{}, estimate{};  // timeout: also valid for kTopic
  double memory_mb = 0;
  std::string statement;  // decoded copy, outlives the message; kTopic: all params as JSON
  bool is_paged = false;  // the client requests the rows as pages
  // The key that the pages of the result are bound to; empty: none. Also valid for kPage and kRelease.
  std::string_view key;
  // kRunOnce: the name under which the command runs once in the whole cluster. kTopic: the topic's name.
  std::string_view name;
  // kPage, kRelease.
  std::string_view token;
  uint64_t page = 0;  // kPage: the requested page, from 1; 0: missing or invalid
  // kRevoke: the id of the request to revoke; 0: only the command id is given.
  int64_t revoked_id = 0;
};

bool is_topic_method(std::string_view method);
bool is_command_id(std::string_view text);  // 16 hex digits

// Parses a message in place, which modifies it. The byte after the message must be writable.
RpcCall read_call(std::span<char> body);

// Searches the beginning of an incomplete request for its id. Empty: the id is not among the first
// kMaxIdPrefixBytes bytes, or is not a valid one.
constexpr size_t kMaxIdPrefixBytes = 4096;  // bounds the time of a search
std::optional<int64_t> find_request_id(std::string_view incomplete_body);

// Each function appends an answer as a complete message with its header.
void append_result(std::string& out, int64_t id, std::string_view rows);
void append_heartbeat_reply(std::string& out, int64_t id, bool is_healthy, bool reads_retry_markers = false);
void append_error(std::string& out, int64_t id, bool has_id, int code, std::string_view message);
void append_shed(std::string& out, int64_t id, std::optional<Duration> retry_after);
void append_paged(std::string& out, int64_t id, std::string_view token, uint64_t page_count,
                  uint64_t row_count, std::string_view first_page);
void append_page(std::string& out, int64_t id, uint64_t page, uint64_t page_count, std::string_view rows);
void append_released(std::string& out, int64_t id);
void append_json_result(std::string& out, int64_t id, std::string_view json);
// violations: a JSON array.
void append_rejected_change(std::string& out, int64_t id, std::string_view violations);
// Error codes of topic requests.
constexpr int kRpcChangeRejected = -32010, kRpcNoQuorum = -32011, kRpcOutcomeUnknown = -32012;
constexpr int kRpcFailed = -32000, kRpcShed = -32001, kRpcResultGone = -32002, kRpcNoSuchPage = -32003,
              kRpcUnreadable = -32700;
// Error codes that JSON-RPC 2.0 defines.
constexpr int kRpcBadRequest = -32600, kRpcNoMethod = -32601, kRpcBadParams = -32602;

}  // namespace firvalve::proto
