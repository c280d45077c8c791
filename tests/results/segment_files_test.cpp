// The result store over segment files: restarts, torn tails, flipped bits, a stepped wall clock.
#include "results/segment_files.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "results/paged_result_store.h"

namespace firvalve::results {
namespace {

struct FilesTest : testing::Test {
  std::string folder = [] {
    char name[] = "/tmp/firvalve-spool-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  ~FilesTest() override { std::filesystem::remove_all(folder); }
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions t;
    t.retention.memory_bytes = 50000;
    t.initial_expected_bytes = 100;
    t.retention.disk_bytes = 10e6;
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
      spool.read(now, token, "", 1, [&](Ms, ResultStore::Read what, std::string_view rows, uint64_t) {
        got = what == ResultStore::Read::kRows ? rows : "gone";
      });
      for (int i = 0; i < 10000 && got == "never"; ++i) spool.due(now), std::this_thread::yield();
      for (int i = 0; i < 2000 && got == "never"; ++i) {
        spool.due(now);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      answers.push_back(got);
    }
    for (int i = 0; i < results; ++i) {
      const ResultHandle no = spool.reserve(now, {"x", "", "report", "select 1", "00000000000000a1", 1});
      spool.page(now, no, "page\t" + std::to_string(i) + "\tc\n");
      spool.whole(now, no);
      tokens.push_back(spool.answer(no).token);
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
      const ResultHandle no = spool.reserve(wall, {"x", "", "report", "select 1", "00000000000000a1", 1});
      spool.page(wall, no, "page\tb\tc\n");
      spool.whole(wall, no);
      return files.found.size();
    };
    const Ms lease = options.retention.lease;
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
    file.seekp(static_cast<long>(kSegmentHeader.size() + kRecordHeaderBytes + 2));  // in the first page
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
  options.retention.lease = 100;
  PagedResultStore spool(options, 9, [](std::string_view) {});
  spool.use(1000, files, {});
  for (int i = 0; i < 200; ++i) {
    const ResultHandle no = spool.reserve(1000, {"x", "", "report", "select 1", "00000000000000a1", 1});
    spool.page(1000, no, "page\tb\tc\n");
    spool.whole(1000, no);
  }
  const auto count = [&] {
    return std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator());
  };
  for (int i = 0; i < 5000 && files.backlog_bytes() > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  spool.due(1000);
  EXPECT_GT(count(), 5);
  spool.due(2000);  // all leases are over
  for (int i = 0; i < 5000 && (files.backlog_bytes() > 0 || count() > 5); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    spool.due(2000);
  }
  EXPECT_LE(count(), 5 + 200 * 60 / 4000);
}

}  // namespace
}  // namespace firvalve::results
