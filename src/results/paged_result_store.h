// The spool: results as pages under a token. It carries out what Retention decides, and holds the bytes.
// One thread: the loop's. The files have their own.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/result_store.h"
#include "results/result_size_estimator.h"
#include "results/retention.h"
#include "results/segment_files.h"
#include "results/storage.h"

namespace firvalve::results {

struct PagedResultStoreOptions {
  RetentionOptions retention;
  double initial_expected_bytes = 64 * 1024;  // bytes of a result of which nothing is known
  double max_backlog_bytes = 4e6;  // bytes waiting for the disk, past which engines are asked more slowly
};

class PagedResultStore : public ResultStore {
 public:
  // Counts by name: kept, evicted, outgrown and so on.
  using Count = std::function<void(std::string_view what)>;
  PagedResultStore(const PagedResultStoreOptions& options, uint64_t incarnation, Count count);
  ~PagedResultStore() override;

  // Results of earlier lives, and where pages go from here on. The storage must outlive the spool.
  // lease_offset: by how much the time in which the storage holds leases lies past `now`.
  void use(Ms now, Storage& storage, const std::vector<RecoveredResult>& found, Ms lease_offset = 0);
  std::function<void(Ms now)> on_space_freed;  // a place may be had again

  ResultHandle reserve(Ms now, const Reservation& wish) override;
  ResultHandle find(Ms now, const Reservation& wish) override;
  Put page(Ms now, ResultHandle no, std::string_view rows) override;
  void clear(Ms now, ResultHandle no) override;
  void drop(Ms now, ResultHandle no) override;
  void whole(Ms now, ResultHandle no) override;
  PagedAnswer answer(ResultHandle no) const override;
  void read(Ms now, std::string_view token, std::string_view key, uint64_t page, Rows done) override;
  bool release(Ms now, std::string_view token, std::string_view key) override;

  void due(Ms now);  // what the storage has done, and leases that are over
  Ms next_due() const { return space_freed_ ? 1 : retention_.next_due(); }
  const Retention& retention() const { return retention_; }
  bool settled() const { return reads_.empty(); }

 private:
  struct Page {
    StoredPage stored;  // its bytes: empty once it is on disk alone
    RecordLocation location;
    bool on_disk = false, written = false;  // written: it has been handed to the storage
    double size = 0;
  };
  struct Result {
    ResultToken token{};
    std::string owner, profile;
    uint64_t key = 0, chain = 0;
    int64_t tables = -1;
    uint64_t rows = 0, attempt = 0;               // attempt: how often it began anew
    uint64_t incarnation = 0, stored_result = 0;  // as an earlier life of the program stored it; 0: this one
    std::vector<Page> pages;
    double uncompressed_bytes = 0;
    bool whole = false;
    Ms stored_lease_expiry =
        0;  // the lease's end as the storage knows it, in our time; 0: it does not know it as whole
  };
  struct Writing {
    ResultId no = 0;
    size_t page = 0;
    uint64_t attempt = 0;
  };
  struct Reading {
    ResultId no = 0;
    size_t page = 0;
    Rows done;
  };

  uint64_t key_hash(std::string_view key) const;
  uint64_t chain_hash(const Reservation& wish) const;
  ResultId find_by_token(std::string_view token,
                         std::string_view key) const;  // 0: none that this client may have
  void gone(ResultId no, RemovalReason reason);
  void leave_memory(ResultId no);
  void write(Ms now, ResultId no, size_t page);
  void write_manifest(Ms now, ResultId no);
  void set_record_key(ResultId no, const Result& r, Record& record) const;  // what the storage knows it by
  void forget_segments_of(const Result& r);
  void delete_unused_segments();

  const PagedResultStoreOptions options_;
  const uint64_t incarnation_;
  Count count_;
  Retention retention_;
  ResultSizeEstimator size_estimator_;
  Storage* storage_ = nullptr;
  Ms lease_offset_ = 0;
  std::unordered_map<ResultId, Result> results_;
  std::unordered_multimap<uint64_t, ResultId> tokens_, chains_;  // by hash
  std::unordered_map<uint64_t, Writing> writes_;
  std::unordered_map<uint64_t, Reading> reads_;
  std::map<size_t, int> live_pages_;  // pages wanted, by segment
  uint64_t last_request_id_ = 0, salt_ = 0;
  size_t dropped_until_ = 0;
  bool space_freed_ = false;  // something has gone since the last look
  Ms now_ = 0;
};

}  // namespace firvalve::results
