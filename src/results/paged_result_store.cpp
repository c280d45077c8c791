#include "results/paged_result_store.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace firvalve::results {

namespace {

constexpr double kPageOverhead = 96;  // bytes of a page beside its own

uint64_t hash(std::string_view text, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

PagedResultStore::PagedResultStore(const PagedResultStoreOptions& options, uint64_t life, Count count)
    : options_(options),
      life_(life),
      count_(std::move(count)),
      keeping_(options.keeping),
      sizes_(options.first_expected) {
  const Token salt = new_token();
  std::memcpy(&salt_, salt.data(), sizeof salt_);
  keeping_.on_gone = [this](ResultNo no, Gone why) { gone(no, why); };
  keeping_.on_leave_memory = [this](ResultNo no) { leave_memory(no); };
}

PagedResultStore::~PagedResultStore() { keeping_.on_gone = nullptr; }

uint64_t PagedResultStore::key_hash(std::string_view key) const { return key.empty() ? 0 : hash(key) | 1; }

// What a repeat must match: the chain's first id, and all of the command.
uint64_t PagedResultStore::chain_hash(const Reservation& w) const {
  std::string all(w.retry_chain);
  for (const std::string_view part : {w.profile, w.result_key, w.statement}) all.append("\n").append(part);
  return hash(all) | 1;
}

void PagedResultStore::use(Ms now, Storage& storage, const std::vector<Found>& found, Ms lease_offset) {
  now_ = now;
  lease_offset_ = lease_offset;
  storage_ = &storage;
  for (const Found& f : found) {
    const Ms lease_until = f.whole.lease_until - lease_offset_;
    const ResultNo no = keeping_.restore(now, f.whole.owner, f.bytes, lease_until - now);
    if (no == 0) continue;
    Result& r = results_[no];
    r.token = f.whole.token;
    r.owner = f.whole.owner;
    r.key = f.whole.key_hash;
    r.chain = f.whole.chain_hash;
    r.rows = f.whole.rows;
    r.whole = true;
    r.told_until = lease_until;
    r.life = f.life;
    r.stored_as = f.result;
    for (const Found::Place& place : f.pages) {
      Page p;
      p.place = place;
      p.on_disk = p.written = true;
      p.stored.raw = place.raw;
      p.stored.sum = place.sum;
      p.size = static_cast<double>(place.length);
      r.pages.push_back(std::move(p));
      ++live_[place.segment];
    }
    tokens_.emplace(hash({reinterpret_cast<const char*>(r.token.data()), r.token.size()}, salt_), no);
    if (r.chain != 0) chains_.emplace(r.chain, no);
    count_("results read back");
  }
  drop_segments();
}

std::optional<ResultHandle> PagedResultStore::reserve(TimePoint now_at, const Reservation& w) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const std::string profile(w.profile);
  const ResultNo no = keeping_.reserve(now, std::string(w.owner), sizes_.expected(profile, w.table_group));
  if (no == 0) {
    count_("places not had");
    return std::nullopt;
  }
  Result& r = results_[no];
  r.owner = w.owner;
  r.profile = profile;
  r.tables = w.table_group;
  r.key = key_hash(w.result_key);
  r.chain = chain_hash(w);
  return no;
}

std::optional<ResultHandle> PagedResultStore::find(TimePoint now_at, const Reservation& w) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const auto [begin, end] = chains_.equal_range(chain_hash(w));
  for (auto at = begin; at != end; ++at) {
    const Result& r = results_.at(at->second);
    if (!r.whole || r.key != key_hash(w.result_key) || !keeping_.read(now, at->second)) continue;
    count_("results found by a repeat");
    return at->second;
  }
  return std::nullopt;
}

ResultStore::AppendResult PagedResultStore::append_page(TimePoint now_at, ResultHandle no,
                                                        std::string_view rows) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const auto at = results_.find(no);
  if (at == results_.end() || at->second.whole) return AppendResult::kOutOfSpace;
  if (at->second.raw + static_cast<double>(rows.size()) > options_.keeping.result_most) {
    keeping_.forget(no, Gone::kOutgrown);
    return AppendResult::kOutOfSpace;
  }
  Page p;
  p.stored = pack(rows);
  p.size = static_cast<double>(p.stored.bytes.size()) + kPageOverhead;
  if (!keeping_.grow(now, no, p.size)) return AppendResult::kOutOfSpace;
  Result& r = at->second;
  r.rows += static_cast<uint64_t>(std::count(rows.begin(), rows.end(), '\n'));
  r.raw += static_cast<double>(rows.size());
  r.pages.push_back(std::move(p));
  write(now, no, r.pages.size() - 1);
  return storage_ && static_cast<double>(storage_->backlog()) > options_.backlog_most
             ? AppendResult::kStoredSlowDown
             : AppendResult::kStored;
}

void PagedResultStore::write(Ms now, ResultNo no, size_t page) {
  if (!storage_) return;
  Result& r = results_.at(no);
  Page& p = r.pages[page];
  if (!keeping_.take_disk(now, no, p.size)) {
    count_("pages without room on disk");
    return;
  }
  p.written = true;
  Record record;
  record.kind = Record::Kind::kPage;
  put_name(no, r, record);
  record.page = static_cast<uint32_t>(page);
  record.stored = p.stored;
  writes_[++last_tag_] = {no, page, r.tries};
  storage_->append(last_tag_, std::move(record));
}

void PagedResultStore::let_go(const Result& r) {
  for (const Page& p : r.pages) {
    if (!p.on_disk) continue;
    const auto at = live_.find(p.place.segment);
    if (at != live_.end() && --at->second == 0) live_.erase(at);
  }
}

void PagedResultStore::clear_pages(TimePoint now_at, ResultHandle no) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const auto at = results_.find(no);
  if (at == results_.end() || at->second.whole) return;
  let_go(at->second);
  at->second.pages.clear();
  at->second.rows = 0;
  at->second.raw = 0;
  at->second.tries += 1;
  keeping_.clear(no);
}

void PagedResultStore::discard(TimePoint now_at, ResultHandle no) {
  const Ms now = to_ms(now_at);
  now_ = now;
  keeping_.forget(no, Gone::kGivenUp);
}

void PagedResultStore::complete(TimePoint now_at, ResultHandle no) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  Result& r = at->second;
  r.whole = true;
  r.token = new_token();
  tokens_.emplace(hash({reinterpret_cast<const char*>(r.token.data()), r.token.size()}, salt_), no);
  chains_.emplace(r.chain, no);
  double size = 0;
  for (const Page& p : r.pages) size += p.size;
  sizes_.ended(r.profile, r.tables, size);
  keeping_.whole(now, no);
  count_("results kept");
  room_ = true;  // what was reserved and not used
  tell_whole(now, no);
}

// What began anew is another to the storage; what an earlier life stored keeps its name.
void PagedResultStore::put_name(ResultNo no, const Result& r, Record& record) const {
  record.life = r.life ? r.life : life_;
  record.result = r.life ? r.stored_as : (no << 16) + r.tries;
}

// Only what is wholly on its way to the disk can be read back: the rest gets no record of being whole.
void PagedResultStore::tell_whole(Ms now, ResultNo no) {
  Result& r = results_.at(no);
  if (!storage_ || !std::all_of(r.pages.begin(), r.pages.end(), [](const Page& p) { return p.written; }))
    return;
  Record record;
  record.kind = Record::Kind::kWhole;
  put_name(no, r, record);
  r.told_until = now + options_.keeping.lease;
  record.whole = {
      r.token, r.key,  r.chain, r.told_until + lease_offset_, static_cast<uint32_t>(r.pages.size()),
      r.rows,  r.owner};
  storage_->append(0, std::move(record));
}

PagedAnswer PagedResultStore::answer_of(ResultHandle no) const {
  const auto at = results_.find(no);
  if (at == results_.end()) return {};
  return {hex_of(at->second.token), at->second.pages.size(), at->second.rows};
}

ResultNo PagedResultStore::by_token(std::string_view hex, std::string_view key) const {
  const auto token = token_of(hex);
  if (!token) return 0;
  const uint64_t h = hash({reinterpret_cast<const char*>(token->data()), token->size()}, salt_);
  const auto [begin, end] = tokens_.equal_range(h);
  for (auto at = begin; at != end; ++at) {
    const Result& r = results_.at(at->second);
    if (same(r.token, *token) && (r.key == 0 || r.key == key_hash(key))) return at->second;
  }
  return 0;
}

void PagedResultStore::read_page(TimePoint now_at, std::string_view token, std::string_view key,
                                 uint64_t page, ReadCallback done) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const ResultNo no = by_token(token, key);
  if (no == 0 || !keeping_.read(now, no)) return done(now_at, ReadStatus::kGone, {}, 0);
  Result& r = results_.at(no);
  if (page < 1 || page > r.pages.size()) return done(now_at, ReadStatus::kNoSuchPage, {}, r.pages.size());
  // The storage is told of a lease that goes on, before half of what it knows is over.
  if (r.told_until > 0 && r.told_until < now + options_.keeping.lease / 2) tell_whole(now, no);
  const Page& p = r.pages[page - 1];
  if (p.stored.bytes.empty() && p.on_disk) {
    reads_[++last_tag_] = {no, page - 1, std::move(done)};
    return storage_->read(last_tag_, p.place);
  }
  const auto rows = unpack(p.stored);
  if (!rows) {
    count_("pages broken");
    keeping_.forget(no, Gone::kEvicted);
    return done(now_at, ReadStatus::kGone, {}, 0);
  }
  done(now_at, ReadStatus::kRows, *rows, r.pages.size());
}

bool PagedResultStore::release(TimePoint now_at, std::string_view token, std::string_view key) {
  const Ms now = to_ms(now_at);
  now_ = now;
  const ResultNo no = by_token(token, key);
  if (no == 0) return false;
  keeping_.forget(no, Gone::kReleased);
  return true;
}

void PagedResultStore::leave_memory(ResultNo no) {
  for (Page& p : results_.at(no).pages)
    if (p.on_disk) std::string().swap(p.stored.bytes);
  count_("results moved to disk alone");
}

void PagedResultStore::gone(ResultNo no, Gone why) {
  static constexpr std::string_view kWhy[] = {"results released", "results whose lease was over",
                                              "results evicted", "results outgrown", "results given up"};
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  const Result& r = at->second;
  count_(kWhy[static_cast<size_t>(why)]);
  const auto erase = [&](auto& map, uint64_t h) {
    const auto [begin, end] = map.equal_range(h);
    for (auto i = begin; i != end; ++i)
      if (i->second == no) return void(map.erase(i));
  };
  if (r.whole) {
    erase(tokens_, hash({reinterpret_cast<const char*>(r.token.data()), r.token.size()}, salt_));
    erase(chains_, r.chain);
  }
  let_go(r);
  // Guards against a result that was released or is over and comes back with the next life.
  if (r.told_until > now_ && storage_) {
    Record record;
    record.kind = Record::Kind::kGone;
    put_name(no, r, record);
    storage_->append(0, std::move(record));
  }
  results_.erase(at);
  room_ = true;
  drop_segments();
}

// Segments go from the oldest on, so that no word of a result's end goes before its pages.
void PagedResultStore::drop_segments() {
  if (!storage_) return;
  const size_t until =
      live_.empty() ? storage_->current() : std::min(live_.begin()->first, storage_->current());
  if (until <= dropped_until_) return;
  dropped_until_ = until;
  storage_->drop_until(until);
}

void PagedResultStore::due(Ms now) {
  now_ = now;
  keeping_.due(now);
  if (storage_) {
    for (Storage::Done& d : storage_->done()) {
      if (const auto w = writes_.find(d.tag); w != writes_.end()) {
        const Writing writing = w->second;
        writes_.erase(w);
        const auto at = results_.find(writing.no);
        if (!d.good) count_("pages not written");
        if (at == results_.end() || at->second.tries != writing.tries) continue;
        Page& p = at->second.pages[writing.page];
        p.written = p.on_disk = d.good;
        p.place = d.place;
        if (d.good) ++live_[d.place.segment];
        keeping_.stored(writing.no, p.size, d.good);
      } else if (const auto r = reads_.find(d.tag); r != reads_.end()) {
        const Reading reading = std::move(r->second);
        reads_.erase(r);
        const auto at = results_.find(reading.no);
        std::optional<std::string> rows;
        if (at != results_.end() && d.good) {
          StoredPage page = at->second.pages[reading.page].stored;
          page.bytes = std::move(d.bytes);
          rows = unpack(page);
        }
        if (rows) {
          reading.done(time_point_of(now), ReadStatus::kRows, *rows, at->second.pages.size());
          continue;
        }
        // A page that is broken is never served, and so the rest is of no use either.
        if (at != results_.end()) {
          count_("pages broken");
          keeping_.forget(reading.no, Gone::kEvicted);
        }
        reading.done(time_point_of(now), ReadStatus::kGone, {}, 0);
      }
    }
    drop_segments();
  }
  if (std::exchange(room_, false) && on_room) on_room(now);
}

}  // namespace firvalve::results
