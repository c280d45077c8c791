// Tests the result store with segment files: restarts, torn tails, flipped bits, and steps of the wall clock.
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

const ResultStore::Reservation kReservation = {"x", "", "report", "select 1", "00000000000000a1", 1};

struct SegmentFilesTest : testing::Test {
  std::string folder = [] {
    char name[] = "/tmp/firvalve-store-XXXXXX";
    return std::string(::mkdtemp(name));
  }();
  ~SegmentFilesTest() override { std::filesystem::remove_all(folder); }
  PagedResultStoreOptions options = [] {
    PagedResultStoreOptions store_options;
    store_options.retention.memory_bytes = 50000;
    store_options.initial_expected_bytes = 100;
    store_options.retention.disk_bytes = 10e6;
    return store_options;
  }();
  // Runs one incarnation of a gateway: reads the results of the given tokens into `answers`, then stores new
  // results and returns their tokens.
  std::vector<std::string> run_gateway(int results, Ms now_ms,
                                       const std::vector<std::string>& read_back = {}) {
    const TimePoint now = time_point_of(now_ms);
    std::vector<std::string> tokens;
    SegmentFiles files({folder, 4000}, now, [] {});
    PagedResultStore store(options, static_cast<uint64_t>(now_ms), [](std::string_view) {});
    store.attach_storage(now, files, files.take_recovered_results());
    for (const std::string& token : read_back) {
      std::string received = "never";
      store.read_page(now, token, "", 1,
                      [&](TimePoint, ResultStore::ReadStatus status, std::string_view rows, uint64_t) {
                        received = status == ResultStore::ReadStatus::kRows ? rows : "gone";
                      });
      for (int i = 0; i < 10000 && received == "never"; ++i) store.handle_due(now), std::this_thread::yield();
      for (int i = 0; i < 2000 && received == "never"; ++i) {
        store.handle_due(now);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      answers.push_back(received);
    }
    for (int i = 0; i < results; ++i) {
      const ResultHandle id = *store.reserve(now, kReservation);
      store.append_page(now, id, "page\t" + std::to_string(i) + "\tc\n");
      store.complete(now, id);
      tokens.push_back(store.answer_of(id).token);
    }
    return tokens;
  }
  std::vector<std::string> answers;
};

TEST_F(SegmentFilesTest, ResultsSurviveARestart) {
  const auto tokens = run_gateway(50, 1000);
  run_gateway(0, 2000, tokens);
  ASSERT_EQ(answers.size(), 50u);
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(answers[static_cast<size_t>(i)], "page\t" + std::to_string(i) + "\tc\n");
  answers.clear();
  run_gateway(0, 1000 + 200000, tokens);  // their leases have expired
  for (const std::string& answer : answers) EXPECT_EQ(answer, "gone");
}

// Steps the wall clock by an hour between two incarnations. Leases must expire by elapsed time, not by the
// wall clock.
TEST_F(SegmentFilesTest, WallClockStepBetweenIncarnationsDoesNotMoveLeases) {
  constexpr Ms kHour = 3.6e6, kWall = 1e12;
  for (const Ms step : {-kHour, kHour}) {
    const std::string of_step = folder + (step > 0 ? "/ahead" : "/back");
    // Runs one incarnation that stores a result. Returns the number of results that it recovered.
    const auto run_once = [&](Ms wall_ms, const std::string& boot_id, Ms since_boot) {
      const TimePoint wall = time_point_of(wall_ms);
      SegmentFiles files({of_step, 4000, BootTime{boot_id, time_point_of<BootClock>(since_boot)}}, wall,
                         [] {});
      const std::vector<RecoveredResult> recovered = files.take_recovered_results();
      PagedResultStore store(options, static_cast<uint64_t>(wall_ms), [](std::string_view) {});
      store.attach_storage(wall, files, recovered, files.lease_offset());
      const ResultHandle id = *store.reserve(wall, kReservation);
      store.append_page(wall, id, "page\tb\tc\n");
      store.complete(wall, id);
      return recovered.size();
    };
    const Ms lease = to_ms(options.retention.lease);
    EXPECT_EQ(run_once(kWall, "boot-1", 5000), 0u);
    EXPECT_EQ(run_once(kWall + step + lease / 2, "boot-1", 5000 + lease / 2), 1u) << step;
    EXPECT_EQ(run_once(kWall + step + 2 * lease, "boot-1", 5000 + 2 * lease), 0u) << step;
    // After a reboot only the wall clock is available.
    EXPECT_EQ(run_once(kWall + 2.5 * lease, "boot-2", 100), 1u) << step;
  }
}

TEST_F(SegmentFilesTest, TornTailIsTruncatedAndTheRestIsServed) {
  const auto tokens = run_gateway(5, 1000);
  std::string last;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().string() > last && entry.path().filename().string().starts_with("segment"))
      last = entry.path();
  std::filesystem::resize_file(last, std::filesystem::file_size(last) - 3);
  run_gateway(0, 2000, tokens);
  EXPECT_EQ(answers[0], "page\t0\tc\n");
  EXPECT_EQ(answers[4], "gone");
}

TEST_F(SegmentFilesTest, CorruptPageLosesOnlyItsOwnResult) {
  const auto tokens = run_gateway(5, 1000);
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (!entry.path().filename().string().starts_with("segment") ||
        std::filesystem::file_size(entry.path()) < 100)
      continue;
    std::fstream file(entry.path(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<long>(kSegmentHeader.size() + kRecordHeadBytes + 2));  // in the first page
    file.put('!');
    break;
  }
  run_gateway(0, 2000, tokens);
  int gone = 0;
  for (size_t i = 0; i < answers.size(); ++i) {
    if (answers[i] == "gone")
      ++gone;
    else
      EXPECT_EQ(answers[i], "page\t" + std::to_string(i) + "\tc\n");
  }
  EXPECT_EQ(gone, 1);
}

TEST_F(SegmentFilesTest, SecondGatewayOnTheSameFolderIsRejected) {
  SegmentFiles files({folder}, time_point_of(1000), [] {});
  try {
    SegmentFiles other({folder}, time_point_of(1000), [] {});
    FAIL();
  } catch (const StorageError& error) {
    EXPECT_NE(std::string(error.what()).find("another gateway uses it"), std::string::npos);
  }
}

TEST_F(SegmentFilesTest, FolderThatCannotBeCreatedIsAnError) {
  std::ofstream(folder + "/file") << "x";
  EXPECT_THROW(SegmentFiles({folder + "/file/folder"}, time_point_of(1000), [] {}), StorageError);
  EXPECT_THROW(SegmentFiles({"/proc/firvalve"}, time_point_of(1000), [] {}), StorageError);
}

TEST_F(SegmentFilesTest, UnusedSegmentsAreDeleted) {
  const TimePoint start = time_point_of(1000), after_leases = time_point_of(2000);
  SegmentFiles files({folder, 4000}, start, [] {});
  options.retention.lease = Duration(100);
  PagedResultStore store(options, 9, [](std::string_view) {});
  store.attach_storage(start, files, {});
  for (int i = 0; i < 200; ++i) {
    const ResultHandle id = *store.reserve(start, kReservation);
    store.append_page(start, id, "page\tb\tc\n");
    store.complete(start, id);
  }
  const auto count = [&] {
    return std::distance(std::filesystem::directory_iterator(folder), std::filesystem::directory_iterator());
  };
  for (int i = 0; i < 5000 && files.backlog_bytes() > 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  store.handle_due(start);
  EXPECT_GT(count(), 5);
  store.handle_due(after_leases);
  for (int i = 0; i < 5000 && (files.backlog_bytes() > 0 || count() > 5); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    store.handle_due(after_leases);
  }
  EXPECT_LE(count(), 5 + 200 * 60 / 4000);
}

}  // namespace
}  // namespace firvalve::results
