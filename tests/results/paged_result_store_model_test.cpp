// Compares the result store with a simple map over random sequences of writes, reads, lease expiries,
// releases, crashes and restarts. The disk is a string of records; a crash destroys the store and may cut off
// the end of the string.
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
    Completion completion;
    completion.request_id = request_id.value_or(0);
    completion.succeeded = true;
    completion.location = {1, segment.size() + kRecordHeadBytes, record.page.bytes.size(),
                           record.page.uncompressed_bytes, record.page.checksum};
    append_record(segment, record);
    if (request_id) ready_.push_back(std::move(completion));
  }
  void read(RequestId request_id, const RecordLocation& location) override {
    Completion completion;
    completion.request_id = request_id;
    completion.succeeded = location.offset + location.length <= segment.size();
    if (completion.succeeded) completion.bytes = segment.substr(location.offset, location.length);
    ready_.push_back(std::move(completion));
  }
  void delete_segments_before(size_t) override {}
  std::vector<Completion> take_completions() override { return std::exchange(ready_, {}); }
  size_t backlog_bytes() const override { return 0; }
  size_t current_segment() const override { return 1; }
  void crash(size_t torn_bytes) {
    ready_.clear();
    segment.resize(std::max(kSegmentHeader.size(), segment.size() - std::min(torn_bytes, segment.size())));
  }

 private:
  std::vector<Completion> ready_;
};

struct ExpectedResult {
  std::vector<std::string> pages;
  std::string key;
  bool must_be_readable = true;  // false after a crash that may have lost some of its records
  TimePoint complete_at, read_at;
  size_t stored_size = 0;  // size of the disk after its completion
};

// A read never returns wrong rows, and a result does not disappear before its lease expires unless it was
// released or a crash cut off its records.
RC_GTEST_PROP(ResultStoreModel, ReadsAreCorrectAndResultsAreNotLostWithoutACause,
              (const std::vector<std::tuple<uint8_t, uint16_t, uint16_t>>& steps)) {
  PagedResultStoreOptions options;
  options.retention.memory_bytes = 3000;
  options.retention.disk_bytes = 1e9;
  options.retention.lease = Duration(1000);
  options.initial_expected_bytes = 200;
  Disk disk;
  std::map<std::string, ExpectedResult> model;
  TimePoint now = time_point_of(10000);
  uint64_t incarnation = 1;
  auto store = std::make_unique<PagedResultStore>(options, incarnation, [](std::string_view) {});
  store->attach_storage(now, disk, {});
  int row_number = 0;
  const auto pick = [&](uint16_t selector) {
    auto at = model.begin();
    std::advance(at, selector % model.size());
    return at;
  };
  for (const auto& [action, selector, variant] : steps) {
    now += Duration(variant % 50);
    store->handle_due(now);
    switch (action % 8) {
      case 0:
      case 1:
      case 2: {  // stores a result; some results start over
        ExpectedResult expected;
        expected.key = selector % 3 == 0 ? "k" : "";
        const std::optional<ResultHandle> reserved = store->reserve(
            now, {selector % 2 ? "a" : "b", expected.key, "report", "select 1", "00000000000000a1", 1});
        if (!reserved) break;
        const ResultHandle id = *reserved;
        bool is_out_of_space = false;
        if (variant % 5 == 0) {
          is_out_of_space = store->append_page(now, id, "of a send that failed\tb\tc\n") ==
                            ResultStore::AppendResult::kOutOfSpace;
          if (!is_out_of_space) store->clear_pages(now, id);
        }
        for (int page = 0; page < 1 + selector % 4 && !is_out_of_space; ++page) {
          expected.pages.push_back(std::to_string(++row_number) + std::string(variant % 300, 'x') +
                                   "\tb\tc\n");
          is_out_of_space =
              store->append_page(now, id, expected.pages.back()) == ResultStore::AppendResult::kOutOfSpace;
          if (variant % 2) store->handle_due(now);
        }
        if (is_out_of_space) break;
        if (variant % 11 == 0) {
          store->discard(now, id);
          break;
        }
        store->complete(now, id);
        expected.complete_at = expected.read_at = now;
        expected.stored_size = disk.segment.size();
        const PagedAnswer answer = store->answer_of(id);
        RC_ASSERT(answer.pages == expected.pages.size());
        RC_ASSERT(answer.rows == expected.pages.size());
        RC_ASSERT(model.emplace(answer.token, expected).second);
        break;
      }
      case 3:
      case 4: {  // reads a page
        if (model.empty()) break;
        const auto at = pick(selector);
        ExpectedResult& expected = at->second;
        const size_t page = variant % expected.pages.size();
        bool was_called = false, found = false;
        store->read_page(
            now, at->first, expected.key, page + 1,
            [&](TimePoint, ResultStore::ReadStatus status, std::string_view rows, uint64_t pages) {
              was_called = true;
              found = status == ResultStore::ReadStatus::kRows;
              if (found) RC_ASSERT(rows == expected.pages[page]);
              if (found) RC_ASSERT(pages == expected.pages.size());
            });
        store->handle_due(now);
        RC_ASSERT(was_called);
        const bool is_expired = now > expected.read_at + options.retention.lease - Duration(40);
        if (expected.must_be_readable && !is_expired) RC_ASSERT(found);
        if (found) expected.read_at = now;
        if (!found) model.erase(at);
        break;
      }
      case 5: {  // releases a result
        if (model.empty()) break;
        const auto at = pick(selector);
        if (!at->second.key.empty()) RC_ASSERT(!store->release(now, at->first, "another"));
        store->release(now, at->first, at->second.key);
        bool gone = false;
        store->read_page(now, at->first, at->second.key, 1,
                         [&](TimePoint, ResultStore::ReadStatus status, std::string_view, uint64_t) {
                           gone = status == ResultStore::ReadStatus::kGone;
                         });
        RC_ASSERT(gone);
        model.erase(at);
        break;
      }
      case 6:
        now += Duration(variant % 600);
        break;
      case 7: {  // the process ends, and the next incarnation recovers the results on disk
        const size_t torn_bytes = variant % 3 == 0 ? variant % 400 : 0;
        store.reset();
        disk.crash(torn_bytes);
        Recovery recovery;
        const auto torn_at = recovery.add_segment(1, disk.segment);
        if (torn_at) disk.segment.resize(*torn_at);
        const Recovery::Outcome outcome = recovery.outcome(to_lease_time(now, Duration(0)));
        store = std::make_unique<PagedResultStore>(options, ++incarnation, [](std::string_view) {});
        store->attach_storage(now, disk, outcome.results);
        // A lease may have been renewed in memory while more than half of it remained in the stored manifest.
        // A torn tail may have contained the manifest with the renewed lease.
        for (auto& [token, expected] : model) {
          expected.must_be_readable &= expected.stored_size <= disk.segment.size();
          expected.read_at =
              torn_bytes > 0 ? expected.complete_at
                             : std::max(expected.complete_at, expected.read_at - options.retention.lease / 2);
        }
        break;
      }
    }
    RC_ASSERT(store->retention().memory_bytes() <= options.retention.memory_bytes + 1e-6);
  }
}

}  // namespace
}  // namespace firvalve::results
