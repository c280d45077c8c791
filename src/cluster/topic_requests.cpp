#include "cluster/topic_requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "schema/topic_codec.h"

namespace firvalve::cluster {

using schema::Change;
using Result = schema::Registry::Result;

namespace {

constexpr Duration kMinTimeout(1), kMaxTimeout(30000);  // bounds on the timeout that a client requests

Change::Kind kind_of(std::string_view method) {
  using Kind = Change::Kind;
  static constexpr std::pair<std::string_view, Kind> kMethods[] = {
      {"bulletin", Kind::kRead}, {"propose", Kind::kPropose}, {"deprecate", Kind::kDeprecate},
      {"retire", Kind::kRetire}, {"declare", Kind::kDeclare}, {"withdraw", Kind::kWithdraw}};
  for (const auto& [name, kind] : kMethods)
    if (method == name) return kind;
  return Kind::kRead;
}

TopicRequests::Reply reply_of(const Result& result) {
  using Kind = TopicRequests::Reply::Kind;
  switch (result.kind) {
    case Result::Kind::kAgreed:
      if (result.requested == Change::Kind::kRead) return {Kind::kDone, schema::encode(result.applied.after)};
      if (result.applied.version > 0)
        return {Kind::kDone, fmt::format(R"({{"version":{}}})", result.applied.version)};
      return {Kind::kDone, R"({"agreed":true})"};
    case Result::Kind::kRejected:
      return {Kind::kRejected, schema::encode(result.applied.verdict)};
    case Result::Kind::kNoQuorum:
      return {Kind::kNoQuorum, {}};
    case Result::Kind::kUnreadable:
      return {Kind::kInvalidParams, "what stands there is no bulletin that this program reads"};
    case Result::Kind::kUnknown:
      break;
  }
  return {Kind::kOutcomeUnknown, {}};
}

}  // namespace

void TopicRequests::submit(std::string_view method, std::string_view topic, const std::string& params,
                           Duration timeout, ReplyCallback callback) {
  std::string reason;
  std::optional<Change> change = schema::decode_change(params, reason);
  if (!change) return rejected_.push_back({std::move(callback), std::move(reason)});
  change->kind = kind_of(method);
  reason = schema::find_missing_parameter(*change);
  if (!reason.empty()) return rejected_.push_back({std::move(callback), std::move(reason)});
  change->topic = topic;
  const BootClock::time_point now = BootClock::now();
  log_.count_topic_request(method);
  const uint64_t change_number =
      registry_.submit(std::move(*change), now + std::clamp(timeout, kMinTimeout, kMaxTimeout));
  pending_[change_number] = std::move(callback);
}

void TopicRequests::deliver_replies() {
  for (const auto& [callback, reason] : std::exchange(rejected_, {}))
    callback({Reply::Kind::kInvalidParams, reason});
  for (const Result& result : registry_.take_results()) {
    const auto pending = pending_.find(result.change_number);
    if (pending == pending_.end()) continue;
    const ReplyCallback callback = std::move(pending->second);
    pending_.erase(pending);
    log_.record_topic_change(result);
    callback(reply_of(result));
  }
}

}  // namespace firvalve::cluster
