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

PagedResultStore::PagedResultStore(const PagedResultStoreOptions& options, uint64_t incarnation, Count count)
    : options_(options),
      incarnation_(incarnation),
      count_(std::move(count)),
      retention_(options.retention),
      size_estimator_(options.initial_expected_bytes) {
  const ResultToken salt = new_token();
  std::memcpy(&salt_, salt.data(), sizeof salt_);
  retention_.on_removed = [this](ResultId no, RemovalReason reason) { gone(no, reason); };
  retention_.on_memory_evicted = [this](ResultId no) { leave_memory(no); };
}

PagedResultStore::~PagedResultStore() { retention_.on_removed = nullptr; }

uint64_t PagedResultStore::key_hash(std::string_view key) const { return key.empty() ? 0 : hash(key) | 1; }

// What a repeat must match: the chain's first id, and all of the command.
uint64_t PagedResultStore::chain_hash(const Reservation& w) const {
  std::string all(w.chain);
  for (const std::string_view part : {w.profile, w.key, w.statement}) all.append("\n").append(part);
  return hash(all) | 1;
}

void PagedResultStore::use(Ms now, Storage& storage, const std::vector<RecoveredResult>& found,
                           Ms lease_offset) {
  now_ = now;
  lease_offset_ = lease_offset;
  storage_ = &storage;
  for (const RecoveredResult& f : found) {
    const Ms lease_expiry = f.manifest.lease_expiry - lease_offset_;
    const ResultId no = retention_.restore(now, f.manifest.owner, f.bytes, lease_expiry - now);
    if (no == 0) continue;
    Result& r = results_[no];
    r.token = f.manifest.token;
    r.owner = f.manifest.owner;
    r.key = f.manifest.key_hash;
    r.chain = f.manifest.chain_hash;
    r.rows = f.manifest.rows;
    r.whole = true;
    r.stored_lease_expiry = lease_expiry;
    r.incarnation = f.incarnation;
    r.stored_result = f.result;
    for (const RecordLocation& location : f.pages) {
      Page p;
      p.location = location;
      p.on_disk = p.written = true;
      p.stored.uncompressed_bytes = location.uncompressed_bytes;
      p.stored.checksum = location.checksum;
      p.size = static_cast<double>(location.length);
      r.pages.push_back(std::move(p));
      ++live_pages_[location.segment];
    }
    tokens_.emplace(hash({reinterpret_cast<const char*>(r.token.data()), r.token.size()}, salt_), no);
    if (r.chain != 0) chains_.emplace(r.chain, no);
    count_("results read back");
  }
  delete_unused_segments();
}

ResultId PagedResultStore::reserve(Ms now, const Reservation& w) {
  now_ = now;
  const std::string profile(w.profile);
  const ResultId no =
      retention_.reserve(now, std::string(w.owner), size_estimator_.expected(profile, w.tables));
  if (no == 0) {
    count_("places not had");
    return 0;
  }
  Result& r = results_[no];
  r.owner = w.owner;
  r.profile = profile;
  r.tables = w.tables;
  r.key = key_hash(w.key);
  r.chain = chain_hash(w);
  return no;
}

ResultId PagedResultStore::find(Ms now, const Reservation& w) {
  now_ = now;
  const auto [begin, end] = chains_.equal_range(chain_hash(w));
  for (auto at = begin; at != end; ++at) {
    const Result& r = results_.at(at->second);
    if (!r.whole || r.key != key_hash(w.key) || !retention_.read(now, at->second)) continue;
    count_("results found by a repeat");
    return at->second;
  }
  return 0;
}

ResultStore::Put PagedResultStore::page(Ms now, ResultHandle no, std::string_view rows) {
  now_ = now;
  const auto at = results_.find(no);
  if (at == results_.end() || at->second.whole) return Put::kOutgrown;
  if (at->second.uncompressed_bytes + static_cast<double>(rows.size()) >
      options_.retention.max_result_bytes) {
    retention_.forget(no, RemovalReason::kTooLarge);
    return Put::kOutgrown;
  }
  Page p;
  p.stored = compress(rows);
  p.size = static_cast<double>(p.stored.bytes.size()) + kPageOverhead;
  if (!retention_.grow(now, no, p.size)) return Put::kOutgrown;
  Result& r = at->second;
  r.rows += static_cast<uint64_t>(std::count(rows.begin(), rows.end(), '\n'));
  r.uncompressed_bytes += static_cast<double>(rows.size());
  r.pages.push_back(std::move(p));
  write(now, no, r.pages.size() - 1);
  return storage_ && static_cast<double>(storage_->backlog_bytes()) > options_.max_backlog_bytes
             ? Put::kSlow
             : Put::kTaken;
}

void PagedResultStore::write(Ms now, ResultId no, size_t page) {
  if (!storage_) return;
  Result& r = results_.at(no);
  Page& p = r.pages[page];
  if (!retention_.reserve_disk(now, no, p.size)) {
    count_("pages without room on disk");
    return;
  }
  p.written = true;
  Record record;
  record.kind = Record::Kind::kPage;
  set_record_key(no, r, record);
  record.page = static_cast<uint32_t>(page);
  record.stored = p.stored;
  writes_[++last_request_id_] = {no, page, r.attempt};
  storage_->append(last_request_id_, std::move(record));
}

void PagedResultStore::forget_segments_of(const Result& r) {
  for (const Page& p : r.pages) {
    if (!p.on_disk) continue;
    const auto at = live_pages_.find(p.location.segment);
    if (at != live_pages_.end() && --at->second == 0) live_pages_.erase(at);
  }
}

void PagedResultStore::clear(Ms now, ResultHandle no) {
  now_ = now;
  const auto at = results_.find(no);
  if (at == results_.end() || at->second.whole) return;
  forget_segments_of(at->second);
  at->second.pages.clear();
  at->second.rows = 0;
  at->second.uncompressed_bytes = 0;
  at->second.attempt += 1;
  retention_.clear(no);
}

void PagedResultStore::drop(Ms now, ResultHandle no) {
  now_ = now;
  retention_.forget(no, RemovalReason::kAbandoned);
}

void PagedResultStore::whole(Ms now, ResultHandle no) {
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
  size_estimator_.ended(r.profile, r.tables, size);
  retention_.whole(now, no);
  count_("results kept");
  space_freed_ = true;  // what was reserved and not used
  write_manifest(now, no);
}

// What began anew is another to the storage; what an earlier life stored keeps its name.
void PagedResultStore::set_record_key(ResultId no, const Result& r, Record& record) const {
  record.incarnation = r.incarnation ? r.incarnation : incarnation_;
  record.result = r.incarnation ? r.stored_result : (no << 16) + r.attempt;
}

// Only what is wholly on its way to the disk can be read back: the rest gets no record of being whole.
void PagedResultStore::write_manifest(Ms now, ResultId no) {
  Result& r = results_.at(no);
  if (!storage_ || !std::all_of(r.pages.begin(), r.pages.end(), [](const Page& p) { return p.written; }))
    return;
  Record record;
  record.kind = Record::Kind::kManifest;
  set_record_key(no, r, record);
  r.stored_lease_expiry = now + options_.retention.lease;
  record.manifest = {
      r.token, r.key,  r.chain, r.stored_lease_expiry + lease_offset_, static_cast<uint32_t>(r.pages.size()),
      r.rows,  r.owner};
  storage_->append(0, std::move(record));
}

PagedAnswer PagedResultStore::answer(ResultHandle no) const {
  const auto at = results_.find(no);
  if (at == results_.end()) return {};
  return {to_hex(at->second.token), at->second.pages.size(), at->second.rows};
}

ResultId PagedResultStore::find_by_token(std::string_view hex, std::string_view key) const {
  const auto token = parse_token(hex);
  if (!token) return 0;
  const uint64_t h = hash({reinterpret_cast<const char*>(token->data()), token->size()}, salt_);
  const auto [begin, end] = tokens_.equal_range(h);
  for (auto at = begin; at != end; ++at) {
    const Result& r = results_.at(at->second);
    if (equal_in_constant_time(r.token, *token) && (r.key == 0 || r.key == key_hash(key))) return at->second;
  }
  return 0;
}

void PagedResultStore::read(Ms now, std::string_view token, std::string_view key, uint64_t page, Rows done) {
  now_ = now;
  const ResultId no = find_by_token(token, key);
  if (no == 0 || !retention_.read(now, no)) return done(now, Read::kGone, {}, 0);
  Result& r = results_.at(no);
  if (page < 1 || page > r.pages.size()) return done(now, Read::kNoSuchPage, {}, r.pages.size());
  // The storage is told of a lease that goes on, before half of what it knows is over.
  if (r.stored_lease_expiry > 0 && r.stored_lease_expiry < now + options_.retention.lease / 2)
    write_manifest(now, no);
  const Page& p = r.pages[page - 1];
  if (p.stored.bytes.empty() && p.on_disk) {
    reads_[++last_request_id_] = {no, page - 1, std::move(done)};
    return storage_->read(last_request_id_, p.location);
  }
  const auto rows = decompress(p.stored);
  if (!rows) {
    count_("pages broken");
    retention_.forget(no, RemovalReason::kEvicted);
    return done(now, Read::kGone, {}, 0);
  }
  done(now, Read::kRows, *rows, r.pages.size());
}

bool PagedResultStore::release(Ms now, std::string_view token, std::string_view key) {
  now_ = now;
  const ResultId no = find_by_token(token, key);
  if (no == 0) return false;
  retention_.forget(no, RemovalReason::kReleased);
  return true;
}

void PagedResultStore::leave_memory(ResultId no) {
  for (Page& p : results_.at(no).pages)
    if (p.on_disk) std::string().swap(p.stored.bytes);
  count_("results moved to disk alone");
}

void PagedResultStore::gone(ResultId no, RemovalReason reason) {
  static constexpr std::string_view kWhy[] = {"results released", "results whose lease was over",
                                              "results evicted", "results outgrown", "results given up"};
  const auto at = results_.find(no);
  if (at == results_.end()) return;
  const Result& r = at->second;
  count_(kWhy[static_cast<size_t>(reason)]);
  const auto erase = [&](auto& map, uint64_t h) {
    const auto [begin, end] = map.equal_range(h);
    for (auto i = begin; i != end; ++i)
      if (i->second == no) return void(map.erase(i));
  };
  if (r.whole) {
    erase(tokens_, hash({reinterpret_cast<const char*>(r.token.data()), r.token.size()}, salt_));
    erase(chains_, r.chain);
  }
  forget_segments_of(r);
  // Guards against a result that was released or is over and comes back with the next life.
  if (r.stored_lease_expiry > now_ && storage_) {
    Record record;
    record.kind = Record::Kind::kTombstone;
    set_record_key(no, r, record);
    storage_->append(0, std::move(record));
  }
  results_.erase(at);
  space_freed_ = true;
  delete_unused_segments();
}

// Segments go from the oldest on, so that no word of a result's end goes before its pages.
void PagedResultStore::delete_unused_segments() {
  if (!storage_) return;
  const size_t until = live_pages_.empty()
                           ? storage_->current_segment()
                           : std::min(live_pages_.begin()->first, storage_->current_segment());
  if (until <= dropped_until_) return;
  dropped_until_ = until;
  storage_->delete_segments_before(until);
}

void PagedResultStore::due(Ms now) {
  now_ = now;
  retention_.due(now);
  if (storage_) {
    for (Storage::Completion& d : storage_->take_completions()) {
      if (const auto w = writes_.find(d.request_id); w != writes_.end()) {
        const Writing writing = w->second;
        writes_.erase(w);
        const auto at = results_.find(writing.no);
        if (!d.succeeded) count_("pages not written");
        if (at == results_.end() || at->second.attempt != writing.attempt) continue;
        Page& p = at->second.pages[writing.page];
        p.written = p.on_disk = d.succeeded;
        p.location = d.location;
        if (d.succeeded) ++live_pages_[d.location.segment];
        retention_.stored(writing.no, p.size, d.succeeded);
      } else if (const auto r = reads_.find(d.request_id); r != reads_.end()) {
        const Reading reading = std::move(r->second);
        reads_.erase(r);
        const auto at = results_.find(reading.no);
        std::optional<std::string> rows;
        if (at != results_.end() && d.succeeded) {
          StoredPage page = at->second.pages[reading.page].stored;
          page.bytes = std::move(d.bytes);
          rows = decompress(page);
        }
        if (rows) {
          reading.done(now, Read::kRows, *rows, at->second.pages.size());
          continue;
        }
        // A page that is broken is never served, and so the rest is of no use either.
        if (at != results_.end()) {
          count_("pages broken");
          retention_.forget(reading.no, RemovalReason::kEvicted);
        }
        reading.done(now, Read::kGone, {}, 0);
      }
    }
    delete_unused_segments();
  }
  if (std::exchange(space_freed_, false) && on_space_freed) on_space_freed(now);
}

}  // namespace firvalve::results
