// HTTP/1.1 as the engines speak it: our calls, their answers, one at a time on a connection.
#pragma once

#include <cstdint>
#include <string>

#include "proto/inbox.h"

namespace firvalve::proto {

constexpr size_t kHttpHeadMost = 8 * 1024;  // bytes of an answer's head
constexpr size_t kHttpBodyMost = 6000;      // bytes of an answer's body: the largest page

struct HttpAnswer {
  int status = 0;
  bool not_begun = false, keeps = true;  // keeps: the connection may carry another call
  int64_t pages = -1, page = -1;         // -1: not told
  std::string_view note, value;          // slices, as the body
  std::string_view body;
};

// Reads one answer, past any 1xx ahead of it; wants reset() before the next.
class HttpReader {
 public:
  explicit HttpReader(size_t body_most = kHttpBodyMost) : body_most_(body_most) {}
  Read next(Inbox& in, HttpAnswer& answer);  // slices are good until the inbox's next room()
  void reset() { head_length_ = body_length_ = 0; }

 private:
  Read read_head(std::string_view head, HttpAnswer& answer);

  size_t body_most_, head_length_ = 0, body_length_ = 0;
};

}  // namespace firvalve::proto
