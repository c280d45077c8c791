// The spool: results as pages under a token. It carries out what Retention decides, and holds the bytes.
// One thread: the loop's. The files have their own.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/result_store.h"
#include "results/retention.h"
#include "results/segment_files.h"
#include "results/sizes.h"
#include "results/storage.h"

namespace firvalve::results {

struct PagedResultStoreOptions {
  RetentionOptions keeping;
  double first_expected = 64 * 1024;  // bytes of a result of which nothing is known
  double backlog_most = 4e6;          // bytes waiting for the disk, past which engines are asked more slowly
};

class PagedResultStore : public ResultStore {
 public:
  // Counts by name: kept, evicted, outgrown and so on.
  using Count = std::function<void(std::string_view what)>;
  PagedResultStore(const PagedResultStoreOptions& options, uint64_t life, Count count);
  ~PagedResultStore() override;

  // Results of earlier lives, and where pages go from here on. The storage must outlive the spool.
  // lease_offset: by how much the time in which the storage holds leases lies past `now`.
  void use(Ms now, Storage& storage, const std::vector<Found>& found, Ms lease_offset = 0);
  std::function<void(Ms now)> on_room;  // a place may be had again

  std::optional<ResultHandle> reserve(TimePoint now, const Reservation& wish) override;
  std::optional<ResultHandle> find(TimePoint now, const Reservation& wish) override;
  AppendResult append_page(TimePoint now, ResultHandle no, std::string_view rows) override;
  void clear_pages(TimePoint now, ResultHandle no) override;
  void discard(TimePoint now, ResultHandle no) override;
  void complete(TimePoint now, ResultHandle no) override;
  PagedAnswer answer_of(ResultHandle no) const override;
  void read_page(TimePoint now, std::string_view token, std::string_view key, uint64_t page,
                 ReadCallback done) override;
  bool release(TimePoint now, std::string_view token, std::string_view key) override;

  void due(Ms now);  // what the storage has done, and leases that are over
  Ms next_due() const { return room_ ? 1 : keeping_.next_due(); }
  const Retention& keeping() const { return keeping_; }
  bool settled() const { return reads_.empty(); }

 private:
  struct Page {
    StoredPage stored;  // its bytes: empty once it is on disk alone
    Found::Place place;
    bool on_disk = false, written = false;  // written: it has been handed to the storage
    double size = 0;
  };
  struct Result {
    Token token{};
    std::string owner, profile;
    uint64_t key = 0, chain = 0;
    int64_t tables = -1;
    uint64_t rows = 0, tries = 0;      // tries: how often it began anew
    uint64_t life = 0, stored_as = 0;  // as an earlier life of the program stored it; 0: this one
    std::vector<Page> pages;
    double raw = 0;
    bool whole = false;
    Ms told_until =
        0;  // the lease's end as the storage knows it, in our time; 0: it does not know it as whole
  };
  struct Writing {
    ResultNo no = 0;
    size_t page = 0;
    uint64_t tries = 0;
  };
  struct Reading {
    ResultNo no = 0;
    size_t page = 0;
    ReadCallback done;
  };

  uint64_t key_hash(std::string_view key) const;
  uint64_t chain_hash(const Reservation& wish) const;
  ResultNo by_token(std::string_view token, std::string_view key) const;  // 0: none that this client may have
  void gone(ResultNo no, Gone why);
  void leave_memory(ResultNo no);
  void write(Ms now, ResultNo no, size_t page);
  void tell_whole(Ms now, ResultNo no);
  void put_name(ResultNo no, const Result& r, Record& record) const;  // what the storage knows it by
  void let_go(const Result& r);
  void drop_segments();

  const PagedResultStoreOptions options_;
  const uint64_t life_;
  Count count_;
  Retention keeping_;
  Sizes sizes_;
  Storage* storage_ = nullptr;
  Ms lease_offset_ = 0;
  std::unordered_map<ResultNo, Result> results_;
  std::unordered_multimap<uint64_t, ResultNo> tokens_, chains_;  // by hash
  std::unordered_map<uint64_t, Writing> writes_;
  std::unordered_map<uint64_t, Reading> reads_;
  std::map<size_t, int> live_;  // pages wanted, by segment
  uint64_t last_tag_ = 0, salt_ = 0;
  size_t dropped_until_ = 0;
  bool room_ = false;  // something has gone since the last look
  Ms now_ = 0;
};

}  // namespace firvalve::results
