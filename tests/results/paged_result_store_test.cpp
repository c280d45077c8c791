// Pages, records, recovery and the spool over a storage that fails when told to.
#include "results/paged_result_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

namespace firvalve::results {
namespace {

TEST(Page, PackedAndUnpackedAreTheSameAndAFlippedBitShows) {
  const std::string rows = std::string(5000, 'a') + "\tb\tc\n";
  StoredPage page = pack(rows);
  EXPECT_LT(page.bytes.size(), 200u);
  EXPECT_EQ(unpack(page), rows);
  for (size_t i = 0; i < page.bytes.size(); ++i) {
    StoredPage flipped = page;
    flipped.bytes[i] = static_cast<char>(flipped.bytes[i] ^ 1);
    EXPECT_FALSE(unpack(flipped)) << i;
  }
  EXPECT_EQ(unpack(pack("")), "");
  EXPECT_EQ(unpack(pack("x")), "x");
}

TEST(Token, HexThereAndBackAndNothingElse) {
  const Token token = new_token();
  EXPECT_TRUE(same(*token_of(hex_of(token)), token));
  EXPECT_FALSE(same(new_token(), token));
  for (const char* text : {"", "00", "zz000000000000000000000000000000", "000000000000000000000000000000000"})
    EXPECT_FALSE(token_of(text)) << text;
}

Record page_record(uint64_t result, uint32_t page, const std::string& rows) {
  Record r;
  r.life = 7;
  r.result = result;
  r.page = page;
  r.stored = pack(rows);
  return r;
}
Record whole_record(uint64_t result, uint32_t pages, double lease_until = 1e6) {
  Record r;
  r.kind = Record::Kind::kWhole;
  r.life = 7;
  r.result = result;
  r.whole.pages = pages;
  r.whole.lease_until = lease_until;
  r.whole.owner = "x";
  return r;
}
std::string segment_of(const std::vector<Record>& records) {
  std::string all(kSegmentHead);
  for (const Record& r : records) append_record(all, r);
  return all;
}

TEST(Recovery, WhatIsWholeIsFoundWhatIsNotIsNot) {
  Record gone = whole_record(3, 1);
  gone.kind = Record::Kind::kGone;
  Recovery recovery;
  EXPECT_EQ(
      recovery.handle(1, segment_of({page_record(1, 0, "a"), page_record(1, 1, "b"), page_record(2, 0, "c"),
                                     page_record(3, 0, "d"), whole_record(3, 1), whole_record(1, 2)})),
      std::string::npos);
  EXPECT_EQ(recovery.handle(2, segment_of({gone, page_record(4, 0, "e"), whole_record(4, 1, 50)})),
            std::string::npos);
  size_t broken = 0;
  const auto found = recovery.found(100, broken);
  ASSERT_EQ(found.size(), 1u);  // 2 is not whole, 3 was released, the lease of 4 is over
  EXPECT_EQ(found[0].result, 1u);
  EXPECT_EQ(found[0].pages.size(), 2u);
  EXPECT_EQ(broken, 0u);
}

TEST(Recovery, CutAnywhereThePartBeforeIsFoundAndTheTailIsCutOff) {
  const std::string first = segment_of({page_record(1, 0, "first"), whole_record(1, 1)});
  std::string all = first;
  append_record(all, page_record(2, 0, "second"));
  append_record(all, whole_record(2, 1));
  for (size_t at = 0; at < all.size(); ++at) {
    Recovery recovery;
    const size_t cut = recovery.handle(1, std::string_view(all).substr(0, at));
    size_t broken = 0;
    const auto found = recovery.found(100, broken);
    EXPECT_EQ(found.size(), at >= first.size() ? 1u : 0u) << at;
    if (cut != std::string::npos) {
      EXPECT_LE(cut, at);
    }
  }
}

TEST(Recovery, WithAFlippedBitNothingBrokenIsFound) {
  const std::string all = segment_of(
      {page_record(1, 0, "first"), whole_record(1, 1), page_record(2, 0, "second"), whole_record(2, 1)});
  for (size_t at = 0; at < all.size(); ++at) {
    std::string flipped = all;
    flipped[at] = static_cast<char>(flipped[at] ^ 4);
    Recovery recovery;
    recovery.handle(1, flipped);
    size_t broken = 0;
    EXPECT_LE(recovery.found(100, broken).size(), 1u) << at;
  }
}

// Keeps what it is given; writes, or the bytes read back, go wrong when told to.
struct MemoryStorage : Storage {
  std::vector<std::string> kept;
  std::vector<Done> ready;
  bool full = false, spoil = false;
  int whole = 0, gone = 0;
  void append(uint64_t tag, Record record) override {
    whole += record.kind == Record::Kind::kWhole;
    gone += record.kind == Record::Kind::kGone;
    if (tag == 0) return;
    Done d;
    d.tag = tag;
    d.good = !full;
    d.place = {1, kept.size(), record.stored.bytes.size(), record.stored.raw, record.stored.sum};
    kept.push_back(record.stored.bytes);
    ready.push_back(std::move(d));
  }
  void read(uint64_t tag, const Found::Place& place) override {
    Done d;
    d.tag = tag;
    d.good = true;
    d.bytes = kept[place.offset];
    if (spoil) d.bytes[0] = static_cast<char>(d.bytes[0] ^ 1);
    ready.push_back(std::move(d));
  }
  void drop_until(size_t) override {}
  std::vector<Done> done() override { return std::exchange(ready, {}); }
  size_t backlog() const override { return 0; }
  size_t current() const override { return 1; }
};

struct SpoolTest : testing::Test {
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions t;
    t.keeping.memory = 20000;
    t.keeping.lease = 10000;
    t.first_expected = 1000;
    return t;
  }();
  MemoryStorage storage;
  std::map<std::string, int, std::less<>> counts;
  std::unique_ptr<PagedResultStore> spool;
  Ms now = 1000;

  void open(bool with_disk) {
    if (with_disk) options.keeping.disk = 100000;
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
    const ResultHandle no = spool->reserve(time_point_of(now), wish(owner, key)).value_or(0);
    EXPECT_NE(no, 0u);
    for (const std::string& p : pages)
      EXPECT_EQ(spool->append_page(time_point_of(now), no, p), ResultStore::AppendResult::kStored);
    spool->complete(time_point_of(now), no);
    spool->due(now);
    return no;
  }
  std::string read(const std::string& token, uint64_t page, const char* key = "") {
    std::string got = "never";
    spool->read_page(time_point_of(now), token, key, page,
                     [&](TimePoint, ResultStore::ReadStatus what, std::string_view rows, uint64_t) {
                       got = what == ResultStore::ReadStatus::kRows   ? std::string(rows)
                             : what == ResultStore::ReadStatus::kGone ? "gone"
                                                                      : "no such page";
                     });
    spool->due(now);
    return got;
  }
};

TEST_F(SpoolTest, PagesComeBackByTokenAndNumber) {
  open(false);
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n", "d\te\tf\ng\th\ti\n"}));
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
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n"}, "x", "mine"));
  EXPECT_EQ(read(a.token, 1, "yours"), "gone");
  EXPECT_EQ(read(a.token, 1), "gone");
  EXPECT_FALSE(spool->release(time_point_of(now), a.token, "yours"));
  EXPECT_EQ(read(a.token, 1, "mine"), "a\tb\tc\n");
}

TEST_F(SpoolTest, ReleasedByOneItIsGoneForTheOther) {
  open(false);
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n", "a\tb\tc\n"}));
  EXPECT_EQ(read(a.token, 1), "a\tb\tc\n");
  EXPECT_TRUE(spool->release(time_point_of(now), a.token, ""));
  EXPECT_EQ(read(a.token, 2), "gone");
  EXPECT_FALSE(spool->release(time_point_of(now), a.token, ""));
}

TEST_F(SpoolTest, ASecondBehindItsLeaseItIsGone) {
  open(false);
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n"}));
  now += 9000;
  EXPECT_NE(read(a.token, 1), "gone");
  now += 11000;
  spool->due(now);
  EXPECT_EQ(read(a.token, 1), "gone");
}

TEST_F(SpoolTest, OnlyTheSameCommandsRepeatFindsAResult) {
  open(false);
  const ResultHandle no = put({"a\tb\tc\n"}, "x", "mine");
  EXPECT_EQ(spool->find(time_point_of(now), wish("x", "mine")), no);
  EXPECT_EQ(spool->find(time_point_of(now), wish("x", "yours")), std::nullopt);
  ResultStore::Reservation other = wish("x", "mine");
  other.statement = "select 2";
  EXPECT_EQ(spool->find(time_point_of(now), other), std::nullopt);
  other = wish("x", "mine");
  other.retry_chain = "00000000000000a2";
  EXPECT_EQ(spool->find(time_point_of(now), other), std::nullopt);
}

TEST_F(SpoolTest, WhatLeavesMemoryIsReadFromDisk) {
  open(true);
  std::vector<PagedAnswer> all;
  for (unsigned i = 0; i < 10; ++i) all.push_back(spool->answer_of(put({noise(4000, i)})));
  EXPECT_GT(counts["results moved to disk alone"], 0);
  EXPECT_EQ(counts["results evicted"], 0);
  for (unsigned i = 0; i < 10; ++i) EXPECT_EQ(read(all[i].token, 1), noise(4000, i)) << i;
}

TEST_F(SpoolTest, ABrokenPageIsNeverServed) {
  open(true);
  std::vector<PagedAnswer> all;
  for (unsigned i = 0; i < 10; ++i) all.push_back(spool->answer_of(put({noise(4000, i)})));
  storage.spoil = true;
  EXPECT_EQ(read(all[0].token, 1), "gone");
  storage.spoil = false;
  EXPECT_EQ(read(all[0].token, 1), "gone");
  EXPECT_EQ(counts["pages broken"], 1);
}

TEST_F(SpoolTest, WithAFullDiskWhatIsThereStaysInMemory) {
  open(true);
  storage.full = true;
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n"}));
  EXPECT_EQ(counts["pages not written"], 1);
  EXPECT_EQ(read(a.token, 1), "a\tb\tc\n");
  EXPECT_EQ(spool->keeping().disk(), 0);
}

TEST_F(SpoolTest, WhatBeginsAnewHoldsNothingOfBefore) {
  open(true);
  const ResultHandle no = spool->reserve(time_point_of(now), wish()).value_or(0);
  spool->append_page(time_point_of(now), no, "old\tb\tc\n");
  spool->clear_pages(time_point_of(now), no);
  spool->due(now);  // the disk's word on the old page comes late
  spool->append_page(time_point_of(now), no, "new\tb\tc\n");
  spool->complete(time_point_of(now), no);
  spool->due(now);
  const PagedAnswer a = spool->answer_of(no);
  EXPECT_EQ(a.pages, 1u);
  EXPECT_EQ(read(a.token, 1), "new\tb\tc\n");
}

TEST_F(SpoolTest, ALeaseThatGoesOnIsToldToTheStorageAndAReleaseToo) {
  open(true);
  const PagedAnswer a = spool->answer_of(put({"a\tb\tc\n"}));
  EXPECT_EQ(storage.whole, 1);
  now += 6000;
  read(a.token, 1);
  EXPECT_EQ(storage.whole, 2);
  spool->release(time_point_of(now), a.token, "");
  EXPECT_EQ(storage.gone, 1);
}

// ---- SegmentFiles --------------------------------------------------------------------------------------

struct FilesTest : testing::Test {
  std::string folder = [] {
    char name[] = "/tmp/firvalve-spool-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  ~FilesTest() override { std::filesystem::remove_all(folder); }
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions t;
    t.keeping.memory = 50000;
    t.first_expected = 100;
    t.keeping.disk = 10e6;
    return t;
  }();
  // A life of a gateway: what it finds, and the tokens of what it keeps.
  std::vector<std::string> live(int results, Ms now, std::vector<std::string> read_back = {}) {
    std::vector<std::string> tokens;
    SegmentFiles files({folder, 4000}, now, [] {});
    PagedResultStore spool(options, static_cast<uint64_t>(now), [](std::string_view) {});
    spool.use(now, files, files.found);
    for (const std::string& token : read_back) {
      std::string got = "never";
      spool.read_page(time_point_of(now), token, "", 1,
                      [&](TimePoint, ResultStore::ReadStatus what, std::string_view rows, uint64_t) {
                        got = what == ResultStore::ReadStatus::kRows ? rows : "gone";
                      });
      for (int i = 0; i < 10000 && got == "never"; ++i) spool.due(now), std::this_thread::yield();
      for (int i = 0; i < 2000 && got == "never"; ++i) {
        spool.due(now);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      answers.push_back(got);
    }
    for (int i = 0; i < results; ++i) {
      const ResultHandle no =
          spool.reserve(time_point_of(now), {"x", "", "report", "select 1", "00000000000000a1", 1})
              .value_or(0);
      spool.append_page(time_point_of(now), no, "page\t" + std::to_string(i) + "\tc\n");
      spool.complete(time_point_of(now), no);
      tokens.push_back(spool.answer_of(no).token);
    }
    return tokens;
  }
  std::vector<std::string> answers;
};

TEST_F(FilesTest, ResultsOutliveTheProcess) {
  const auto tokens = live(50, 1000);
  live(0, 2000, tokens);
  ASSERT_EQ(answers.size(), 50u);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(answers[static_cast<size_t>(i)], "page\t" + std::to_string(i) + "\tc\n");
  answers.clear();
  live(0, 1000 + 200000, tokens);  // their leases are over
  for (const std::string& a : answers) EXPECT_EQ(a, "gone");
}

// A lease is a span of real time over a restart, too: the wall clock was stepped by an hour in between.
TEST_F(FilesTest, AStepOfTheWallClockBetweenTwoLivesMovesNoLease) {
  constexpr Ms kHour = 3.6e6, kWall = 1e12;
  for (const Ms step : {-kHour, kHour}) {
    const std::string of_step = folder + (step > 0 ? "/ahead" : "/back");
    const auto live_once = [&](Ms wall, BootTime boot) {  // gives how many results it found
      SegmentFiles files({of_step, 4000, std::move(boot)}, wall, [] {});
      PagedResultStore spool(options, static_cast<uint64_t>(wall), [](std::string_view) {});
      spool.use(wall, files, files.found, files.lease_offset());
      const ResultHandle no =
          spool.reserve(time_point_of(wall), {"x", "", "report", "select 1", "00000000000000a1", 1})
              .value_or(0);
      spool.append_page(time_point_of(wall), no, "page\tb\tc\n");
      spool.complete(time_point_of(wall), no);
      return files.found.size();
    };
    const Ms lease = options.keeping.lease;
    EXPECT_EQ(live_once(kWall, {"boot-1", 5000}), 0u);
    EXPECT_EQ(live_once(kWall + step + lease / 2, {"boot-1", 5000 + lease / 2}), 1u) << step;
    EXPECT_EQ(live_once(kWall + step + 2 * lease, {"boot-1", 5000 + 2 * lease}), 0u) << step;
    // After a boot the wall clock is all there is.
    EXPECT_EQ(live_once(kWall + 2.5 * lease, {"boot-2", 100}), 1u) << step;
  }
}

TEST_F(FilesTest, ATornTailIsCutOffAndTheRestServed) {
  const auto tokens = live(5, 1000);
  std::string last;
  for (const auto& e : std::filesystem::directory_iterator(folder))
    if (e.path().string() > last && e.path().filename().string().starts_with("segment")) last = e.path();
  std::filesystem::resize_file(last, std::filesystem::file_size(last) - 3);
  live(0, 2000, tokens);
  EXPECT_EQ(answers[0], "page\t0\tc\n");
  EXPECT_EQ(answers[4], "gone");
}

TEST_F(FilesTest, AFlippedBitInAFileCostsItsResultAloneAndIsNeverServed) {
  const auto tokens = live(5, 1000);
  for (const auto& e : std::filesystem::directory_iterator(folder)) {
    if (!e.path().filename().string().starts_with("segment") || std::filesystem::file_size(e.path()) < 100)
      continue;
    std::fstream file(e.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<long>(kSegmentHead.size() + kRecordHead + 2));  // in the first page
    file.put('!');
    break;
  }
  live(0, 2000, tokens);
  int gone = 0;
  for (size_t i = 0; i < answers.size(); ++i) {
    if (answers[i] == "gone")
      ++gone;
    else
      EXPECT_EQ(answers[i], "page\t" + std::to_string(i) + "\tc\n");
  }
  EXPECT_EQ(gone, 1);
}

TEST_F(FilesTest, ASecondGatewayIsRefusedInOneSentence) {
  SegmentFiles files({folder}, 1000, [] {});
  try {
    SegmentFiles other({folder}, 1000, [] {});
    FAIL();
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("another gateway uses it"), std::string::npos);
  }
}

TEST_F(FilesTest, AFolderThatCannotBeIsToldSo) {
  std::ofstream(folder + "/file") << "x";
  EXPECT_THROW(SegmentFiles({folder + "/file/folder"}, 1000, [] {}), std::runtime_error);
  EXPECT_THROW(SegmentFiles({"/proc/firvalve"}, 1000, [] {}), std::runtime_error);
}

TEST_F(FilesTest, SegmentsThatHoldNothingAreDropped) {
  SegmentFiles files({folder, 4000}, 1000, [] {});
  options.keeping.lease = 100;
  PagedResultStore spool(options, 9, [](std::string_view) {});
  spool.use(1000, files, {});
  for (int i = 0; i < 200; ++i) {
    const ResultHandle no =
        spool.reserve(time_point_of(1000), {"x", "", "report", "select 1", "00000000000000a1", 1})
            .value_or(0);
    spool.append_page(time_point_of(1000), no, "page\tb\tc\n");
    spool.complete(time_point_of(1000), no);
  }
  const auto count = [&] {
    return std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator());
  };
  for (int i = 0; i < 5000 && files.backlog() > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  spool.due(1000);
  EXPECT_GT(count(), 5);
  spool.due(2000);  // all leases are over
  for (int i = 0; i < 5000 && (files.backlog() > 0 || count() > 5); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    spool.due(2000);
  }
  EXPECT_LE(count(), 5 + 200 * 60 / 4000);
}

}  // namespace
}  // namespace firvalve::results
