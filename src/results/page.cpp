#include "results/page.h"

#include <lz4.h>
#include <sys/random.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace firvalve::results {
namespace {

constexpr uint32_t kMagic = 0x46565350;           // begins each record
constexpr uint32_t kBodyMost = 64 * 1024 * 1024;  // bytes of a record's own
constexpr size_t kOwnerMost = 1024;

template <class T>
void put(std::string& out, T value) {
  out.append(reinterpret_cast<const char*>(&value), sizeof value);
}
template <class T>
T take(std::string_view text, size_t at) {
  T value;
  std::memcpy(&value, text.data() + at, sizeof value);
  return value;
}

std::string body_of(const Whole& w) {
  std::string body(reinterpret_cast<const char*>(w.token.data()), w.token.size());
  put(body, w.key_hash);
  put(body, w.chain_hash);
  put(body, w.lease_until);
  put(body, w.pages);
  put(body, w.rows);
  body += std::string_view(w.owner).substr(0, kOwnerMost);
  return body;
}
constexpr size_t kWholeHead = 16 + 8 + 8 + 8 + 4 + 8;

}  // namespace

StoredPage pack(std::string_view rows) {
  StoredPage page;
  page.raw = static_cast<uint32_t>(rows.size());
  page.bytes.resize(static_cast<size_t>(LZ4_compressBound(static_cast<int>(rows.size()))));
  const int size = LZ4_compress_default(rows.data(), page.bytes.data(), static_cast<int>(rows.size()),
                                        static_cast<int>(page.bytes.size()));
  if (size <= 0 || static_cast<size_t>(size) >= rows.size()) {
    page.bytes.assign(rows);
  } else {
    page.bytes.resize(static_cast<size_t>(size));
  }
  page.bytes.shrink_to_fit();
  page.sum = XXH3_64bits(page.bytes.data(), page.bytes.size());
  return page;
}

std::optional<std::string> unpack(const StoredPage& page) {
  if (XXH3_64bits(page.bytes.data(), page.bytes.size()) != page.sum) return std::nullopt;
  if (page.raw == page.bytes.size()) return page.bytes;
  if (page.raw > kBodyMost) return std::nullopt;
  std::string rows(page.raw, '\0');
  const int size = LZ4_decompress_safe(page.bytes.data(), rows.data(), static_cast<int>(page.bytes.size()),
                                       static_cast<int>(rows.size()));
  if (size < 0 || static_cast<uint32_t>(size) != page.raw) return std::nullopt;
  return rows;
}

Token new_token() {
  Token token;
  if (::getrandom(token.data(), token.size(), 0) != static_cast<ssize_t>(token.size()))
    throw std::runtime_error("the system gives no random numbers");
  return token;
}

std::string hex_of(const Token& token) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const uint8_t b : token) text += {kDigits[b >> 4], kDigits[b & 15]};
  return text;
}

std::optional<Token> token_of(std::string_view hex) {
  Token token;
  if (hex.size() != 2 * token.size()) return std::nullopt;
  const auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  for (size_t i = 0; i < token.size(); ++i) {
    const int high = digit(hex[2 * i]), low = digit(hex[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    token[i] = static_cast<uint8_t>(high * 16 + low);
  }
  return token;
}

bool same(const Token& a, const Token& b) {
  uint8_t differs = 0;
  for (size_t i = 0; i < a.size(); ++i) differs = static_cast<uint8_t>(differs | (a[i] ^ b[i]));
  return differs == 0;
}

// Head: magic, kind, life, result, page, raw, length, 4 spare, the body's sum, the head's own sum.
void append_record(std::string& out, const Record& r) {
  const std::string body = r.kind == Record::Kind::kPage    ? r.stored.bytes
                           : r.kind == Record::Kind::kWhole ? body_of(r.whole)
                                                            : std::string();
  const size_t head = out.size();
  put(out, kMagic);
  put(out, static_cast<uint32_t>(r.kind));
  put(out, r.life);
  put(out, r.result);
  put(out, r.page);
  put(out, r.stored.raw);
  put(out, static_cast<uint32_t>(body.size()));
  put(out, uint32_t{0});
  put(out, XXH3_64bits(body.data(), body.size()));
  put(out, XXH3_64bits(out.data() + head, out.size() - head));
  out += body;
}

ReadRecord read_record(std::string_view segment, size_t at, Record& r, size_t& next) {
  if (at >= segment.size()) return ReadRecord::kEnd;
  const std::string_view rest = segment.substr(at);
  if (rest.size() < kRecordHead || take<uint32_t>(rest, 0) != kMagic ||
      XXH3_64bits(rest.data(), kRecordHead - 8) != take<uint64_t>(rest, kRecordHead - 8))
    return ReadRecord::kTorn;
  const auto kind = take<uint32_t>(rest, 4);
  const auto length = take<uint32_t>(rest, 32);
  if (kind < 1 || kind > 3 || length > kBodyMost || rest.size() - kRecordHead < length)
    return ReadRecord::kTorn;
  const std::string_view body = rest.substr(kRecordHead, length);
  r = {};
  r.kind = static_cast<Record::Kind>(kind);
  r.life = take<uint64_t>(rest, 8);
  r.result = take<uint64_t>(rest, 16);
  r.page = take<uint32_t>(rest, 24);
  r.stored.raw = take<uint32_t>(rest, 28);
  r.stored.sum = take<uint64_t>(rest, 40);
  next = at + kRecordHead + length;
  if (XXH3_64bits(body.data(), body.size()) != r.stored.sum) return ReadRecord::kBroken;
  if (r.kind == Record::Kind::kPage) {
    r.stored.bytes = body;
  } else if (r.kind == Record::Kind::kWhole) {
    if (body.size() < kWholeHead || body.size() > kWholeHead + kOwnerMost) return ReadRecord::kBroken;
    std::memcpy(r.whole.token.data(), body.data(), r.whole.token.size());
    r.whole.key_hash = take<uint64_t>(body, 16);
    r.whole.chain_hash = take<uint64_t>(body, 24);
    r.whole.lease_until = take<double>(body, 32);
    r.whole.pages = take<uint32_t>(body, 40);
    r.whole.rows = take<uint64_t>(body, 44);
    r.whole.owner = body.substr(kWholeHead);
  }
  return ReadRecord::kRecord;
}

size_t Recovery::handle(size_t number, std::string_view segment) {
  if (!segment.starts_with(kSegmentHead)) return 0;
  size_t at = kSegmentHead.size(), next = 0;
  Record r;
  for (;; at = next) {
    const ReadRecord read = read_record(segment, at, r, next);
    if (read == ReadRecord::kEnd) return std::string_view::npos;
    if (read == ReadRecord::kTorn) return at;
    Part& part = parts_[{r.life, r.result}];
    if (read == ReadRecord::kBroken) {
      part.spoilt = true;
      continue;
    }
    part.found.life = r.life;
    part.found.result = r.result;
    if (r.kind == Record::Kind::kGone) {
      part.gone = true;
    } else if (r.kind == Record::Kind::kWhole) {
      part.whole = true;
      part.found.whole = r.whole;
    } else {
      part.pages[r.page] = {number, at + kRecordHead, r.stored.bytes.size(), r.stored.raw, r.stored.sum};
    }
  }
}

std::vector<Found> Recovery::found(double now, size_t& broken) const {
  std::vector<Found> all;
  broken = 0;
  for (const auto& [key, part] : parts_) {
    if (part.gone || !part.whole) {
      broken += part.spoilt && !part.gone;
      continue;
    }
    const Whole& whole = part.found.whole;
    const bool complete = !part.spoilt && part.pages.size() == whole.pages &&
                          (whole.pages == 0 || part.pages.rbegin()->first + 1 == whole.pages);
    if (!complete) {
      ++broken;
    } else if (whole.lease_until > now) {
      all.push_back(part.found);
      for (const auto& [page, place] : part.pages) {
        all.back().pages.push_back(place);
        all.back().bytes += static_cast<double>(place.length);
      }
    }
  }
  return all;
}

}  // namespace firvalve::results
