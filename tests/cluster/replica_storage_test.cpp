// Tests of the durable storage of a replica: reopening, exclusive use, and recovery after a full disk.
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

class ReplicaStorageOnAFullDisk : public testing::Test {
 protected:
  void SetUp() override {
    char name[] = "/tmp/firvalve-folder-XXXXXX";
    ASSERT_NE(::mkdtemp(name), nullptr);
    path_ = name;
  }
  void TearDown() override { std::filesystem::remove_all(path_); }

  // Simulates a full disk: with a limit of 0, writes of this process to any file fail.
  static void limit_files(rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
  }
  static void write_slot(ReplicaStorage& storage, int number) {
    consensus::AcceptorOutput output;
    output.writes.emplace_back(fmt::format("key {}", number % 8), consensus::AcceptorSlot{});
    storage.write(std::move(output));
  }
  std::string path_;
};

// Toggles the simulated full disk so often that some commit fails partway through its pages. That leaves the
// LMDB environment unusable until it is reopened.
TEST_F(ReplicaStorageOnAFullDisk, WritesSucceedAfterSpaceReturnsWhereverACommitFailed) {
  constexpr int kWrites = 3000;
  ReplicaStorage storage(path_, "127.0.0.1:1", 1, [] {});
  std::atomic<bool> is_done = false;
  std::thread limiter([&] {
    while (!is_done) {
      limit_files(0);
      std::this_thread::sleep_for(std::chrono::microseconds(50));
      limit_files(RLIM_INFINITY);
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  });
  for (int i = 0; i < kWrites; ++i) {
    write_slot(storage, i);
    while (storage.pending() > 0) storage.take_write_results();
  }
  is_done = true;
  limiter.join();
  write_slot(storage, 0);  // may fail because of the previous failed commit
  write_slot(storage, 1);
  std::vector<ReplicaStorage::WriteResult> results;
  EXPECT_TRUE(soon([&] {
    for (ReplicaStorage::WriteResult& result : storage.take_write_results())
      results.push_back(std::move(result));
    return results.size() >= 2;
  }));
  ASSERT_GE(results.size(), 2u);
  write_slot(storage, 2);
  results.clear();
  EXPECT_TRUE(soon([&] {
    for (ReplicaStorage::WriteResult& result : storage.take_write_results())
      results.push_back(std::move(result));
    return !results.empty();
  }));
  ASSERT_FALSE(results.empty());
  EXPECT_EQ(results.back().error, "");
}

class ReplicaStorageTest : public testing::Test {
 protected:
  ReplicaStorageTest() {
    char name[] = "/tmp/firvalve-folder-XXXXXX";
    path_ = ::mkdtemp(name);
  }
  ~ReplicaStorageTest() override { std::filesystem::remove_all(path_); }
  std::unique_ptr<ReplicaStorage> open(const std::string& owner = "me", uint64_t replicas_hash = 7) {
    return std::make_unique<ReplicaStorage>(path_, owner, replicas_hash, [] {});
  }
  std::string open_error(const std::string& owner, uint64_t replicas_hash) {
    try {
      open(owner, replicas_hash);
    } catch (const std::exception& e) {
      return e.what();
    }
    return "";
  }
  static consensus::AcceptorOutput make_output(const std::string& key, uint64_t change_id) {
    consensus::AcceptorOutput output;
    output.metadata = consensus::ReplicaMetadata{5, true, {5, 6, 7}, {1, 2, 3}};
    consensus::AcceptorSlot slot{{9, 1}, {8, 1}, {}};
    slot.accepted.version = slot.accepted.change_id = change_id;
    slot.accepted.value = "value";
    output.writes.emplace_back(key, slot);
    return output;
  }
  std::string path_;
};

TEST_F(ReplicaStorageTest, WrittenStateIsRestoredOnReopen) {
  {
    const auto storage = open();
    EXPECT_FALSE(storage->metadata);
    for (uint64_t i = 1; i <= 100; ++i) storage->write(make_output(fmt::format("k{}", i % 10), i));
  }
  const auto storage = open();
  ASSERT_TRUE(storage->metadata);
  EXPECT_EQ(*storage->metadata, *make_output("", 0).metadata);
  ASSERT_EQ(storage->slots.size(), 10u);
  EXPECT_EQ(storage->slots["k0"], make_output("", 100).writes[0].second);
}

TEST_F(ReplicaStorageTest, RejectsADirectoryInUseOrOfAnotherGatewayOrReplicaList) {
  {
    const auto storage = open();
    storage->write(make_output("k", 1));
    EXPECT_NE(open_error("me", 7).find("another process uses it"), std::string::npos);
  }
  EXPECT_NE(open_error("you", 7).find("belongs to gateway me;"), std::string::npos);
  EXPECT_NE(open_error("me", 8).find("different list of keepers"), std::string::npos);
  EXPECT_EQ(open_error("me", 7), "");
}

TEST_F(ReplicaStorageTest, Loads10000RegistersInUnderASecond) {
  {
    const auto storage = open();
    consensus::AcceptorOutput output;
    output.metadata = make_output("", 1).metadata;
    for (uint64_t i = 0; i < 10000; ++i)
      output.writes.push_back(make_output("lease:" + std::to_string(i), i + 1).writes[0]);
    storage->write(std::move(output));
  }
  const auto begin = std::chrono::steady_clock::now();
  const auto storage = open();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
  EXPECT_EQ(storage->slots.size(), 10000u);
  std::printf("10,000 registers read back in %.0f ms\n", elapsed.count() * 1000);
  EXPECT_LT(elapsed.count(), 1.0);
}

}  // namespace
}  // namespace firvalve::cluster
