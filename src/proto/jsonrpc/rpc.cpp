#include "proto/jsonrpc/rpc.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <iterator>

#include "proto/base64.h"
#include "proto/head.h"
#include "proto/json.h"

namespace firvalve::proto {
namespace {

using rapidjson::Value;

std::string_view text_of(const Value& v) { return {v.GetString(), v.GetStringLength()}; }

bool put_text(const Value& params, const char* name, std::string_view& out) {
  const Value* v = member(params, name);
  if (!v || !v->IsString()) return false;
  out = text_of(*v);
  return true;
}

// A figure of zero or more; what is absent is left as it was.
bool put_figure(const Value& params, const char* name, double& out) {
  const Value* v = member(params, name);
  if (!v) return true;
  if (!v->IsNumber() || !(v->GetDouble() >= 0)) return false;
  out = v->GetDouble();
  return true;
}

RpcCall invalid(RpcCall call, int code, const char* why) {
  call.kind = RpcCall::Kind::kInvalid;
  call.code = code;
  call.why = why;
  return call;
}

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

bool is_bulletin_method(std::string_view method) {
  return method == "bulletin" || method == "propose" || method == "deprecate" || method == "retire" ||
         method == "declare" || method == "withdraw";
}

bool is_command_id(std::string_view text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

Read RpcFrames::next(Inbox& in, std::span<char>& body) {
  if (!in_body_) {
    const size_t end = head_end(in.text().substr(0, kRpcHeadMost));
    if (end == std::string_view::npos) return in.text().size() >= kRpcHeadMost ? Read::kBroken : Read::kMore;
    std::string_view head = in.text().substr(0, end);
    bool found = false;
    for (std::string_view line = take_line(head); !line.empty(); line = take_line(head)) {
      const auto field = field_of(line);
      if (!field) return Read::kBroken;
      if (!same_name(field->name, "Content-Length")) continue;
      const auto length = whole_number(field->value, static_cast<int64_t>(most_));
      if (!length || found) return Read::kBroken;
      found = true;
      length_ = static_cast<size_t>(*length);
    }
    if (!found || length_ == 0) return Read::kBroken;
    in.used(end);
    in_body_ = true;
  }
  if (in.held().size() < length_) return Read::kMore;
  body = in.held().first(length_);
  in.used(length_);
  in_body_ = false;
  return Read::kWhole;
}

RpcCall read_call(std::span<char> body) {
  RpcCall call;
  rapidjson::Document message;
  if (!parse_in_place(body, message)) return invalid(call, kRpcUnreadable, "not JSON");
  if (!message.IsObject()) return invalid(call, kRpcBadRequest, "not a request");
  if (const Value* id = member(message, "id")) {
    if (!id->IsInt64() || id->GetInt64() < 1)
      return invalid(call, kRpcBadRequest, "id is no number from 1 up");
    call.has_id = true;
    call.id = id->GetInt64();
  }
  std::string_view version;
  if (!put_text(message, "jsonrpc", version) || version != "2.0")
    return invalid(call, kRpcBadRequest, "not 2.0");
  if (!put_text(message, "method", call.profile)) return invalid(call, kRpcBadRequest, "no method");
  const Value* params = member(message, "params");
  // With a body they are commands: a deployment may have profiles of these names.
  const bool has_body = params && params->IsObject() && member(*params, "bytes");
  if (call.profile == "heartbeat" && !has_body) {
    call.kind = RpcCall::Kind::kHeartbeat;
    return call;
  }
  if (!params || !params->IsObject()) return invalid(call, kRpcBadParams, "no params");
  if (call.profile == "revoke" && !has_body) {
    call.kind = RpcCall::Kind::kRevoke;
    put_text(*params, "req", call.command);
    if (const Value* id = member(*params, "id"); id && id->IsInt64()) call.revoked = id->GetInt64();
    return call;
  }
  if (!call.has_id) return invalid(call, kRpcBadRequest, "no id");
  put_text(*params, "key", call.key);
  // With a token they are about pages; without one a deployment may have profiles of these names.
  if ((call.profile == "page" || call.profile == "release") && put_text(*params, "token", call.token)) {
    call.kind = call.profile == "page" ? RpcCall::Kind::kPage : RpcCall::Kind::kRelease;
    if (const Value* page = member(*params, "page"); page && page->IsUint64()) call.page = page->GetUint64();
    return call;
  }
  // About a bulletin that is named; without a name a deployment may have profiles of these names.
  if (is_bulletin_method(call.profile) && put_text(*params, "bulletin", call.name)) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    params->Accept(writer);
    call.statement.assign(text.GetString(), text.GetSize());
    call.timeout = kRpcBulletinMost;
    put_figure(*params, "timeout", call.timeout);
    call.kind = RpcCall::Kind::kBulletin;
    return call;
  }
  // A command that runs once under a name; without one a deployment may have a profile of this name.
  const bool merge = call.profile == "merge" && put_text(*params, "name", call.name);
  if (merge && !put_text(*params, "profile", call.profile)) return invalid(call, kRpcBadParams, "no profile");
  if (const Value* paged = member(*params, "paged")) call.paged = paged->IsBool() && paged->GetBool();
  std::string_view bytes;
  if (!put_text(*params, "req", call.command) || !is_command_id(call.command))
    return invalid(call, kRpcBadParams, "req is not 16 hex digits");
  put_text(*params, "first", call.first);
  if (!member(*params, "timeout") || !put_figure(*params, "timeout", call.timeout) || call.timeout < 1)
    return invalid(call, kRpcBadParams, "timeout is not a number of milliseconds");
  if (!put_figure(*params, "ms", call.estimate) || !put_figure(*params, "mem", call.memory_mb))
    return invalid(call, kRpcBadParams, "an estimate is not a number");
  if (!put_text(*params, "bytes", bytes)) return invalid(call, kRpcBadParams, "no bytes");
  auto statement = from_base64(bytes);
  if (!statement) return invalid(call, kRpcBadParams, "bytes are not base64");
  call.statement = std::move(*statement);
  call.kind = merge ? RpcCall::Kind::kMerge : RpcCall::Kind::kCommand;
  return call;
}

void append_result(std::string& out, int64_t id, std::string_view rows) {
  append_rows(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"bytes":")", id), rows);
}

void append_paged(std::string& out, int64_t id, std::string_view token, uint64_t pages, uint64_t all_rows,
                  std::string_view first_page) {
  append_rows(
      out,
      fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"token":"{}","pages":{},"rows":{},"bytes":")", id,
                  token, pages, all_rows),
      first_page);
}

void append_page(std::string& out, int64_t id, uint64_t page, uint64_t pages, std::string_view rows) {
  append_rows(
      out,
      fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"page":{},"pages":{},"bytes":")", id, page, pages),
      rows);
}

void append_released(std::string& out, int64_t id) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"released":true}}}})", id));
}

void append_healthy(std::string& out, int64_t id, bool healthy, bool marks) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{{"healthy":{}{}}}}})", id, healthy,
                                  marks ? R"(,"marks":true)" : ""));
}

void append_json_result(std::string& out, int64_t id, std::string_view json) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"result":{}}})", id, json));
}

void append_refused_change(std::string& out, int64_t id, std::string_view breaches) {
  append_message(out,
                 fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"refused: it would )"
                             R"(break subscribers or itself","data":{{"breaches":{}}}}}}})",
                             id, kRpcRefusedChange, breaches));
}

void append_error(std::string& out, int64_t id, bool has_id, int code, std::string_view message) {
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"{}"}}}})",
                                  has_id ? std::to_string(id) : "null", code, message));
}

void append_shed(std::string& out, int64_t id, double stay_away_ms) {
  std::string data;
  if (stay_away_ms > 0) data = fmt::format(R"(,"data":{{"holdoff":{:.0f}}})", stay_away_ms);
  append_message(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"error":{{"code":{},"message":"shed"{}}}}})",
                                  id, kRpcShed, data));
}

}  // namespace firvalve::proto
