// The result store over a storage that fails when told to.
#include "results/paged_result_store.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace firvalve::results {
namespace {

// Keeps what it is given; writes, or the bytes read back, go wrong when told to.
struct MemoryStorage : Storage {
  std::vector<std::string> kept;
  std::vector<Completion> ready;
  bool full = false, spoil = false;
  int whole = 0, gone = 0;
  void append(uint64_t request_id, Record record) override {
    whole += record.kind == Record::Kind::kManifest;
    gone += record.kind == Record::Kind::kTombstone;
    if (request_id == 0) return;
    Completion d;
    d.request_id = request_id;
    d.succeeded = !full;
    d.location = {1, kept.size(), record.stored.bytes.size(), record.stored.uncompressed_bytes,
                  record.stored.checksum};
    kept.push_back(record.stored.bytes);
    ready.push_back(std::move(d));
  }
  void read(uint64_t request_id, const RecordLocation& location) override {
    Completion d;
    d.request_id = request_id;
    d.succeeded = true;
    d.bytes = kept[location.offset];
    if (spoil) d.bytes[0] = static_cast<char>(d.bytes[0] ^ 1);
    ready.push_back(std::move(d));
  }
  void delete_segments_before(size_t) override {}
  std::vector<Completion> take_completions() override { return std::exchange(ready, {}); }
  size_t backlog_bytes() const override { return 0; }
  size_t current_segment() const override { return 1; }
};

struct SpoolTest : testing::Test {
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions t;
    t.retention.memory_bytes = 20000;
    t.retention.lease = 10000;
    t.initial_expected_bytes = 1000;
    return t;
  }();
  MemoryStorage storage;
  std::map<std::string, int, std::less<>> counts;
  std::unique_ptr<PagedResultStore> spool;
  Ms now = 1000;

  void open(bool with_disk) {
    if (with_disk) options.retention.disk_bytes = 100000;
    spool = std::make_unique<PagedResultStore>(
        options, 7, [this](std::string_view what) { ++counts[std::string(what)]; });
    if (with_disk) spool->use(now, storage, {});
  }
  ResultStore::Reservation wish(const char* owner = "x", const char* key = "") {
    return {owner, key, "report", "select 1", "00000000000000a1", 1};
  }
  static std::string noise(size_t bytes, unsigned seed) {  // that does not shrink
    std::string text;
    while (text.size() < bytes) {
      seed = seed * 1664525 + 1013904223;
      text += static_cast<char>(' ' + (seed >> 24) % 90);
    }
    return text + "\tb\tc\n";
  }
  ResultHandle put(const std::vector<std::string>& pages, const char* owner = "x", const char* key = "") {
    const ResultHandle no = spool->reserve(now, wish(owner, key));
    EXPECT_NE(no, 0u);
    for (const std::string& p : pages) EXPECT_EQ(spool->page(now, no, p), ResultStore::Put::kTaken);
    spool->whole(now, no);
    spool->due(now);
    return no;
  }
  std::string read(const std::string& token, uint64_t page, const char* key = "") {
    std::string got = "never";
    spool->read(now, token, key, page, [&](Ms, ResultStore::Read what, std::string_view rows, uint64_t) {
      got = what == ResultStore::Read::kRows   ? std::string(rows)
            : what == ResultStore::Read::kGone ? "gone"
                                               : "no such page";
    });
    spool->due(now);
    return got;
  }
};

TEST_F(SpoolTest, PagesComeBackByTokenAndNumber) {
  open(false);
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n", "d\te\tf\ng\th\ti\n"}));
  EXPECT_EQ(a.pages, 2u);
  EXPECT_EQ(a.rows, 3u);
  EXPECT_EQ(read(a.token, 1), "a\tb\tc\n");
  EXPECT_EQ(read(a.token, 2), "d\te\tf\ng\th\ti\n");
  for (const uint64_t page : {uint64_t{0}, uint64_t{3}, uint64_t{1} << 63})
    EXPECT_EQ(read(a.token, page), "no such page");
  EXPECT_EQ(read("00", 1), "gone");
  EXPECT_EQ(read(std::string(32, '0'), 1), "gone");
}

TEST_F(SpoolTest, ATokenIsUselessUnderAnotherKey) {
  open(false);
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n"}, "x", "mine"));
  EXPECT_EQ(read(a.token, 1, "yours"), "gone");
  EXPECT_EQ(read(a.token, 1), "gone");
  EXPECT_FALSE(spool->release(now, a.token, "yours"));
  EXPECT_EQ(read(a.token, 1, "mine"), "a\tb\tc\n");
}

TEST_F(SpoolTest, ReleasedByOneItIsGoneForTheOther) {
  open(false);
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n", "a\tb\tc\n"}));
  EXPECT_EQ(read(a.token, 1), "a\tb\tc\n");
  EXPECT_TRUE(spool->release(now, a.token, ""));
  EXPECT_EQ(read(a.token, 2), "gone");
  EXPECT_FALSE(spool->release(now, a.token, ""));
}

TEST_F(SpoolTest, ASecondBehindItsLeaseItIsGone) {
  open(false);
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n"}));
  now += 9000;
  EXPECT_NE(read(a.token, 1), "gone");
  now += 11000;
  spool->due(now);
  EXPECT_EQ(read(a.token, 1), "gone");
}

TEST_F(SpoolTest, OnlyTheSameCommandsRepeatFindsAResult) {
  open(false);
  const ResultHandle no = put({"a\tb\tc\n"}, "x", "mine");
  EXPECT_EQ(spool->find(now, wish("x", "mine")), no);
  EXPECT_EQ(spool->find(now, wish("x", "yours")), 0u);
  ResultStore::Reservation other = wish("x", "mine");
  other.statement = "select 2";
  EXPECT_EQ(spool->find(now, other), 0u);
  other = wish("x", "mine");
  other.chain = "00000000000000a2";
  EXPECT_EQ(spool->find(now, other), 0u);
}

TEST_F(SpoolTest, WhatLeavesMemoryIsReadFromDisk) {
  open(true);
  std::vector<PagedAnswer> all;
  for (unsigned i = 0; i < 10; ++i) all.push_back(spool->answer(put({noise(4000, i)})));
  EXPECT_GT(counts["results moved to disk alone"], 0);
  EXPECT_EQ(counts["results evicted"], 0);
  for (unsigned i = 0; i < 10; ++i) EXPECT_EQ(read(all[i].token, 1), noise(4000, i)) << i;
}

TEST_F(SpoolTest, ABrokenPageIsNeverServed) {
  open(true);
  std::vector<PagedAnswer> all;
  for (unsigned i = 0; i < 10; ++i) all.push_back(spool->answer(put({noise(4000, i)})));
  storage.spoil = true;
  EXPECT_EQ(read(all[0].token, 1), "gone");
  storage.spoil = false;
  EXPECT_EQ(read(all[0].token, 1), "gone");
  EXPECT_EQ(counts["pages broken"], 1);
}

TEST_F(SpoolTest, WithAFullDiskWhatIsThereStaysInMemory) {
  open(true);
  storage.full = true;
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n"}));
  EXPECT_EQ(counts["pages not written"], 1);
  EXPECT_EQ(read(a.token, 1), "a\tb\tc\n");
  EXPECT_EQ(spool->retention().disk(), 0);
}

TEST_F(SpoolTest, WhatBeginsAnewHoldsNothingOfBefore) {
  open(true);
  const ResultHandle no = spool->reserve(now, wish());
  spool->page(now, no, "old\tb\tc\n");
  spool->clear(now, no);
  spool->due(now);  // the disk's word on the old page comes late
  spool->page(now, no, "new\tb\tc\n");
  spool->whole(now, no);
  spool->due(now);
  const PagedAnswer a = spool->answer(no);
  EXPECT_EQ(a.pages, 1u);
  EXPECT_EQ(read(a.token, 1), "new\tb\tc\n");
}

TEST_F(SpoolTest, ALeaseThatGoesOnIsToldToTheStorageAndAReleaseToo) {
  open(true);
  const PagedAnswer a = spool->answer(put({"a\tb\tc\n"}));
  EXPECT_EQ(storage.whole, 1);
  now += 6000;
  read(a.token, 1);
  EXPECT_EQ(storage.whole, 2);
  spool->release(now, a.token, "");
  EXPECT_EQ(storage.gone, 1);
}

}  // namespace
}  // namespace firvalve::results
