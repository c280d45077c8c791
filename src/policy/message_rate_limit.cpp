#include "policy/message_rate_limit.h"

#include <algorithm>

namespace firvalve {

namespace {

using namespace std::chrono_literals;

// Far more than a client needs that revokes and retries all its calls several times a second.
constexpr double kTokensPerSecond = 1000;
constexpr double kMaxTokens = 128;       // at once
constexpr double kBytesPerToken = 1024;  // for messages that are long to parse
constexpr Duration kMinWait = 20ms;      // so that messages are handled several at a time

}  // namespace

void MessageRateLimit::refill(TimePoint now) {
  const Duration elapsed = now - refilled_at_.value_or(now);
  refilled_at_ = now;
  used_tokens_ = std::max(0.0, used_tokens_ - kTokensPerSecond * (elapsed / Duration(1s)));
}

void MessageRateLimit::count(TimePoint now, size_t message_bytes) {
  refill(now);
  used_tokens_ += 1 + static_cast<double>(message_bytes) / kBytesPerToken;
}

std::optional<TimePoint> MessageRateLimit::wait_until(TimePoint now) {
  refill(now);
  if (used_tokens_ < kMaxTokens) return std::nullopt;
  return now + std::max(kMinWait, Duration(1s) * ((used_tokens_ - kMaxTokens) / kTokensPerSecond));
}

}  // namespace firvalve
