// The clients' end of the JSON-RPC in rpc.h: what a client writes to a gateway and what the answers say.
// Used by the client library; the gateway itself needs none of it.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "proto/jsonrpc/rpc.h"

namespace firvalve::proto {

// The longest statement that a gateway reads: base64 and the fields round it fill a message.
constexpr size_t kMaxRpcStatementBytes = (kMaxRpcBodyBytes - 1024) / 4 * 3;

struct RpcCommand {
  int64_t id = 0;
  std::string_view profile, statement;
  std::string_view req;    // 16 hex digits
  std::string_view first;  // the first req of a chain of repeats; empty: not told
  Ms timeout = 0, estimate = 0;
  double memory_mb = 0;
  bool paged = false;           // the rows are wanted as pages
  std::string_view key = {};    // that the pages are bound to; empty: nothing
  std::string_view merge = {};  // it runs once under this name over the whole fleet; empty: as any command
};
void append_command(std::string& out, const RpcCommand& command);
struct RpcPage {
  int64_t id = 0;
  std::string_view token, key;
  uint64_t page = 0;  // from 1; 0: the result is released
};
void append_page_call(std::string& out, const RpcPage& page);
// Any method with params as they are: a JSON object.
void append_method(std::string& out, int64_t id, std::string_view method, std::string_view params);
// A JSON object with the bulletin's name and the time-out put in; none: it is no object.
std::optional<std::string> add_topic_params(std::string_view topic, const std::string& params, Ms timeout);
void append_revoke(std::string& out, int64_t id, std::string_view req);
void append_heartbeat(std::string& out, int64_t id);

// One answer. The kind tells which of the other fields mean anything.
struct RpcReply {
  enum class Kind { kRows, kShed, kFailed, kHeartbeat, kUnreadable };
  Kind kind = Kind::kUnreadable;
  bool has_id = false;
  int64_t id = 0;
  std::string rows;   // kRows, decoded; of a bulletin, or a change of one refused (kFailed), JSON as it came
  std::string token;  // kRows of a paged command
  uint64_t pages = 0, all_rows = 0;     // the same; pages with any page
  Ms holdoff = 0;                       // kShed; 0: none, or none that is a time
  int code = 0;                         // kShed, kFailed
  std::string message;                  // the same
  bool healthy = false, marks = false;  // kHeartbeat; marks: the gateway reads `first`
};

// Reads a message, which is changed on the way. The byte behind it must be writable.
RpcReply read_reply(std::span<char> body);

}  // namespace firvalve::proto
