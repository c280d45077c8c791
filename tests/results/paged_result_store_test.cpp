// Tests the result store with a fake storage that can fail.
#include "results/paged_result_store.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace firvalve::results {
namespace {

// Stores pages in memory. Can fail all writes, or return corrupt bytes for all reads.
struct MemoryStorage : Storage {
  std::vector<std::string> stored_pages;
  std::vector<Completion> ready;
  bool fails_writes = false, corrupts_reads = false;
  int manifests = 0, tombstones = 0;
  void append(std::optional<RequestId> request_id, SegmentRecord record) override {
    manifests += record.kind == SegmentRecord::Kind::kManifest;
    tombstones += record.kind == SegmentRecord::Kind::kTombstone;
    if (!request_id) return;
    Completion completion;
    completion.request_id = *request_id;
    completion.succeeded = !fails_writes;
    completion.location = {1, stored_pages.size(), record.page.bytes.size(), record.page.uncompressed_bytes,
                           record.page.checksum};
    stored_pages.push_back(record.page.bytes);
    ready.push_back(std::move(completion));
  }
  void read(RequestId request_id, const RecordLocation& location) override {
    Completion completion;
    completion.request_id = request_id;
    completion.succeeded = true;
    completion.bytes = stored_pages[location.offset];
    if (corrupts_reads) completion.bytes[0] = static_cast<char>(completion.bytes[0] ^ 1);
    ready.push_back(std::move(completion));
  }
  void delete_segments_before(size_t) override {}
  std::vector<Completion> take_completions() override { return std::exchange(ready, {}); }
  size_t backlog_bytes() const override { return 0; }
  size_t current_segment() const override { return 1; }
};

struct ResultStoreTest : testing::Test {
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions store_options;
    store_options.retention.memory_bytes = 20000;
    store_options.retention.lease = Duration(10000);
    store_options.initial_expected_bytes = 1000;
    return store_options;
  }();
  MemoryStorage storage;
  std::map<std::string, int, std::less<>> counts;
  std::unique_ptr<PagedResultStore> store;
  TimePoint now = time_point_of(1000);

  void open(bool with_disk) {
    if (with_disk) options.retention.disk_bytes = 100000;
    store = std::make_unique<PagedResultStore>(
        options, 7, [this](std::string_view metric) { ++counts[std::string(metric)]; });
    if (with_disk) store->attach_storage(now, storage, {});
  }
  ResultStore::Reservation reservation(const char* owner = "x", const char* key = "") {
    return {owner, key, "report", "select 1", "00000000000000a1", 1};
  }
  static std::string incompressible_rows(size_t bytes, unsigned seed) {
    std::string text;
    while (text.size() < bytes) {
      seed = seed * 1664525 + 1013904223;
      text += static_cast<char>(' ' + (seed >> 24) % 90);
    }
    return text + "\tb\tc\n";
  }
  ResultHandle store_result(const std::vector<std::string>& pages, const char* owner = "x",
                            const char* key = "") {
    const std::optional<ResultHandle> reserved = store->reserve(now, reservation(owner, key));
    EXPECT_TRUE(reserved);
    const ResultHandle id = reserved.value();
    for (const std::string& page : pages)
      EXPECT_EQ(store->append_page(now, id, page), ResultStore::AppendResult::kStored);
    store->complete(now, id);
    store->handle_due(now);
    return id;
  }
  std::string read(const std::string& token, uint64_t page, const char* key = "") {
    std::string received = "never";
    store->read_page(now, token, key, page,
                     [&](TimePoint, ResultStore::ReadStatus status, std::string_view rows, uint64_t) {
                       received = status == ResultStore::ReadStatus::kRows   ? std::string(rows)
                                  : status == ResultStore::ReadStatus::kGone ? "gone"
                                                                             : "no such page";
                     });
    store->handle_due(now);
    return received;
  }
};

TEST_F(ResultStoreTest, PagesAreReadByTokenAndNumber) {
  open(false);
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n", "d\te\tf\ng\th\ti\n"}));
  EXPECT_EQ(answer.pages, 2u);
  EXPECT_EQ(answer.rows, 3u);
  EXPECT_EQ(read(answer.token, 1), "a\tb\tc\n");
  EXPECT_EQ(read(answer.token, 2), "d\te\tf\ng\th\ti\n");
  for (const uint64_t page : {uint64_t{0}, uint64_t{3}, uint64_t{1} << 63})
    EXPECT_EQ(read(answer.token, page), "no such page");
  EXPECT_EQ(read("00", 1), "gone");
  EXPECT_EQ(read(std::string(32, '0'), 1), "gone");
}

TEST_F(ResultStoreTest, TokenIsUselessWithoutItsKey) {
  open(false);
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n"}, "x", "mine"));
  EXPECT_EQ(read(answer.token, 1, "yours"), "gone");
  EXPECT_EQ(read(answer.token, 1), "gone");
  EXPECT_FALSE(store->release(now, answer.token, "yours"));
  EXPECT_EQ(read(answer.token, 1, "mine"), "a\tb\tc\n");
}

TEST_F(ResultStoreTest, ReleasedResultIsGoneForAllReaders) {
  open(false);
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n", "a\tb\tc\n"}));
  EXPECT_EQ(read(answer.token, 1), "a\tb\tc\n");
  EXPECT_TRUE(store->release(now, answer.token, ""));
  EXPECT_EQ(read(answer.token, 2), "gone");
  EXPECT_FALSE(store->release(now, answer.token, ""));
}

TEST_F(ResultStoreTest, ResultIsGoneAfterItsLeaseExpires) {
  open(false);
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n"}));
  now += Duration(9000);
  EXPECT_NE(read(answer.token, 1), "gone");
  now += Duration(11000);
  store->handle_due(now);
  EXPECT_EQ(read(answer.token, 1), "gone");
}

TEST_F(ResultStoreTest, OnlyARetryOfTheSameCommandFindsAResult) {
  open(false);
  const ResultHandle id = store_result({"a\tb\tc\n"}, "x", "mine");
  EXPECT_EQ(store->find(now, reservation("x", "mine")), id);
  EXPECT_EQ(store->find(now, reservation("x", "yours")), std::nullopt);
  ResultStore::Reservation other = reservation("x", "mine");
  other.statement = "select 2";
  EXPECT_EQ(store->find(now, other), std::nullopt);
  other = reservation("x", "mine");
  other.retry_chain = "00000000000000a2";
  EXPECT_EQ(store->find(now, other), std::nullopt);
}

TEST_F(ResultStoreTest, PagesEvictedFromMemoryAreReadFromDisk) {
  open(true);
  std::vector<PagedAnswer> answers;
  for (unsigned i = 0; i < 10; ++i)
    answers.push_back(store->answer_of(store_result({incompressible_rows(4000, i)})));
  EXPECT_GT(counts["results evicted from memory"], 0);
  EXPECT_EQ(counts["results evicted"], 0);
  for (unsigned i = 0; i < 10; ++i) EXPECT_EQ(read(answers[i].token, 1), incompressible_rows(4000, i)) << i;
}

TEST_F(ResultStoreTest, CorruptPageIsNeverServed) {
  open(true);
  std::vector<PagedAnswer> answers;
  for (unsigned i = 0; i < 10; ++i)
    answers.push_back(store->answer_of(store_result({incompressible_rows(4000, i)})));
  storage.corrupts_reads = true;
  EXPECT_EQ(read(answers[0].token, 1), "gone");
  storage.corrupts_reads = false;
  EXPECT_EQ(read(answers[0].token, 1), "gone");
  EXPECT_EQ(counts["pages corrupt"], 1);
}

TEST_F(ResultStoreTest, PagesStayInMemoryIfTheirWriteFails) {
  open(true);
  storage.fails_writes = true;
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n"}));
  EXPECT_EQ(counts["page writes failed"], 1);
  EXPECT_EQ(read(answer.token, 1), "a\tb\tc\n");
  EXPECT_EQ(store->retention().disk_bytes(), 0);
}

TEST_F(ResultStoreTest, ResultThatStartsOverHasNoPagesOfTheEarlierAttempt) {
  open(true);
  const ResultHandle id = *store->reserve(now, reservation());
  store->append_page(now, id, "old\tb\tc\n");
  store->clear_pages(now, id);
  store->handle_due(now);  // the write of the old page completes late
  store->append_page(now, id, "new\tb\tc\n");
  store->complete(now, id);
  store->handle_due(now);
  const PagedAnswer answer = store->answer_of(id);
  EXPECT_EQ(answer.pages, 1u);
  EXPECT_EQ(read(answer.token, 1), "new\tb\tc\n");
}

TEST_F(ResultStoreTest, RenewedLeaseAndReleaseAreStored) {
  open(true);
  const PagedAnswer answer = store->answer_of(store_result({"a\tb\tc\n"}));
  EXPECT_EQ(storage.manifests, 1);
  now += Duration(6000);
  read(answer.token, 1);
  EXPECT_EQ(storage.manifests, 2);
  store->release(now, answer.token, "");
  EXPECT_EQ(storage.tombstones, 1);
}

}  // namespace
}  // namespace firvalve::results
