#include "proto/jsonrpc/reply.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>
#include <iterator>

#include "proto/base64.h"
#include "proto/json.h"

namespace firvalve::proto {
namespace {

using rapidjson::Value;

constexpr size_t kMessageMost = 200;  // bytes kept of an error's text

std::string quoted(std::string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return {buffer.GetString(), buffer.GetSize()};
}

std::string text_of(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

void append_framed(std::string& out, std::string_view body) {
  fmt::format_to(std::back_inserter(out), "Content-Length: {}\r\n\r\n", body.size());
  out += body;
}

void read_error(const Value& error, RpcReply& reply) {
  reply.kind = RpcReply::Kind::kFailed;
  const Value* code = member(error, "code");
  if (code && code->IsInt()) reply.code = code->GetInt();
  if (const Value* text = member(error, "message"); text && text->IsString())
    reply.message.assign(text->GetString(), std::min<size_t>(text->GetStringLength(), kMessageMost));
  const Value* data = member(error, "data");
  const bool has_data = data && data->IsObject();
  if (reply.code == kRpcChangeRejected && has_data)
    if (const Value* breaches = member(*data, "breaches")) reply.rows = text_of(*breaches);
  if (reply.code != kRpcShed) return;
  reply.kind = RpcReply::Kind::kShed;
  if (!has_data) return;
  // Advice that is no time is none: it must neither hold a client off for good nor let it hammer.
  const Value* holdoff = member(*data, "holdoff");
  if (holdoff && holdoff->IsNumber() && std::isfinite(holdoff->GetDouble()))
    reply.holdoff = std::max(0.0, holdoff->GetDouble());
}

}  // namespace

void append_command(std::string& out, const RpcCommand& c) {
  std::string body = fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":{},"params":{{"req":"{}",)", c.id,
                                 quoted(c.merge.empty() ? c.profile : "merge"), c.req);
  if (!c.merge.empty())
    fmt::format_to(std::back_inserter(body), R"("name":{},"profile":{},)", quoted(c.merge),
                   quoted(c.profile));
  if (!c.first.empty()) fmt::format_to(std::back_inserter(body), R"("first":"{}",)", c.first);
  if (c.paged) body += R"("paged":true,)";
  if (!c.key.empty()) fmt::format_to(std::back_inserter(body), R"("key":{},)", quoted(c.key));
  fmt::format_to(std::back_inserter(body), R"("timeout":{:.0f},"ms":{:.1f},"mem":{:.1f},"bytes":")",
                 std::max(1.0, std::floor(c.timeout)), c.estimate, c.memory_mb);
  append_base64(body, c.statement);
  body += R"("}})";
  append_framed(out, body);
}

void append_page_call(std::string& out, const RpcPage& p) {
  std::string body = fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":"{}","params":{{"token":{})", p.id,
                                 p.page == 0 ? "release" : "page", quoted(p.token));
  if (p.page != 0) fmt::format_to(std::back_inserter(body), R"(,"page":{})", p.page);
  if (!p.key.empty()) fmt::format_to(std::back_inserter(body), R"(,"key":{})", quoted(p.key));
  body += "}}";
  append_framed(out, body);
}

void append_method(std::string& out, int64_t id, std::string_view method, std::string_view params) {
  append_framed(
      out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":{},"params":{}}})", id, quoted(method), params));
}

std::optional<std::string> add_topic_params(std::string_view topic, const std::string& params, Ms timeout) {
  rapidjson::Document d;
  d.Parse<rapidjson::kParseIterativeFlag>(params.data(), params.size());
  if (d.HasParseError() || !d.IsObject()) return {};
  d.RemoveMember("bulletin");
  d.RemoveMember("timeout");
  Value name(topic.data(), static_cast<rapidjson::SizeType>(topic.size()), d.GetAllocator());
  d.AddMember("bulletin", name, d.GetAllocator());
  d.AddMember("timeout", std::max(1.0, std::floor(timeout)), d.GetAllocator());
  return text_of(d);
}

void append_revoke(std::string& out, int64_t id, std::string_view req) {
  append_framed(
      out, fmt::format(R"({{"jsonrpc":"2.0","method":"revoke","params":{{"id":{},"req":"{}"}}}})", id, req));
}

void append_heartbeat(std::string& out, int64_t id) {
  append_framed(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":"heartbeat","params":{{}}}})", id));
}

RpcReply read_reply(std::span<char> body) {
  RpcReply reply;
  rapidjson::Document message;
  if (!parse_in_place(body, message) || !message.IsObject()) return reply;
  if (const Value* id = member(message, "id"); id && id->IsInt64()) {
    reply.has_id = true;
    reply.id = id->GetInt64();
  }
  if (const Value* error = member(message, "error"); error && error->IsObject()) {
    read_error(*error, reply);
    return reply;
  }
  const Value* result = member(message, "result");
  if (!reply.has_id || !result || !result->IsObject()) return reply;
  if (const Value* healthy = member(*result, "healthy"); healthy && healthy->IsBool()) {
    reply.kind = RpcReply::Kind::kHeartbeat;
    reply.healthy = healthy->GetBool();
    const Value* marks = member(*result, "marks");
    reply.marks = marks && marks->IsBool() && marks->GetBool();
    return reply;
  }
  if (const Value* released = member(*result, "released"); released && released->IsBool()) {
    reply.kind = RpcReply::Kind::kRows;
    return reply;
  }
  if (member(*result, "version") || member(*result, "versions") || member(*result, "agreed")) {
    reply.kind = RpcReply::Kind::kRows;
    reply.rows = text_of(*result);
    return reply;
  }
  if (const Value* token = member(*result, "token"); token && token->IsString())
    reply.token.assign(token->GetString(), token->GetStringLength());
  if (const Value* pages = member(*result, "pages"); pages && pages->IsUint64())
    reply.pages = pages->GetUint64();
  if (const Value* rows = member(*result, "rows"); rows && rows->IsUint64())
    reply.all_rows = rows->GetUint64();
  const Value* bytes = member(*result, "bytes");
  if (!bytes || !bytes->IsString()) return reply;
  auto rows = from_base64({bytes->GetString(), bytes->GetStringLength()});
  if (!rows) return reply;
  reply.rows = std::move(*rows);
  reply.kind = RpcReply::Kind::kRows;
  return reply;
}

}  // namespace firvalve::proto
