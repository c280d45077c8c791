// HTTP/1.1 as the engines speak it: the responses to our requests, one at a time on a connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "proto/read_buffer.h"

namespace firvalve::proto {

constexpr size_t kMaxHttpHeadBytes = size_t{8} * 1024;
constexpr size_t kMaxHttpBodyBytes = 6000;  // the largest page

// The views are slices of what was read.
struct HttpResponse {
  int status = 0;                              // 0: no response that can be used
  bool is_not_started = false;                 // Not-Begun: the query never ran
  bool is_reusable = true;                     // the connection may carry another request
  std::optional<int64_t> page_count;           // X-Sheets: of the result
  std::optional<int64_t> page;                 // X-Sheet: the number of this one
  std::string_view status_kind, status_value;  // Detail and X-Val: how the query fares
  std::string_view body;
};

// Reads one response, past any 1xx ahead of it; wants reset() before the next.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(size_t max_body_bytes = kMaxHttpBodyBytes) : max_body_bytes_(max_body_bytes) {}
  ReadResult next(ReadBuffer& in,
                  HttpResponse& response);  // the views are good until the read_buffer's next prepare()
  void reset() { head_bytes_ = body_bytes_ = 0; }

 private:
  ReadResult find_head(ReadBuffer& in);
  ReadResult read_head(std::string_view head, HttpResponse& response);
  bool read_content_length(std::string_view value, int status);

  size_t max_body_bytes_, head_bytes_ = 0, body_bytes_ = 0;
};

}  // namespace firvalve::proto
