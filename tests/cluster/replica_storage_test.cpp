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

class ReplicaStorageOnAFullDisk : public testing::Test {
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
TEST_F(ReplicaStorageOnAFullDisk, WritesAgainOnceThereIsRoomWhereverACommitWasCutOff) {
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
  std::string rejection_of(const std::string& owner, uint64_t replicas_hash) {
    try {
      open(owner, replicas_hash);
    } catch (const std::exception& e) {
      return e.what();
    }
    return "";
  }
  static consensus::AcceptorOutput step(const std::string& key, uint64_t change) {
    consensus::AcceptorOutput s;
    s.metadata = consensus::ReplicaMetadata{5, true, {5, 6, 7}, {1, 2, 3}};
    consensus::AcceptorSlot slot{{9, 1}, {8, 1}, {}};
    slot.accepted.version = slot.accepted.change_id = change;
    slot.accepted.value = "value";
    s.writes.emplace_back(key, slot);
    return s;
  }
  std::string path_;
};

TEST_F(ReplicaStorageTest, WhatWasWrittenIsThereAgain) {
  {
    const auto storage = open();
    EXPECT_FALSE(storage->metadata);
    for (uint64_t i = 1; i <= 100; ++i) storage->write(step(fmt::format("k{}", i % 10), i));
  }
  const auto storage = open();
  ASSERT_TRUE(storage->metadata);
  EXPECT_EQ(*storage->metadata, *step("", 0).metadata);
  ASSERT_EQ(storage->slots.size(), 10u);
  EXPECT_EQ(storage->slots["k0"], step("", 100).writes[0].second);
}

TEST_F(ReplicaStorageTest, ADirectoryInUseOrOfAnotherGatewayOrListIsRejected) {
  {
    const auto storage = open();
    storage->write(step("k", 1));
    EXPECT_NE(rejection_of("me", 7).find("another process uses it"), std::string::npos);
  }
  EXPECT_NE(rejection_of("you", 7).find("it is me's"), std::string::npos);
  EXPECT_NE(rejection_of("me", 8).find("another list of keepers"), std::string::npos);
  EXPECT_EQ(rejection_of("me", 7), "");
}

TEST_F(ReplicaStorageTest, TenThousandRegistersAreReadBackInUnderASecond) {
  {
    const auto storage = open();
    consensus::AcceptorOutput all;
    all.metadata = step("", 1).metadata;
    for (uint64_t i = 0; i < 10000; ++i)
      all.writes.push_back(step("lease:" + std::to_string(i), i + 1).writes[0]);
    storage->write(std::move(all));
  }
  const auto begin = std::chrono::steady_clock::now();
  const auto storage = open();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
  EXPECT_EQ(storage->slots.size(), 10000u);
  std::printf("10,000 registers read back in %.0f ms\n", took.count() * 1000);
  EXPECT_LT(took.count(), 1.0);
}

}  // namespace
}  // namespace firvalve::cluster
