// The clients' JSON-RPC 2.0 over TCP: messages behind a Content-Length head, and what they say.
#pragma once

#include <cstdint>
#include <string>

#include "base/units.h"
#include "proto/inbox.h"

namespace firvalve::proto {

constexpr size_t kRpcHeadMost = 1024;        // bytes of a head
constexpr size_t kRpcBodyMost = 128 * 1024;  // bytes of a message: a statement, well past any sent by hand
constexpr Ms kRpcPartMost = 2000;    // for a message to come whole: such clients are owed an end within 3 s
constexpr Ms kRpcIdleMost = 4500;    // without a call open: clients themselves close after 4 s
constexpr size_t kRpcOpenMost = 32;  // open requests a connection, by the protocol

// Finds the next message in what is held. Broken framing is final.
class RpcFrames {
 public:
  explicit RpcFrames(size_t most = kRpcBodyMost) : most_(most) {}  // bytes of a message
  Read next(Inbox& in, std::span<char>& body);  // the body is good until the inbox's next room()
  bool in_message() const { return in_body_; }

 private:
  size_t most_;
  bool in_body_ = false;
  size_t length_ = 0;
};

struct RpcCall {
  enum class Kind { kCommand, kMerge, kBulletin, kRevoke, kHeartbeat, kPage, kRelease, kInvalid, kUnread };
  Kind kind = Kind::kInvalid;
  bool has_id = false;
  int64_t id = 0;
  int code = 0;  // of the error that an invalid one gets
  const char* why = "";
  std::string_view profile, command;  // slices of the body
  std::string_view first;  // a repeat's mark: the first req of its chain; empty: not told; not checked
  // Of paged results:
  bool paged = false;           // a command whose rows are wanted as pages
  std::string_view key, token;  // slices; key: what its pages are bound to, empty: nothing
  // kMerge: a slice; the command runs once under it over the whole fleet. kBulletin: the bulletin's;
  // `profile` is what is asked for, `statement` all params as JSON.
  std::string_view name;
  uint64_t page = 0;    // kPage: the one wanted, from 1; 0: not told, or none that can be
  int64_t revoked = 0;  // the id of the request given up, 0: told by the command alone
  Ms timeout = 0, estimate = 0, memory_mb = 0;
  std::string statement;  // decoded: it outlives the message
};

constexpr Ms kRpcBulletinMost =
    5000;  // for a change of a bulletin to be agreed, where its client does not say

bool is_bulletin_method(std::string_view method);
bool is_command_id(std::string_view text);  // 16 hex digits

// Reads a message; slices point into the body, which is changed on the way. The byte behind the body must be
// writable.
RpcCall read_call(std::span<char> body);

void append_result(std::string& out, int64_t id, std::string_view rows);
void append_healthy(std::string& out, int64_t id, bool healthy, bool marks = false);
void append_error(std::string& out, int64_t id, bool has_id, int code, std::string_view message);
void append_shed(std::string& out, int64_t id, double stay_away_ms);
void append_paged(std::string& out, int64_t id, std::string_view token, uint64_t pages, uint64_t rows,
                  std::string_view first_page);
void append_page(std::string& out, int64_t id, uint64_t page, uint64_t pages, std::string_view rows);
void append_released(std::string& out, int64_t id);
void append_json_result(std::string& out, int64_t id, std::string_view json);
void append_refused_change(std::string& out, int64_t id, std::string_view breaches);        // a JSON list
constexpr int kRpcRefusedChange = -32010, kRpcNoMajority = -32011, kRpcMayBeMade = -32012;  // of a bulletin
constexpr int kRpcFailed = -32000, kRpcShed = -32001, kRpcGone = -32002, kRpcNoSuchPage = -32003,
              kRpcUnreadable = -32700;
constexpr int kRpcBadRequest = -32600, kRpcNoMethod = -32601, kRpcBadParams = -32602;  // as JSON-RPC has them

}  // namespace firvalve::proto
