#include "proto/store/http.h"

#include "proto/head.h"

namespace firvalve::proto {
namespace {

constexpr int64_t kPageNumberMost = 1000000;  // of a result; what they may hold together is the query's limit

}  // namespace

Read HttpReader::next(Inbox& in, HttpAnswer& answer) {
  while (head_length_ == 0) {
    const size_t end = head_end(in.text().substr(0, kHttpHeadMost));
    if (end == std::string_view::npos) return in.text().size() >= kHttpHeadMost ? Read::kBroken : Read::kMore;
    HttpAnswer first;
    const Read read = read_head(in.text().substr(0, end), first);
    if (read == Read::kBroken) return Read::kBroken;
    read == Read::kMore ? in.used(end) : void(head_length_ = end);
  }
  if (in.text().size() < head_length_ + body_length_) return Read::kMore;
  answer = {};
  read_head(in.text().substr(0, head_length_), answer);
  answer.body = in.text().substr(head_length_, body_length_);
  in.used(head_length_ + body_length_);
  return Read::kWhole;
}

Read HttpReader::read_head(std::string_view head, HttpAnswer& answer) {
  const std::string_view first = take_line(head);
  if (!first.starts_with("HTTP/1.") || first.size() < 12 || first[8] != ' ') return Read::kBroken;
  const auto status = whole_number(first.substr(9, 3), 599);
  if (!status || *status < 100 || (first.size() > 12 && first[12] != ' ')) return Read::kBroken;
  if (*status < 200) return Read::kMore;  // the answer itself is still to come
  answer.status = static_cast<int>(*status);
  answer.keeps = first[7] == '1';
  bool length_told = false;
  body_length_ = 0;
  for (std::string_view line = take_line(head); !line.empty(); line = take_line(head)) {
    const auto field = field_of(line);
    if (!field) return Read::kBroken;
    if (same_name(field->name, "Content-Length")) {
      const auto length = whole_number(field->value, static_cast<int64_t>(body_most_));
      if (!length || length_told) return Read::kBroken;
      body_length_ = answer.status == 204 ? 0 : static_cast<size_t>(*length);
      length_told = true;
    } else if (same_name(field->name, "Transfer-Encoding")) {
      return Read::kBroken;  // the protocol's answers state their length
    } else if (same_name(field->name, "Connection")) {
      if (same_name(field->value, "close")) answer.keeps = false;
    } else if (same_name(field->name, "Not-Begun")) {
      answer.not_begun = field->value == "1";
    } else if (same_name(field->name, "X-Sheets")) {
      answer.pages = whole_number(field->value, kPageNumberMost).value_or(-1);
    } else if (same_name(field->name, "X-Sheet")) {
      answer.page = whole_number(field->value, kPageNumberMost).value_or(-1);
    } else if (same_name(field->name, "Detail")) {
      answer.note = field->value;
    } else if (same_name(field->name, "X-Val")) {
      answer.value = field->value;
    }
  }
  return length_told || answer.status == 204 ? Read::kWhole : Read::kBroken;
}

}  // namespace firvalve::proto
