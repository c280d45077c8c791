#include "proto/store/http.h"

#include "proto/head.h"

namespace firvalve::proto {
namespace {

constexpr int64_t kMaxPageNumber = 1000000;  // AttemptExchange limits the pages and bytes of a whole result

struct StatusLine {
  int status = 0;
  bool is_http_1_1 = false;
};

std::optional<StatusLine> read_status_line(std::string_view line) {
  if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ') return std::nullopt;
  const auto status = parse_decimal(line.substr(9, 3), 599);
  if (!status || *status < 100 || (line.size() > 12 && line[12] != ' ')) return std::nullopt;
  return StatusLine{static_cast<int>(*status), line[7] == '1'};
}

// Reads the header fields that do not affect framing; unknown fields are ignored.
void read_field(const HeaderField& field, HttpResponse& response) {
  if (equals_ignore_case(field.name, "Connection")) {
    if (equals_ignore_case(field.value, "close")) response.is_reusable = false;
  } else if (equals_ignore_case(field.name, "Not-Begun")) {
    response.is_not_started = field.value == "1";
  } else if (equals_ignore_case(field.name, "X-Sheets")) {
    response.page_count = parse_decimal(field.value, kMaxPageNumber);
  } else if (equals_ignore_case(field.name, "X-Sheet")) {
    response.page = parse_decimal(field.value, kMaxPageNumber);
  } else if (equals_ignore_case(field.name, "Detail")) {
    response.status_kind = field.value;
  } else if (equals_ignore_case(field.name, "X-Val")) {
    response.status_value = field.value;
  }
}

}  // namespace

ReadResult HttpResponseReader::next(ReadBuffer& in, HttpResponse& response) {
  if (head_bytes_ == 0)
    if (const ReadResult found = find_head(in); found != ReadResult::kComplete) return found;
  if (in.text().size() < head_bytes_ + body_bytes_) return ReadResult::kIncomplete;
  response = {};
  read_head(in.text().substr(0, head_bytes_), response);
  response.body = in.text().substr(head_bytes_, body_bytes_);
  in.consume(head_bytes_ + body_bytes_);
  return ReadResult::kComplete;
}

// Finds the end of the header section and the body's length. Drops interim (1xx) responses.
ReadResult HttpResponseReader::find_head(ReadBuffer& in) {
  for (;;) {
    const size_t end = find_header_end(in.text().substr(0, kMaxHttpHeadBytes));
    if (end == std::string_view::npos)
      return in.text().size() >= kMaxHttpHeadBytes ? ReadResult::kMalformed : ReadResult::kIncomplete;
    HttpResponse discarded;  // next() reads the header section again when the body is complete
    const ReadResult read = read_head(in.text().substr(0, end), discarded);
    if (read == ReadResult::kMalformed) return ReadResult::kMalformed;
    if (read == ReadResult::kComplete) {
      head_bytes_ = end;
      return ReadResult::kComplete;
    }
    in.consume(end);
  }
}

bool HttpResponseReader::read_content_length(std::string_view value, int status) {
  const auto length = parse_decimal(value, static_cast<int64_t>(max_body_bytes_));
  if (!length) return false;
  body_bytes_ = status == 204 ? 0 : static_cast<size_t>(*length);
  return true;
}

// Returns kIncomplete for an interim (1xx) response: the final response is still to come.
ReadResult HttpResponseReader::read_head(std::string_view head, HttpResponse& response) {
  const auto status_line = read_status_line(take_line(head));
  if (!status_line) return ReadResult::kMalformed;
  if (status_line->status < 200) return ReadResult::kIncomplete;
  response.status = status_line->status;
  response.is_reusable = status_line->is_http_1_1;
  bool has_length = false;
  body_bytes_ = 0;
  for (std::string_view line = take_line(head); !line.empty(); line = take_line(head)) {
    const auto field = parse_header_field(line);
    if (!field) return ReadResult::kMalformed;
    if (equals_ignore_case(field->name, "Transfer-Encoding"))
      return ReadResult::kMalformed;  // only responses with a Content-Length are supported
    if (equals_ignore_case(field->name, "Content-Length")) {
      if (has_length || !read_content_length(field->value, response.status)) return ReadResult::kMalformed;
      has_length = true;
    } else {
      read_field(*field, response);
    }
  }
  return has_length || response.status == 204 ? ReadResult::kComplete : ReadResult::kMalformed;
}

}  // namespace firvalve::proto
