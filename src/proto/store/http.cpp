#include "proto/store/http.h"

#include "proto/head.h"

namespace firvalve::proto {
namespace {

constexpr int64_t kMaxPageNumber = 1000000;  // what pages may hold together is AttemptExchange's limit

struct StatusLine {
  int status = 0;
  bool is_http_1_1 = false;
};

std::optional<StatusLine> read_status_line(std::string_view line) {
  if (!line.starts_with("HTTP/1.") || line.size() < 12 || line[8] != ' ') return std::nullopt;
  const auto status = whole_number(line.substr(9, 3), 599);
  if (!status || *status < 100 || (line.size() > 12 && line[12] != ' ')) return std::nullopt;
  return StatusLine{static_cast<int>(*status), line[7] == '1'};
}

// The fields that do not bear on framing; others are passed over.
void read_field(const HeadField& field, HttpResponse& response) {
  if (same_name(field.name, "Connection")) {
    if (same_name(field.value, "close")) response.is_reusable = false;
  } else if (same_name(field.name, "Not-Begun")) {
    response.is_not_started = field.value == "1";
  } else if (same_name(field.name, "X-Sheets")) {
    response.page_count = whole_number(field.value, kMaxPageNumber);
  } else if (same_name(field.name, "X-Sheet")) {
    response.page = whole_number(field.value, kMaxPageNumber);
  } else if (same_name(field.name, "Detail")) {
    response.status_kind = field.value;
  } else if (same_name(field.name, "X-Val")) {
    response.status_value = field.value;
  }
}

}  // namespace

Read HttpResponseReader::next(Inbox& in, HttpResponse& response) {
  if (head_bytes_ == 0)
    if (const Read found = find_head(in); found != Read::kWhole) return found;
  if (in.text().size() < head_bytes_ + body_bytes_) return Read::kMore;
  response = {};
  read_head(in.text().substr(0, head_bytes_), response);
  response.body = in.text().substr(head_bytes_, body_bytes_);
  in.used(head_bytes_ + body_bytes_);
  return Read::kWhole;
}

// Finds the head's end and the body's length; heads of 1xx are dropped on the way.
Read HttpResponseReader::find_head(Inbox& in) {
  for (;;) {
    const size_t end = head_end(in.text().substr(0, kMaxHttpHeadBytes));
    if (end == std::string_view::npos)
      return in.text().size() >= kMaxHttpHeadBytes ? Read::kBroken : Read::kMore;
    HttpResponse first_look;
    const Read read = read_head(in.text().substr(0, end), first_look);
    if (read == Read::kBroken) return Read::kBroken;
    if (read == Read::kWhole) {
      head_bytes_ = end;
      return Read::kWhole;
    }
    in.used(end);
  }
}

bool HttpResponseReader::read_content_length(std::string_view value, int status) {
  const auto length = whole_number(value, static_cast<int64_t>(max_body_bytes_));
  if (!length) return false;
  body_bytes_ = status == 204 ? 0 : static_cast<size_t>(*length);
  return true;
}

// kMore: it is a 1xx, the response itself is still to come.
Read HttpResponseReader::read_head(std::string_view head, HttpResponse& response) {
  const auto status_line = read_status_line(take_line(head));
  if (!status_line) return Read::kBroken;
  if (status_line->status < 200) return Read::kMore;
  response.status = status_line->status;
  response.is_reusable = status_line->is_http_1_1;
  bool has_length = false;
  body_bytes_ = 0;
  for (std::string_view line = take_line(head); !line.empty(); line = take_line(head)) {
    const auto field = field_of(line);
    if (!field) return Read::kBroken;
    if (same_name(field->name, "Transfer-Encoding")) return Read::kBroken;  // responses state their length
    if (same_name(field->name, "Content-Length")) {
      if (has_length || !read_content_length(field->value, response.status)) return Read::kBroken;
      has_length = true;
    } else {
      read_field(*field, response);
    }
  }
  return has_length || response.status == 204 ? Read::kWhole : Read::kBroken;
}

}  // namespace firvalve::proto
