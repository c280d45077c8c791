// PageReader: reads a paged result sequentially, with prefetching and retries.
#include <algorithm>
#include <stdexcept>
#include <thread>

#include "base/time.h"
#include "client/client.h"

namespace firvalve::client {
namespace {

constexpr int kMaxPrefetchPages = 32;
constexpr double kMinRetryDelayMs = 20,
                 kMaxRetryDelayMs = 1000;  // before a failed page is requested again

}  // namespace

PageReader::PageReader(Client& client, const Result& result, std::string key, Options options)
    : client_(client),
      gateways_{result.gateway},
      token_(result.token),
      key_(std::move(key)),
      first_page_(result.rows),
      has_first_page_(true),
      options_(options),
      pages_(result.token.empty() ? 1 : result.pages),
      last_requested_page_(1) {}

PageReader::PageReader(Client& client, std::vector<std::string> gateways, std::string token, std::string key,
                       uint64_t from_page, Options options)
    : client_(client),
      gateways_(std::move(gateways)),
      token_(std::move(token)),
      key_(std::move(key)),
      options_(options),
      last_page_(std::max<uint64_t>(from_page, 1) - 1),
      last_requested_page_(last_page_) {
  if (gateways_.empty()) throw std::invalid_argument("gateways: must name at least one HOST:PORT");
}

PageReader::~PageReader() {
  for (Handle& handle : prefetched_) handle.cancel();
}

// Requests one page at a time until the number of pages is known.
void PageReader::prefetch() {
  const auto prefetch_pages = static_cast<size_t>(std::clamp(options_.prefetch_pages, 0, kMaxPrefetchPages));
  while (prefetched_.size() < (pages_ == 0 ? 1 : prefetch_pages + 1) &&
         (pages_ == 0 || last_requested_page_ < pages_))
    prefetched_.push_back(client_.request_page(gateways_[current_gateway_], token_, ++last_requested_page_,
                                               options_.page_timeout_ms, key_));
}

void PageReader::cancel_prefetched() {
  for (Handle& handle : prefetched_) handle.cancel();
  prefetched_.clear();
  last_requested_page_ = last_page_;
}

PageReader::Next PageReader::next(std::string& rows) {
  if (has_first_page_) {
    has_first_page_ = false;
    last_page_ = 1;
    rows = std::move(first_page_);
    if (!token_.empty()) prefetch();
    return Next::kPage;
  }
  const TimePoint give_up_at = MonotonicClock::now() + duration_of(options_.give_up_ms);
  for (;;) {
    if (pages_ > 0 && last_page_ >= pages_) return Next::kEnd;
    prefetch();
    const Result result = prefetched_.front().wait();
    if (result.outcome == Outcome::kAnswered) {
      prefetched_.erase(prefetched_.begin());
      ++last_page_;
      pages_ = result.pages;
      rows = result.rows;
      prefetch();
      return Next::kPage;
    }
    if (result.no_such_page) return Next::kEnd;
    cancel_prefetched();
    if (result.gone) {
      // Given only the token, the reader does not know which gateway has the result: it tries each once.
      if (pages_ > 0 || ++gateways_without_result_ >= gateways_.size()) return Next::kGone;
      current_gateway_ = (current_gateway_ + 1) % gateways_.size();
      continue;
    }
    if (MonotonicClock::now() > give_up_at) return Next::kFailed;
    // The result may still be there. The delay prevents a busy loop if the gateway refuses at once.
    std::this_thread::sleep_for(
        duration_of(std::clamp(result.retry_after_ms, kMinRetryDelayMs, kMaxRetryDelayMs)));
  }
}

void PageReader::release() {
  if (token_.empty()) return;
  for (Handle& handle : prefetched_) handle.cancel();
  prefetched_.clear();
  client_.request_page(gateways_[current_gateway_], token_, 0, options_.page_timeout_ms, key_).wait();
  pages_ = last_page_;
}

}  // namespace firvalve::client
