#include "results/paged_result_store.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace firvalve::results {

namespace {

constexpr double kPageOverheadBytes = 96;  // memory that a page uses besides its bytes

uint64_t hash(std::string_view text, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns 0 only for an empty key, which means that there is none.
uint64_t hash_of_key(std::string_view key) { return key.empty() ? 0 : hash(key) | 1; }

// Hash of the fields that a retry must match: the id of the first command of its retry chain, and the
// command.
uint64_t hash_of_chain(const ResultStore::Reservation& reservation) {
  std::string text(reservation.retry_chain);
  for (const std::string_view part : {reservation.profile, reservation.result_key, reservation.statement})
    text.append("\n").append(part);
  return hash(text) | 1;
}

std::string_view metric_of(RemovalReason reason) {
  switch (reason) {
    case RemovalReason::kReleased:
      return "results released";
    case RemovalReason::kLeaseExpired:
      return "results expired";
    case RemovalReason::kEvicted:
      return "results evicted";
    case RemovalReason::kTooLarge:
      return "results too large";
    case RemovalReason::kAbandoned:
      return "results abandoned";
  }
  return "results removed";
}

void erase_entry(std::unordered_multimap<uint64_t, ResultId>& index, uint64_t hash, ResultId id) {
  const auto [begin, end] = index.equal_range(hash);
  const auto found = std::find_if(begin, end, [id](const auto& entry) { return entry.second == id; });
  if (found != end) index.erase(found);
}

}  // namespace

PagedResultStore::PagedResultStore(const PagedResultStoreOptions& options, uint64_t incarnation,
                                   CountMetric count)
    : options_(options),
      incarnation_(incarnation),
      count_(std::move(count)),
      retention_(options.retention),
      size_estimator_(options.initial_expected_bytes) {
  const ResultToken salt = generate_token();
  std::memcpy(&token_salt_, salt.data(), sizeof token_salt_);
  retention_.on_removed = [this](ResultId id, RemovalReason reason) { handle_removed(id, reason); };
  retention_.on_memory_evicted = [this](ResultId id) { handle_memory_evicted(id); };
}

PagedResultStore::~PagedResultStore() { retention_.on_removed = nullptr; }

uint64_t PagedResultStore::token_hash(const ResultToken& token) const {
  return hash({reinterpret_cast<const char*>(token.data()), token.size()}, token_salt_);
}

void PagedResultStore::add_to_indexes(ResultId id, const Result& result) {
  by_token_.emplace(token_hash(result.token), id);
  if (result.chain_hash != 0) by_chain_.emplace(result.chain_hash, id);
}

void PagedResultStore::remove_from_indexes(ResultId id, const Result& result) {
  erase_entry(by_token_, token_hash(result.token), id);
  erase_entry(by_chain_, result.chain_hash, id);
}

void PagedResultStore::attach_storage(TimePoint now, Storage& storage,
                                      const std::vector<RecoveredResult>& recovered, Duration lease_offset) {
  now_ = now;
  lease_offset_ = lease_offset;
  storage_ = &storage;
  for (const RecoveredResult& found : recovered) {
    const Manifest& manifest = found.manifest;
    const TimePoint lease_expiry = from_lease_time(manifest.lease_expiry, lease_offset_);
    const auto id = retention_.restore(now, manifest.owner, found.bytes, lease_expiry - now);
    if (!id) continue;
    Result& result = results_[*id];
    result.token = manifest.token;
    result.owner = manifest.owner;
    result.key_hash = manifest.key_hash;
    result.chain_hash = manifest.chain_hash;
    result.rows = manifest.rows;
    result.is_complete = true;
    result.stored_lease_expiry = lease_expiry;
    result.recovered_key = found.key;
    for (const RecordLocation& location : found.pages) {
      Page& page = result.pages.emplace_back();
      page.location = location;
      page.is_on_disk = page.is_in_storage = true;
      page.stored.uncompressed_bytes = location.uncompressed_bytes;
      page.stored.checksum = location.checksum;
      page.size_bytes = static_cast<double>(location.length);
      ++live_pages_[location.segment];
    }
    add_to_indexes(*id, result);
    count_("results recovered");
  }
  delete_unused_segments();
}

std::optional<ResultHandle> PagedResultStore::reserve(TimePoint now, const Reservation& reservation) {
  now_ = now;
  const std::string profile(reservation.profile);
  const auto id = retention_.reserve(std::string(reservation.owner),
                                     size_estimator_.estimate_bytes(profile, reservation.table_group));
  if (!id) {
    count_("result reservations rejected");
    return std::nullopt;
  }
  Result& result = results_[*id];
  result.owner = reservation.owner;
  result.profile = profile;
  result.table_group = reservation.table_group;
  result.key_hash = hash_of_key(reservation.result_key);
  result.chain_hash = hash_of_chain(reservation);
  return id;
}

std::optional<ResultHandle> PagedResultStore::find(TimePoint now, const Reservation& reservation) {
  now_ = now;
  const auto [begin, end] = by_chain_.equal_range(hash_of_chain(reservation));
  for (auto entry = begin; entry != end; ++entry) {
    const ResultId id = entry->second;
    const Result& result = results_.at(id);
    if (!result.is_complete || result.key_hash != hash_of_key(reservation.result_key)) continue;
    if (!retention_.renew_lease(now, id)) continue;
    count_("results found by a retry");
    return id;
  }
  return std::nullopt;
}

ResultStore::AppendResult PagedResultStore::append_page(TimePoint now, ResultHandle id,
                                                        std::string_view rows) {
  now_ = now;
  const auto entry = results_.find(id);
  if (entry == results_.end() || entry->second.is_complete) return AppendResult::kOutOfSpace;
  Result& result = entry->second;
  if (result.uncompressed_bytes + static_cast<double>(rows.size()) > options_.retention.max_result_bytes) {
    retention_.remove(id, RemovalReason::kTooLarge);
    return AppendResult::kOutOfSpace;
  }
  Page page;
  page.stored = compress(rows);
  page.size_bytes = static_cast<double>(page.stored.bytes.size()) + kPageOverheadBytes;
  if (!retention_.add_bytes(id, page.size_bytes)) return AppendResult::kOutOfSpace;
  result.rows += static_cast<uint64_t>(std::count(rows.begin(), rows.end(), '\n'));
  result.uncompressed_bytes += static_cast<double>(rows.size());
  result.pages.push_back(std::move(page));
  write_page(id, result.pages.size() - 1);
  const bool is_storage_behind =
      storage_ && static_cast<double>(storage_->backlog_bytes()) > options_.max_backlog_bytes;
  return is_storage_behind ? AppendResult::kStoredSlowDown : AppendResult::kStored;
}

void PagedResultStore::clear_pages(TimePoint now, ResultHandle id) {
  now_ = now;
  const auto entry = results_.find(id);
  if (entry == results_.end() || entry->second.is_complete) return;
  Result& result = entry->second;
  release_segments(result);
  result.pages.clear();
  result.rows = 0;
  result.uncompressed_bytes = 0;
  result.attempt += 1;
  retention_.clear(id);
}

void PagedResultStore::discard(TimePoint now, ResultHandle id) {
  now_ = now;
  retention_.remove(id, RemovalReason::kAbandoned);
}

void PagedResultStore::complete(TimePoint now, ResultHandle id) {
  now_ = now;
  const auto entry = results_.find(id);
  if (entry == results_.end()) return;
  Result& result = entry->second;
  result.is_complete = true;
  result.token = generate_token();
  add_to_indexes(id, result);
  double size_bytes = 0;
  for (const Page& page : result.pages) size_bytes += page.size_bytes;
  size_estimator_.add_result(result.profile, result.table_group, size_bytes);
  retention_.complete(now, id);
  count_("results completed");
  is_space_freed_ = true;  // the unused rest of the reservation
  write_manifest(now, id);
}

PagedAnswer PagedResultStore::answer_of(ResultHandle id) const {
  const auto entry = results_.find(id);
  if (entry == results_.end()) return {};
  return {to_hex(entry->second.token), entry->second.pages.size(), entry->second.rows};
}

// Returns nothing also if the result exists but the key does not match.
std::optional<ResultId> PagedResultStore::find_by_token(std::string_view hex,
                                                        std::string_view result_key) const {
  const auto token = parse_token(hex);
  if (!token) return std::nullopt;
  const auto [begin, end] = by_token_.equal_range(token_hash(*token));
  for (auto entry = begin; entry != end; ++entry) {
    const Result& result = results_.at(entry->second);
    const bool is_token = equal_in_constant_time(result.token, *token);
    if (is_token && (result.key_hash == 0 || result.key_hash == hash_of_key(result_key)))
      return entry->second;
  }
  return std::nullopt;
}

void PagedResultStore::read_page(TimePoint now, std::string_view token, std::string_view result_key,
                                 uint64_t page_number, ReadCallback callback) {
  now_ = now;
  const auto id = find_by_token(token, result_key);
  if (!id || !retention_.renew_lease(now, *id)) return callback(now, ReadStatus::kGone, {}, 0);
  const Result& result = results_.at(*id);
  if (page_number < 1 || page_number > result.pages.size())
    return callback(now, ReadStatus::kNoSuchPage, {}, result.pages.size());
  // Rewrites the manifest once less than half of the lease remains in the stored one, instead of on every
  // read.
  if (result.stored_lease_expiry && *result.stored_lease_expiry < now + options_.retention.lease / 2)
    write_manifest(now, *id);
  const Page& page = result.pages[page_number - 1];
  if (page.stored.bytes.empty() && page.is_on_disk) {
    reads_[++last_request_id_] = {*id, page_number - 1, std::move(callback)};
    return storage_->read(last_request_id_, page.location);
  }
  const auto rows = decompress(page.stored);
  if (!rows) {
    handle_corrupt_page(*id);
    return callback(now, ReadStatus::kGone, {}, 0);
  }
  callback(now, ReadStatus::kRows, *rows, result.pages.size());
}

bool PagedResultStore::release(TimePoint now, std::string_view token, std::string_view result_key) {
  now_ = now;
  const auto id = find_by_token(token, result_key);
  if (!id) return false;
  retention_.remove(*id, RemovalReason::kReleased);
  return true;
}

// ---- Storage ------------------------------------------------------------------------------------

// Each attempt is a separate result in the storage. A recovered result keeps its key.
RecordKey PagedResultStore::record_key(ResultId id, const Result& result) const {
  return result.recovered_key.value_or(RecordKey{incarnation_, (id << 16) + result.attempt});
}

void PagedResultStore::write_page(ResultId id, size_t page_index) {
  if (!storage_) return;
  Result& result = results_.at(id);
  Page& page = result.pages[page_index];
  if (!retention_.reserve_disk(id, page.size_bytes)) {
    count_("pages refused by a full disk budget");
    return;
  }
  page.is_in_storage = true;
  SegmentRecord record;
  record.kind = SegmentRecord::Kind::kPage;
  record.key = record_key(id, result);
  record.page_index = static_cast<uint32_t>(page_index);
  record.page = page.stored;
  writes_[++last_request_id_] = {id, page_index, result.attempt};
  storage_->append(last_request_id_, std::move(record));
}

// Writes no manifest unless all pages were passed to the storage: only then can the result be recovered.
void PagedResultStore::write_manifest(TimePoint now, ResultId id) {
  if (!storage_) return;
  Result& result = results_.at(id);
  const auto is_in_storage = [](const Page& page) { return page.is_in_storage; };
  if (!std::all_of(result.pages.begin(), result.pages.end(), is_in_storage)) return;
  result.stored_lease_expiry = now + options_.retention.lease;
  SegmentRecord record;
  record.kind = SegmentRecord::Kind::kManifest;
  record.key = record_key(id, result);
  record.manifest.token = result.token;
  record.manifest.key_hash = result.key_hash;
  record.manifest.chain_hash = result.chain_hash;
  record.manifest.lease_expiry = to_lease_time(*result.stored_lease_expiry, lease_offset_);
  record.manifest.pages = static_cast<uint32_t>(result.pages.size());
  record.manifest.rows = result.rows;
  record.manifest.owner = result.owner;
  storage_->append(std::nullopt, std::move(record));
}

// Prevents the next incarnation from recovering a result that was removed before its stored lease expired.
void PagedResultStore::write_tombstone(ResultId id, const Result& result) {
  const bool is_recoverable = storage_ && result.stored_lease_expiry && *result.stored_lease_expiry > now_;
  if (!is_recoverable) return;
  SegmentRecord record;
  record.kind = SegmentRecord::Kind::kTombstone;
  record.key = record_key(id, result);
  storage_->append(std::nullopt, std::move(record));
}

void PagedResultStore::finish_write(const PendingWrite& write, const Storage::Completion& completion) {
  if (!completion.succeeded) count_("page writes failed");
  const auto entry = results_.find(write.id);
  if (entry == results_.end() || entry->second.attempt != write.attempt) return;
  Page& page = entry->second.pages[write.page_index];
  page.is_in_storage = page.is_on_disk = completion.succeeded;
  page.location = completion.location;
  if (completion.succeeded) ++live_pages_[completion.location.segment];
  retention_.finish_disk_write(write.id, page.size_bytes, completion.succeeded);
}

std::optional<std::string> PagedResultStore::decompress_read(const PendingRead& read,
                                                             Storage::Completion completion) {
  const auto entry = results_.find(read.id);
  if (entry == results_.end() || !completion.succeeded) return std::nullopt;
  StoredPage page = entry->second.pages[read.page_index].stored;
  page.bytes = std::move(completion.bytes);
  return decompress(page);
}

void PagedResultStore::finish_read(TimePoint now, const PendingRead& read, Storage::Completion completion) {
  if (const auto rows = decompress_read(read, std::move(completion)))
    return read.callback(now, ReadStatus::kRows, *rows, results_.at(read.id).pages.size());
  if (results_.count(read.id) > 0) handle_corrupt_page(read.id);
  read.callback(now, ReadStatus::kGone, {}, 0);
}

void PagedResultStore::release_segments(const Result& result) {
  for (const Page& page : result.pages) {
    if (!page.is_on_disk) continue;
    const auto entry = live_pages_.find(page.location.segment);
    if (entry != live_pages_.end() && --entry->second == 0) live_pages_.erase(entry);
  }
}

// Deletes the oldest segments first, so that no tombstone is deleted before the pages of its result.
void PagedResultStore::delete_unused_segments() {
  if (!storage_) return;
  const size_t current = storage_->current_segment();
  const size_t first_needed = live_pages_.empty() ? current : std::min(live_pages_.begin()->first, current);
  if (first_needed <= first_needed_segment_) return;
  first_needed_segment_ = first_needed;
  storage_->delete_segments_before(first_needed);
}

// ---- Retention ----------------------------------------------------------------------------------

void PagedResultStore::handle_memory_evicted(ResultId id) {
  for (Page& page : results_.at(id).pages)
    if (page.is_on_disk) std::string().swap(page.stored.bytes);
  count_("results evicted from memory");
}

// Removes the whole result: a corrupt page is never served, and the other pages are useless without it.
void PagedResultStore::handle_corrupt_page(ResultId id) {
  count_("pages corrupt");
  retention_.remove(id, RemovalReason::kEvicted);
}

void PagedResultStore::handle_removed(ResultId id, RemovalReason reason) {
  const auto entry = results_.find(id);
  if (entry == results_.end()) return;
  const Result& result = entry->second;
  count_(metric_of(reason));
  if (result.is_complete) remove_from_indexes(id, result);
  release_segments(result);
  write_tombstone(id, result);
  results_.erase(entry);
  is_space_freed_ = true;
  delete_unused_segments();
}

void PagedResultStore::handle_due(TimePoint now) {
  now_ = now;
  retention_.expire_leases(now);
  if (storage_) {
    for (Storage::Completion& completion : storage_->take_completions()) {
      if (const auto write = writes_.extract(completion.request_id)) {
        finish_write(write.mapped(), completion);
      } else if (const auto read = reads_.extract(completion.request_id)) {
        finish_read(now, read.mapped(), std::move(completion));
      }
    }
    delete_unused_segments();
  }
  if (std::exchange(is_space_freed_, false) && on_space_freed) on_space_freed(now);
}

std::optional<TimePoint> PagedResultStore::next_due() const {
  if (is_space_freed_) return TimePoint(Duration(1));  // at once
  return retention_.next_expiry();
}

}  // namespace firvalve::results
