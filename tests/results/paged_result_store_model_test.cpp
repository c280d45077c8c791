// The result store against a plain map, over random puts, reads, leases, releases, crashes and restarts. The
// disk is a string of records; a crash ends the store and may tear the tail of the string.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "results/paged_result_store.h"

namespace firvalve::results {
namespace {

class Disk : public Storage {
 public:
  std::string segment{kSegmentHeader};
  void append(std::optional<RequestId> request_id, SegmentRecord record) override {
    Completion d;
    d.request_id = request_id.value_or(0);
    d.succeeded = true;
    d.location = {1, segment.size() + kRecordHeadBytes, record.page.bytes.size(),
                  record.page.uncompressed_bytes, record.page.checksum};
    append_record(segment, record);
    if (request_id) ready_.push_back(std::move(d));
  }
  void read(RequestId request_id, const RecordLocation& location) override {
    Completion d;
    d.request_id = request_id;
    d.succeeded = location.offset + location.length <= segment.size();
    if (d.succeeded) d.bytes = segment.substr(location.offset, location.length);
    ready_.push_back(std::move(d));
  }
  void delete_segments_before(size_t) override {}
  std::vector<Completion> take_completions() override { return std::exchange(ready_, {}); }
  size_t backlog_bytes() const override { return 0; }
  size_t current_segment() const override { return 1; }
  void crash(size_t torn) {
    ready_.clear();
    segment.resize(std::max(kSegmentHeader.size(), segment.size() - std::min(torn, segment.size())));
  }

 private:
  std::vector<Completion> ready_;
};

struct Kept {
  std::vector<std::string> pages;
  std::string key;
  bool must = true;  // nothing has happened that it could have gone by
  TimePoint complete_at, read_at;
  size_t written = 0;  // the disk's size once all of it was told
};

RC_GTEST_PROP(ResultStoreModel, NeverWrongAndNeverGoneWithoutACause,
              (const std::vector<std::tuple<uint8_t, uint16_t, uint16_t>>& steps)) {
  PagedResultStoreOptions options;
  options.retention.memory_bytes = 3000;
  options.retention.disk_bytes = 1e9;
  options.retention.lease = Duration(1000);
  options.initial_expected_bytes = 200;
  Disk disk;
  std::map<std::string, Kept> model;
  TimePoint now = time_point_of(10000);
  uint64_t incarnation = 1;
  auto store = std::make_unique<PagedResultStore>(options, incarnation, [](std::string_view) {});
  store->attach_storage(now, disk, {});
  int number = 0;
  const auto pick = [&](uint16_t which) {
    auto at = model.begin();
    std::advance(at, which % model.size());
    return at;
  };
  for (const auto& [what, which, how] : steps) {
    now += Duration(how % 50);
    store->handle_due(now);
    switch (what % 8) {
      case 0:
      case 1:
      case 2: {  // a result, some of which start over
        Kept kept;
        kept.key = which % 3 == 0 ? "k" : "";
        const std::optional<ResultHandle> reserved = store->reserve(
            now, {which % 2 ? "a" : "b", kept.key, "report", "select 1", "00000000000000a1", 1});
        if (!reserved) break;
        const ResultHandle id = *reserved;
        bool lost = false;
        if (how % 5 == 0) {
          lost = store->append_page(now, id, "of a send that failed\tb\tc\n") ==
                 ResultStore::AppendResult::kOutOfSpace;
          if (!lost) store->clear_pages(now, id);
        }
        for (int p = 0; p < 1 + which % 4 && !lost; ++p) {
          kept.pages.push_back(std::to_string(++number) + std::string(how % 300, 'x') + "\tb\tc\n");
          lost = store->append_page(now, id, kept.pages.back()) == ResultStore::AppendResult::kOutOfSpace;
          if (how % 2) store->handle_due(now);
        }
        if (lost) break;
        if (how % 11 == 0) {
          store->discard(now, id);
          break;
        }
        store->complete(now, id);
        kept.complete_at = kept.read_at = now;
        kept.written = disk.segment.size();
        const PagedAnswer a = store->answer_of(id);
        RC_ASSERT(a.pages == kept.pages.size());
        RC_ASSERT(a.rows == kept.pages.size());
        RC_ASSERT(model.emplace(a.token, kept).second);
        break;
      }
      case 3:
      case 4: {
        if (model.empty()) break;
        const auto at = pick(which);
        Kept& kept = at->second;
        const size_t page = how % kept.pages.size();
        bool heard = false, found = false;
        store->read_page(now, at->first, kept.key, page + 1,
                         [&](TimePoint, ResultStore::ReadStatus r, std::string_view rows, uint64_t pages) {
                           heard = true;
                           found = r == ResultStore::ReadStatus::kRows;
                           if (found) RC_ASSERT(rows == kept.pages[page]);
                           if (found) RC_ASSERT(pages == kept.pages.size());
                         });
        store->handle_due(now);
        RC_ASSERT(heard);
        const bool over = now > kept.read_at + options.retention.lease - Duration(40);
        if (kept.must && !over) RC_ASSERT(found);
        if (found) kept.read_at = now;
        if (!found) model.erase(at);
        break;
      }
      case 5: {
        if (model.empty()) break;
        const auto at = pick(which);
        if (!at->second.key.empty()) RC_ASSERT(!store->release(now, at->first, "another"));
        store->release(now, at->first, at->second.key);
        bool gone = false;
        store->read_page(now, at->first, at->second.key, 1,
                         [&](TimePoint, ResultStore::ReadStatus r, std::string_view, uint64_t) {
                           gone = r == ResultStore::ReadStatus::kGone;
                         });
        RC_ASSERT(gone);
        model.erase(at);
        break;
      }
      case 6:
        now += Duration(how % 600);
        break;
      case 7: {  // the process ends, and the next incarnation recovers what is there
        const size_t torn = how % 3 == 0 ? how % 400 : 0;
        store.reset();
        disk.crash(torn);
        Recovery recovery;
        const auto torn_at = recovery.add_segment(1, disk.segment);
        if (torn_at) disk.segment.resize(*torn_at);
        const Recovery::Outcome outcome = recovery.outcome(to_lease_time(now, Duration(0)));
        store = std::make_unique<PagedResultStore>(options, ++incarnation, [](std::string_view) {});
        store->attach_storage(now, disk, outcome.results);
        // A renewed lease is stored before half of it is over; a torn tail may have held that
        // manifest.
        for (auto& [token, kept] : model) {
          kept.must &= kept.written <= disk.segment.size();
          kept.read_at = torn > 0 ? kept.complete_at
                                  : std::max(kept.complete_at, kept.read_at - options.retention.lease / 2);
        }
        break;
      }
    }
    RC_ASSERT(store->retention().memory_bytes() <= options.retention.memory_bytes + 1e-6);
  }
}

}  // namespace
}  // namespace firvalve::results
