#include "proto/jsonrpc/rpc.h"

#include <fmt/format.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <iterator>

#include "proto/base64.h"
#include "proto/head.h"
#include "proto/json.h"

namespace firvalve::proto {
namespace {

using rapidjson::Value;

std::string_view to_view(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

bool read_text(const Value& params, const char* name, std::string_view& out) {
  const Value* value = find_member(params, name);
  if (!value || !value->IsString()) return false;
  out = to_view(*value);
  return true;
}

// Reads a number that must not be negative. Leaves `out` unchanged if the member is missing.
bool read_number(const Value& params, const char* name, double& out) {
  const Value* value = find_member(params, name);
  if (!value) return true;
  if (!value->IsNumber() || !(value->GetDouble() >= 0)) return false;
  out = value->GetDouble();
  return true;
}

bool read_duration(const Value& params, const char* name, Duration& out) {
  Ms ms = to_ms(out);
  if (!read_number(params, name, ms)) return false;
  out = duration_of(ms);
  return true;
}

// Marks the call as invalid and returns false. The functions below that return its result read a part of a
// request into the call.
bool fail(RpcCall& call, int code, const char* message) {
  call.kind = RpcCall::Kind::kInvalid;
  call.error_code = code;
  call.error_message = message;
  return false;
}

bool read_envelope(const Value& message, RpcCall& call) {
  if (!message.IsObject()) return fail(call, kRpcBadRequest, "not a request");
  if (const Value* id = find_member(message, "id")) {
    if (!id->IsInt64() || id->GetInt64() < 1) return fail(call, kRpcBadRequest, "id is no number from 1 up");
    call.has_id = true;
    call.id = id->GetInt64();
  }
  std::string_view version;
  if (!read_text(message, "jsonrpc", version) || version != "2.0")
    return fail(call, kRpcBadRequest, "not 2.0");
  if (!read_text(message, "method", call.profile)) return fail(call, kRpcBadRequest, "no method");
  return true;
}

void read_revoke(const Value& params, RpcCall& call) {
  call.kind = RpcCall::Kind::kRevoke;
  read_text(params, "req", call.command);
  if (const Value* id = find_member(params, "id"); id && id->IsInt64()) call.revoked_id = id->GetInt64();
}

// Returns false if the call is not a page call. A call without a token is a command, since a profile may have
// the name of the method.
bool read_page_call(const Value& params, RpcCall& call) {
  if (call.profile != "page" && call.profile != "release") return false;
  if (!read_text(params, "token", call.token)) return false;
  call.kind = call.profile == "page" ? RpcCall::Kind::kPage : RpcCall::Kind::kRelease;
  if (const Value* page = find_member(params, "page"); page && page->IsUint64())
    call.page = page->GetUint64();
  return true;
}

// Returns false if the call is not a topic call. A call without a topic name is a command, since a profile
// may have the name of the method.
bool read_topic_call(const Value& params, RpcCall& call) {
  if (!is_topic_method(call.profile) || !read_text(params, "bulletin", call.name)) return false;
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  params.Accept(writer);
  call.statement.assign(text.GetString(), text.GetSize());
  call.timeout = kDefaultTopicTimeout;
  read_duration(params, "timeout", call.timeout);
  call.kind = RpcCall::Kind::kTopic;
  return true;
}

bool read_statement(const Value& params, RpcCall& call) {
  std::string_view bytes;
  if (!read_text(params, "bytes", bytes)) return fail(call, kRpcBadParams, "no bytes");
  auto statement = from_base64(bytes);
  if (!statement) return fail(call, kRpcBadParams, "bytes are not base64");
  call.statement = std::move(*statement);
  return true;
}

// The method `merge` with a name is a run-once job. Without a name it is a command, since a profile may be
// called `merge`.
bool read_command(const Value& params, RpcCall& call) {
  constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
  const bool runs_once = call.profile == "merge" && read_text(params, "name", call.name);
  if (runs_once && !read_text(params, "profile", call.profile))
    return fail(call, kRpcBadParams, "no profile");
  if (const Value* paged = find_member(params, "paged")) call.is_paged = paged->IsBool() && paged->GetBool();
  if (!read_text(params, "req", call.command) || !is_command_id(call.command))
    return fail(call, kRpcBadParams, "req is not 16 hex digits");
  read_text(params, "first", call.first_command);
  if (!find_member(params, "timeout") || !read_duration(params, "timeout", call.timeout) ||
      call.timeout < kMinTimeout)
    return fail(call, kRpcBadParams, "timeout is not a number of milliseconds");
  if (!read_duration(params, "ms", call.estimate) || !read_number(params, "mem", call.memory_mb))
    return fail(call, kRpcBadParams, "an estimate is not a number");
  if (!read_statement(params, call)) return false;
  call.kind = runs_once ? RpcCall::Kind::kRunOnce : RpcCall::Kind::kCommand;
  return true;
}

bool read_request(const Value& message, RpcCall& call) {
  if (!read_envelope(message, call)) return false;
  const Value* params = find_member(message, "params");
  const bool has_params = params && params->IsObject();
  // A call with a statement is a command, since a profile may be called `heartbeat` or `revoke`.
  const bool has_statement = has_params && find_member(*params, "bytes");
  if (call.profile == "heartbeat" && !has_statement) {
    call.kind = RpcCall::Kind::kHeartbeat;
    return true;
  }
  if (!has_params) return fail(call, kRpcBadParams, "no params");
  if (call.profile == "revoke" && !has_statement) {
    read_revoke(*params, call);
    return true;
  }
  if (!call.has_id) return fail(call, kRpcBadRequest, "no id");
  read_text(*params, "key", call.key);
  return read_page_call(*params, call) || read_topic_call(*params, call) || read_command(*params, call);
}

// Receives the tokens of a JSON text until it has read the member "id" of the outermost object.
class IdHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, IdHandler> {
 public:
  explicit IdHandler(const rapidjson::MemoryStream& text) : text_(text) {}
  std::optional<int64_t> id() const { return id_; }

  bool Key(const char* name, rapidjson::SizeType length, bool) {
    is_id_next_ = depth_ == 1 && std::string_view(name, length) == "id";
    return true;
  }
  bool StartObject() { return enter(); }
  bool EndObject(rapidjson::SizeType) { return leave(); }
  bool StartArray() { return enter(); }
  bool EndArray(rapidjson::SizeType) { return leave(); }
  bool Int(int value) { return read_number(value); }
  bool Uint(unsigned value) { return read_number(value); }
  bool Int64(int64_t value) { return read_number(value); }
  // Any other value: the search ends if it is the id's.
  bool Default() { return !is_id_next_; }

 private:
  bool enter() {
    ++depth_;
    return Default();
  }
  bool leave() {
    --depth_;
    return true;
  }
  bool read_number(int64_t value) {
    if (!is_id_next_) return true;
    const bool is_whole = text_.Tell() < text_.size_;  // else further digits may follow
    if (is_whole && value >= 1) id_ = value;
    return false;
  }

  const rapidjson::MemoryStream& text_;
  int depth_ = 0;
  bool is_id_next_ = false;
  std::optional<int64_t> id_;
};

void append_message(std::string& out, std::string_view body) {
  fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n\r\n", body.size());
  out += body;
}

void append_rows(std::string& out, std::string_view head, std::string_view rows) {
  constexpr std::string_view kTail = R"("}})";
  fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n\r\n{}",
                 head.size() + (rows.size() + 2) / 3 * 4 + kTail.size(), head);
  append_base64(out, rows);
  out += kTail;
}

}  // namespace

bool is_topic_method(std::string_view method) {
  return method == "bulletin" || method == "propose" || method == "deprecate" || method == "retire" ||
         method == "declare" || method == "withdraw";
}

bool is_command_id(std::string_view text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

ReadResult RpcFrames::next(ReadBuffer& in, std::span<char>& body) {
  if (!in_body_)
    if (const ReadResult head = read_head(in); head != ReadResult::kComplete) return head;
  if (in.unread().size() < body_bytes_) return ReadResult::kIncomplete;
  body = in.unread().first(body_bytes_);
  in.consume(body_bytes_);
  in_body_ = false;
  return ReadResult::kComplete;
}

ReadResult RpcFrames::read_head(ReadBuffer& in) {
  const size_t end = find_header_end(in.text().substr(0, kMaxRpcHeadBytes));
  if (end == std::string_view::npos)
    return in.text().size() >= kMaxRpcHeadBytes ? ReadResult::kMalformed : ReadResult::kIncomplete;
  std::string_view head = in.text().substr(0, end);
  bool has_length = false;
  for (std::string_view line = take_line(head); !line.empty(); line = take_line(head)) {
    const auto field = parse_header_field(line);
    if (!field) return ReadResult::kMalformed;
    if (!equals_ignore_case(field->name, "Content-Length")) continue;
    const auto length = parse_decimal(field->value, static_cast<int64_t>(max_body_bytes_));
    if (!length || has_length) return ReadResult::kMalformed;
    has_length = true;
    body_bytes_ = static_cast<size_t>(*length);
  }
  if (!has_length || body_bytes_ == 0) return ReadResult::kMalformed;
  in.consume(end);
  in_body_ = true;
  return ReadResult::kComplete;
}

size_t RpcFrames::missing_body_bytes(const ReadBuffer& in) const {
  return in_body_ && in.text().size() < body_bytes_ ? body_bytes_ - in.text().size() : 0;
}

size_t RpcFrames::abandon_message(ReadBuffer& in) {
  const size_t missing = missing_body_bytes(in);
  in.clear();
  in_body_ = false;
  return missing;
}

std::optional<int64_t> find_request_id(std::string_view incomplete_body) {
  const std::string_view prefix = incomplete_body.substr(0, kMaxIdPrefixBytes);
  rapidjson::MemoryStream text(prefix.data(), prefix.size());
  IdHandler handler(text);
  rapidjson::Reader reader;
  reader.Parse<rapidjson::kParseIterativeFlag>(text, handler);  // ends with an error where the text ends
  return handler.id();
}

RpcCall read_call(std::span<char> body) {
  RpcCall call;
  rapidjson::Document message;
  if (parse_in_place(body, message))
    read_request(message, call);
  else
    fail(call, kRpcUnreadable, "not JSON");
  return call;
}

void append_result(std::string& out, int64_t id, std::string_view rows) {
  append_rows(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"bytes":")", id), rows);
}

void append_paged(std::string& out, int64_t id, std::string_view token, uint64_t page_count,
                  uint64_t row_count, std::string_view first_page) {
  append_rows(
      out,
      fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"token":"{}","pages":{},"rows":{},"bytes":")", id,
                  token, page_count, row_count),
      first_page);
}

void append_page(std::string& out, int64_t id, uint64_t page, uint64_t page_count, std::string_view rows) {
  append_rows(out,
              fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"page":{},"pages":{},"bytes":")", id, page,
                          page_count),
              rows);
}

void append_released(std::string& out, int64_t id) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"released":true}}}})", id));
}

void append_heartbeat_reply(std::string& out, int64_t id, bool is_healthy, bool reads_retry_markers) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"healthy":{}{}}}}})", id,
                                  is_healthy, reads_retry_markers ? R"(,"marks":true)" : ""));
}

void append_json_result(std::string& out, int64_t id, std::string_view json) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{}}})", id, json));
}

void append_rejected_change(std::string& out, int64_t id, std::string_view violations) {
  append_message(out,
                 fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"refused: it would )"
                             R"(break subscribers or itself","data":{{"breaches":{}}}}}}})",
                             id, kRpcChangeRejected, violations));
}

void append_error(std::string& out, int64_t id, bool has_id, int code, std::string_view message) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"{}"}}}})",
                                  has_id ? std::to_string(id) : "null", code, message));
}

void append_shed(std::string& out, int64_t id, std::optional<Duration> retry_after) {
  std::string data;
  if (retry_after && *retry_after > Duration::zero())
    data = fmt::format(R"(,"data":{{"holdoff":{:.0f}}})", to_ms(*retry_after));
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"shed"{}}}}})",
                                  id, kRpcShed, data));
}

}  // namespace firvalve::proto
