// Parses the HTTP/1.1 responses of the engines. Requests are not pipelined: one response at a time.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proto/read_buffer.h"

namespace firvalve::proto {

constexpr size_t kMaxHttpHeadBytes = size_t{8} * 1024;
constexpr size_t kMaxHttpBodyBytes = 6000;  // the largest page of a result

// The views are slices of the read buffer.
struct HttpResponse {
  int status = 0;                              // 0: the response is unusable
  bool is_not_started = false;                 // Not-Begun header: the query never ran
  bool is_reusable = true;                     // the connection can carry another request
  std::optional<int64_t> page_count;           // X-Sheets header: number of pages of the result
  std::optional<int64_t> page;                 // X-Sheet header: number of this page
  std::string_view status_kind, status_value;  // Detail and X-Val headers: status of the query
  std::string_view body;
};

// Reads one response and skips interim (1xx) responses before it. Call reset() before the next response.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(size_t max_body_bytes = kMaxHttpBodyBytes) : max_body_bytes_(max_body_bytes) {}
  // The views in the response are valid until the next in.prepare().
  ReadResult next(ReadBuffer& in, HttpResponse& response);
  void reset() { head_bytes_ = body_bytes_ = 0; }

 private:
  ReadResult find_head(ReadBuffer& in);
  ReadResult read_head(std::string_view head, HttpResponse& response);
  bool read_content_length(std::string_view value, int status);

  size_t max_body_bytes_, head_bytes_ = 0, body_bytes_ = 0;
};

}  // namespace firvalve::proto
