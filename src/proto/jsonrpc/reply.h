// The client side of the JSON-RPC protocol in rpc.h: serialization of requests and parsing of answers. Used
// by the client library, not by the gateway.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "proto/jsonrpc/rpc.h"

namespace firvalve::proto {

// The longest statement that fits in a message after base64 encoding, with 1024 bytes for the other fields.
constexpr size_t kMaxRpcStatementBytes = (kMaxRpcBodyBytes - 1024) / 4 * 3;

// A command, as append_command() writes it.
struct RpcCommand {
  int64_t id = 0;
  std::string_view profile, statement;
  std::string_view command_id;  // 16 hex digits
  // Retry marker: the command id of the first try in a chain of retries; empty: no marker is sent.
  std::string_view first_command_id;
  Ms timeout = 0, estimate = 0;
  double memory_mb = 0;
  bool paged = false;              // requests the rows as pages
  std::string_view key = {};       // the key that the pages are bound to; empty: none
  std::string_view run_once = {};  // the name of a run-once job of the cluster; empty: an ordinary command
};
void append_command(std::string& out, const RpcCommand& command);
// Requests a page of a result, or the release of the result.
struct RpcPageRequest {
  int64_t id = 0;
  std::string_view token, key;
  uint64_t page = 0;  // from 1; 0: releases the result
};
void append_page_call(std::string& out, const RpcPageRequest& request);
// Appends a call of any method; params is a JSON object, which is sent unchanged.
void append_method(std::string& out, int64_t id, std::string_view method, std::string_view params);
// Returns params with the topic's name and the timeout added. Empty: params is not a JSON object.
std::optional<std::string> add_topic_params(std::string_view topic, const std::string& params, Ms timeout);
void append_revoke(std::string& out, int64_t id, std::string_view command_id);
void append_heartbeat(std::string& out, int64_t id);

// An answer. The kind determines which of the other fields are valid.
struct RpcReply {
  enum class Kind { kRows, kShed, kFailed, kHeartbeat, kUnreadable };
  Kind kind = Kind::kUnreadable;
  bool has_id = false;
  int64_t id = 0;
  // kRows: the decoded rows; of a topic call: the result as JSON. kFailed: the violations of a rejected topic
  // change as JSON.
  std::string rows;
  std::string token;                       // kRows of a paged command
  uint64_t page_count = 0, row_count = 0;  // kRows of a paged command; page_count: also with every page
  Ms retry_after_ms = 0;                   // kShed; 0: missing or not a valid time
  int code = 0;                            // kShed, kFailed
  std::string message;                     // kShed, kFailed
  // kHeartbeat; reads_retry_markers: the gateway reads first_command_id.
  bool is_healthy = false, reads_retry_markers = false;
};

// Parses a message in place, which modifies it. The byte after the message must be writable.
RpcReply read_reply(std::span<char> body);

}  // namespace firvalve::proto
