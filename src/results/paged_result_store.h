// The result store: stores results as compressed pages, which clients read with a token. It holds the data;
// Retention decides which results are retained. Pages are kept in memory and, if there is a Storage, also
// written to disk.
//
// Not thread-safe: used by the event loop only. A Storage may have threads of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/result_store.h"
#include "results/recovery.h"
#include "results/result_size_estimator.h"
#include "results/retention.h"
#include "results/storage.h"

namespace firvalve::results {

struct PagedResultStoreOptions {
  RetentionOptions retention;
  double initial_expected_bytes = 64 * 1024;  // expected size of a result of a profile without statistics
  double max_backlog_bytes = 4e6;  // unwritten bytes above which pages are fetched from engines more slowly
};

class PagedResultStore : public ResultStore {
 public:
  // Increments the metric of the given name by one.
  using CountMetric = std::function<void(std::string_view name)>;

  // `incarnation`: random, drawn at each start of the process; see RecordKey. Throws std::runtime_error if
  // the system's random source fails.
  PagedResultStore(const PagedResultStoreOptions& options, uint64_t incarnation, CountMetric count);
  ~PagedResultStore() override;

  // Adds the results recovered from earlier incarnations, and writes pages to the storage from now on. The
  // storage must outlive the result store. `lease_offset`: how far the storage's lease clock is ahead of the
  // clock of `now`.
  void attach_storage(TimePoint now, Storage& storage, const std::vector<RecoveredResult>& recovered,
                      Duration lease_offset = Duration(0));
  // Called by handle_due() after space was freed, so that a failed reservation can be retried.
  std::function<void(TimePoint now)> on_space_freed;

  std::optional<ResultHandle> reserve(TimePoint now, const Reservation& reservation) override;
  std::optional<ResultHandle> find(TimePoint now, const Reservation& reservation) override;
  AppendResult append_page(TimePoint now, ResultHandle id, std::string_view rows) override;
  void clear_pages(TimePoint now, ResultHandle id) override;
  void discard(TimePoint now, ResultHandle id) override;
  void complete(TimePoint now, ResultHandle id) override;
  PagedAnswer answer_of(ResultHandle id) const override;
  void read_page(TimePoint now, std::string_view token, std::string_view result_key, uint64_t page,
                 ReadCallback callback) override;
  bool release(TimePoint now, std::string_view token, std::string_view result_key) override;

  // Handles completions of the storage and expired leases.
  void handle_due(TimePoint now);
  std::optional<TimePoint> next_due() const;
  const Retention& retention() const { return retention_; }
  bool has_pending_reads() const { return !reads_.empty(); }

 private:
  struct Page {
    StoredPage stored;  // its bytes are empty if the page is on disk only
    RecordLocation location;
    bool is_on_disk = false;
    bool is_in_storage = false;  // passed to the storage: the write is pending or has succeeded
    double size_bytes = 0;       // as accounted for by Retention
  };
  struct Result {
    ResultToken token{};
    std::string owner, profile;
    uint64_t key_hash = 0;  // of the client's key; 0: the token alone gives access
    uint64_t chain_hash = 0;
    int64_t table_group = -1;
    uint64_t rows = 0;
    uint64_t attempt = 0;                    // number of times that its pages were cleared
    std::optional<RecordKey> recovered_key;  // key under which an earlier incarnation stored it
    std::vector<Page> pages;
    double uncompressed_bytes = 0;
    bool is_complete = false;
    // Lease expiry in the latest manifest written, in this process's clock. Nothing if there is no manifest.
    std::optional<TimePoint> stored_lease_expiry;
  };
  using Results = std::unordered_map<ResultId, Result>;
  struct PendingWrite {
    ResultId id = 0;
    size_t page_index = 0;
    uint64_t attempt = 0;
  };
  struct PendingRead {
    ResultId id = 0;
    size_t page_index = 0;
    ReadCallback callback;
  };

  uint64_t token_hash(const ResultToken& token) const;
  std::optional<ResultId> find_by_token(std::string_view token, std::string_view result_key) const;
  void add_to_indexes(ResultId id, const Result& result);  // by token and by retry chain
  void remove_from_indexes(ResultId id, const Result& result);
  RecordKey record_key(ResultId id, const Result& result) const;

  void write_page(ResultId id, size_t page_index);
  void write_manifest(TimePoint now, ResultId id);
  void write_tombstone(ResultId id, const Result& result);
  void finish_write(const PendingWrite& write, const Storage::Completion& completion);
  void finish_read(TimePoint now, const PendingRead& read, Storage::Completion completion);
  std::optional<std::string> decompress_read(const PendingRead& read, Storage::Completion completion);

  void handle_removed(ResultId id, RemovalReason reason);
  void handle_memory_evicted(ResultId id);
  void handle_corrupt_page(ResultId id);
  void release_segments(const Result& result);  // its pages no longer prevent the deletion of their segments
  void delete_unused_segments();

  const PagedResultStoreOptions options_;
  const uint64_t incarnation_;
  const CountMetric count_;
  Retention retention_;
  ResultSizeEstimator size_estimator_;
  Storage* storage_ = nullptr;  // owned by the caller of attach_storage()
  Duration lease_offset_{0};
  Results results_;
  std::unordered_multimap<uint64_t, ResultId> by_token_, by_chain_;  // complete results, by hash
  std::unordered_map<RequestId, PendingWrite> writes_;
  std::unordered_map<RequestId, PendingRead> reads_;
  std::map<size_t, int> live_pages_;  // number of pages still needed, by segment
  RequestId last_request_id_ = 0;
  uint64_t token_salt_ = 0;          // random, so that clients cannot choose tokens that collide in by_token_
  size_t first_needed_segment_ = 0;  // all segments before it have been deleted
  bool is_space_freed_ = false;      // since the last handle_due()
  TimePoint now_;                    // time of the latest call
};

}  // namespace firvalve::results
