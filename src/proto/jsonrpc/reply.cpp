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

constexpr size_t kMaxErrorMessageBytes = 200;  // longer error messages are truncated

std::string quoted(std::string_view text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
  return {buffer.GetString(), buffer.GetSize()};
}

std::string to_json(const Value& value) {
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
  const Value* code = find_member(error, "code");
  if (code && code->IsInt()) reply.code = code->GetInt();
  if (const Value* text = find_member(error, "message"); text && text->IsString())
    reply.message.assign(text->GetString(), std::min<size_t>(text->GetStringLength(), kMaxErrorMessageBytes));
  const Value* data = find_member(error, "data");
  const bool has_data = data && data->IsObject();
  if (reply.code == kRpcChangeRejected && has_data)
    if (const Value* violations = find_member(*data, "breaches")) reply.rows = to_json(*violations);
  if (reply.code != kRpcShed) return;
  reply.kind = RpcReply::Kind::kShed;
  if (!has_data) return;
  // An invalid retry delay is ignored: it must neither block the client forever nor make it retry at once.
  const Value* holdoff = find_member(*data, "holdoff");
  if (holdoff && holdoff->IsNumber() && std::isfinite(holdoff->GetDouble()))
    reply.retry_after_ms = std::max(0.0, holdoff->GetDouble());
}

}  // namespace

void append_command(std::string& out, const RpcCommand& command) {
  std::string body =
      fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":{},"params":{{"req":"{}",)", command.id,
                  quoted(command.run_once.empty() ? command.profile : "merge"), command.command_id);
  if (!command.run_once.empty())
    fmt::format_to(std::back_inserter(body), R"("name":{},"profile":{},)", quoted(command.run_once),
                   quoted(command.profile));
  if (!command.first_command_id.empty())
    fmt::format_to(std::back_inserter(body), R"("first":"{}",)", command.first_command_id);
  if (command.paged) body += R"("paged":true,)";
  if (!command.key.empty()) fmt::format_to(std::back_inserter(body), R"("key":{},)", quoted(command.key));
  fmt::format_to(std::back_inserter(body), R"("timeout":{:.0f},"ms":{:.1f},"mem":{:.1f},"bytes":")",
                 std::max(1.0, std::floor(command.timeout)), command.estimate, command.memory_mb);
  append_base64(body, command.statement);
  body += R"("}})";
  append_framed(out, body);
}

void append_page_call(std::string& out, const RpcPageRequest& request) {
  std::string body = fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":"{}","params":{{"token":{})",
                                 request.id, request.page == 0 ? "release" : "page", quoted(request.token));
  if (request.page != 0) fmt::format_to(std::back_inserter(body), R"(,"page":{})", request.page);
  if (!request.key.empty()) fmt::format_to(std::back_inserter(body), R"(,"key":{})", quoted(request.key));
  body += "}}";
  append_framed(out, body);
}

void append_method(std::string& out, int64_t id, std::string_view method, std::string_view params) {
  append_framed(
      out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":{},"params":{}}})", id, quoted(method), params));
}

std::optional<std::string> add_topic_params(std::string_view topic, const std::string& params, Ms timeout) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(params.data(), params.size());
  if (document.HasParseError() || !document.IsObject()) return {};
  document.RemoveMember("bulletin");
  document.RemoveMember("timeout");
  Value name(topic.data(), static_cast<rapidjson::SizeType>(topic.size()), document.GetAllocator());
  document.AddMember("bulletin", name, document.GetAllocator());
  document.AddMember("timeout", std::max(1.0, std::floor(timeout)), document.GetAllocator());
  return to_json(document);
}

void append_revoke(std::string& out, int64_t id, std::string_view command_id) {
  append_framed(out, fmt::format(R"({{"jsonrpc":"2.0","method":"revoke","params":{{"id":{},"req":"{}"}}}})",
                                 id, command_id));
}

void append_heartbeat(std::string& out, int64_t id) {
  append_framed(out, fmt::format(R"({{"jsonrpc":"2.0","id":{},"method":"heartbeat","params":{{}}}})", id));
}

RpcReply read_reply(std::span<char> body) {
  RpcReply reply;
  rapidjson::Document message;
  if (!parse_in_place(body, message) || !message.IsObject()) return reply;
  if (const Value* id = find_member(message, "id"); id && id->IsInt64()) {
    reply.has_id = true;
    reply.id = id->GetInt64();
  }
  if (const Value* error = find_member(message, "error"); error && error->IsObject()) {
    read_error(*error, reply);
    return reply;
  }
  const Value* result = find_member(message, "result");
  if (!reply.has_id || !result || !result->IsObject()) return reply;
  if (const Value* healthy = find_member(*result, "healthy"); healthy && healthy->IsBool()) {
    reply.kind = RpcReply::Kind::kHeartbeat;
    reply.is_healthy = healthy->GetBool();
    const Value* marks = find_member(*result, "marks");
    reply.reads_retry_markers = marks && marks->IsBool() && marks->GetBool();
    return reply;
  }
  if (const Value* released = find_member(*result, "released"); released && released->IsBool()) {
    reply.kind = RpcReply::Kind::kRows;
    return reply;
  }
  if (find_member(*result, "version") || find_member(*result, "versions") || find_member(*result, "agreed")) {
    reply.kind = RpcReply::Kind::kRows;
    reply.rows = to_json(*result);
    return reply;
  }
  if (const Value* token = find_member(*result, "token"); token && token->IsString())
    reply.token.assign(token->GetString(), token->GetStringLength());
  if (const Value* pages = find_member(*result, "pages"); pages && pages->IsUint64())
    reply.page_count = pages->GetUint64();
  if (const Value* rows = find_member(*result, "rows"); rows && rows->IsUint64())
    reply.row_count = rows->GetUint64();
  const Value* bytes = find_member(*result, "bytes");
  if (!bytes || !bytes->IsString()) return reply;
  auto rows = from_base64({bytes->GetString(), bytes->GetStringLength()});
  if (!rows) return reply;
  reply.rows = std::move(*rows);
  reply.kind = RpcReply::Kind::kRows;
  return reply;
}

}  // namespace firvalve::proto
