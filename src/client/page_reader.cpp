// PageReader: reads a stored result to its end.
#include <algorithm>
#include <stdexcept>
#include <thread>

#include "base/time.h"
#include "client/client.h"

namespace firvalve::client {
namespace {

constexpr int kMaxPrefetchPages = 32;  // pages
constexpr double kMinRestMs = 20,
                 kMaxRestMs = 1000;  // after a page that failed, before it is asked for again

}  // namespace

PageReader::PageReader(Client& client, const Result& result, std::string key, Options options)
    : client_(client),
      gateways_{result.gateway},
      token_(result.token),
      key_(std::move(key)),
      first_(result.rows),
      has_first_(true),
      options_(options),
      pages_(result.token.empty() ? 1 : result.pages),
      asked_(1) {}

PageReader::PageReader(Client& client, std::vector<std::string> gateways, std::string token, std::string key,
                       uint64_t from, Options options)
    : client_(client),
      gateways_(std::move(gateways)),
      token_(std::move(token)),
      key_(std::move(key)),
      options_(options),
      at_(std::max<uint64_t>(from, 1) - 1),
      asked_(at_) {
  if (gateways_.empty()) throw std::invalid_argument("no gateway to ask for pages");
}

PageReader::~PageReader() {
  for (Handle& handle : prefetched_) handle.cancel();
}

// Until the number of pages is known, one is asked for at a time.
void PageReader::prefetch() {
  const auto prefetch_pages = static_cast<size_t>(std::clamp(options_.prefetch_pages, 0, kMaxPrefetchPages));
  while (prefetched_.size() < (pages_ == 0 ? 1 : prefetch_pages + 1) && (pages_ == 0 || asked_ < pages_))
    prefetched_.push_back(
        client_.page(gateways_[gateway_], token_, ++asked_, options_.page_timeout_ms, key_));
}

void PageReader::cancel_prefetched() {
  for (Handle& handle : prefetched_) handle.cancel();
  prefetched_.clear();
  asked_ = at_;
}

PageReader::Next PageReader::next(std::string& rows) {
  if (has_first_) {
    has_first_ = false;
    at_ = 1;
    rows = std::move(first_);
    if (!token_.empty()) prefetch();
    return Next::kPage;
  }
  const TimePoint give_up_at = MonotonicClock::now() + duration_of(options_.give_up_ms);
  for (;;) {
    if (pages_ > 0 && at_ >= pages_) return Next::kEnd;
    prefetch();
    const Result result = prefetched_.front().wait();
    if (result.outcome == Outcome::kAnswered) {
      prefetched_.erase(prefetched_.begin());
      ++at_;
      pages_ = result.pages;
      rows = result.rows;
      prefetch();
      return Next::kPage;
    }
    if (result.no_such_page) return Next::kEnd;
    cancel_prefetched();
    if (result.gone) {
      // With the token alone it is not known which gateway has the result: each is asked once.
      if (pages_ > 0 || ++gone_at_ >= gateways_.size()) return Next::kGone;
      gateway_ = (gateway_ + 1) % gateways_.size();
      continue;
    }
    if (MonotonicClock::now() > give_up_at) return Next::kFailed;
    // Only an attempt was lost. The rest keeps a gateway that refuses at once from being asked in a loop.
    std::this_thread::sleep_for(duration_of(std::clamp(result.retry_after_ms, kMinRestMs, kMaxRestMs)));
  }
}

void PageReader::release() {
  if (token_.empty()) return;
  for (Handle& handle : prefetched_) handle.cancel();
  prefetched_.clear();
  client_.page(gateways_[gateway_], token_, 0, options_.page_timeout_ms, key_).wait();
  pages_ = at_;
}

}  // namespace firvalve::client
