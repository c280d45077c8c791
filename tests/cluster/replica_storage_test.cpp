// A keeper's folder on a disk that fills up and has room again.
#include "cluster/replica_storage.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <thread>

#include "soon.h"

namespace firvalve::cluster {
namespace {

class FolderOnAFullDisk : public testing::Test {
 protected:
  void SetUp() override {
    char name[] = "/tmp/firvalve-folder-XXXXXX";
    ASSERT_NE(::mkdtemp(name), nullptr);
    path_ = name;
  }
  void TearDown() override { std::filesystem::remove_all(path_); }

  // As on a full disk: no file of this process grows or is written past its first byte.
  static void limit_files(rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
  }
  static void put(ReplicaStorage& folder, int number) {
    consensus::AcceptorOutput step;
    step.writes.emplace_back(fmt::format("key {}", number % 8), consensus::AcceptorSlot{});
    folder.write(std::move(step));
  }
  std::string path_;
};

// The disk fills up and has room again so often that some commit meets it between its pages.
TEST_F(FolderOnAFullDisk, WritesAgainOnceThereIsRoomWhereverACommitWasCutOff) {
  constexpr int kWrites = 3000;
  ReplicaStorage folder(path_, "127.0.0.1:1", 1, [] {});
  std::atomic<bool> ending = false;
  std::thread disk([&] {
    while (!ending) {
      limit_files(0);
      std::this_thread::sleep_for(std::chrono::microseconds(50));
      limit_files(RLIM_INFINITY);
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  });
  for (int i = 0; i < kWrites; ++i) {
    put(folder, i);
    while (folder.pending() > 0) folder.take_written();
  }
  ending = true;
  disk.join();
  put(folder, 0);  // may meet what the last one left behind
  put(folder, 1);
  std::vector<ReplicaStorage::Written> done;
  EXPECT_TRUE(soon([&] {
    for (ReplicaStorage::Written& one : folder.take_written()) done.push_back(std::move(one));
    return done.size() >= 2;
  }));
  ASSERT_GE(done.size(), 2u);
  put(folder, 2);
  done.clear();
  EXPECT_TRUE(soon([&] {
    for (ReplicaStorage::Written& one : folder.take_written()) done.push_back(std::move(one));
    return !done.empty();
  }));
  ASSERT_FALSE(done.empty());
  EXPECT_EQ(done.back().error, "");
}

}  // namespace
}  // namespace firvalve::cluster
