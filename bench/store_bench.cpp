// Compares the segment files with LMDB and RocksDB under the load of paged results: pages are written once,
// read back and deleted with their whole result a little later. Built only if both libraries are installed;
// LMDB also stores the acceptors' state, RocksDB is used nowhere else.
#include <fmt/format.h>
#include <lmdb.h>
#include <rocksdb/db.h>
#include <rocksdb/options.h>
#include <stdlib.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "results/segment_files.h"

namespace {

using namespace firvalve;
using Clock = std::chrono::steady_clock;

constexpr size_t kPageBytes = 32000;  // the compressed size of 64 kB of rows
constexpr int kPages = 8000,
              kPagesPerResult = 100;  // pages of one result
constexpr int kStoredResults = 20;    // results; with one more, the oldest is deleted

double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

std::string random_page(unsigned seed) {
  std::string bytes(kPageBytes, '\0');
  for (char& c : bytes) c = static_cast<char>((seed = seed * 1664525 + 1013904223) >> 24);
  return bytes;
}

double folder_mb(const std::string& path) {
  uintmax_t all = 0;
  for (const auto& e : std::filesystem::recursive_directory_iterator(path))
    if (e.is_regular_file()) all += e.file_size();
  return static_cast<double>(all) / 1e6;
}

double resident_mb() {
  std::ifstream file("/proc/self/statm");
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * 4096 / 1e6;
}

struct TemporaryDirectory {
  TemporaryDirectory() {
    char name[] = "/tmp/firvalve-store-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path;
};

void print_result(const char* name, double write_ms, double read_ms, double on_disk, double memory) {
  const double mb = double(kPageBytes) * kPages / 1e6;
  fmt::print(
      "{}: {:.0f} MB/s in, {:.0f} MB/s out, {:.0f} MB on disk for {:.0f} MB kept, {:.1f} MB more memory\n",
      name, 1000 * mb / write_ms, 1000 * mb * kStoredResults * kPagesPerResult / kPages / read_ms, on_disk,
      double(kPageBytes) * kStoredResults * kPagesPerResult / 1e6, memory);
}

std::string key_of(int page) { return fmt::format("{:012}", page); }

void run_segments(const std::string& page) {
  TemporaryDirectory folder;
  const double before = resident_mb();
  results::SegmentFiles files({folder.path}, time_point_of(1000), [] {});
  std::vector<results::RecordLocation> locations(kPages);
  const auto take_locations = [&] {
    for (auto& d : files.take_completions()) locations[d.request_id - 1] = d.location;
  };
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    results::SegmentRecord record;
    record.key.result = static_cast<uint64_t>(i / kPagesPerResult);
    record.page_index = static_cast<uint32_t>(i % kPagesPerResult);
    record.page.bytes = page;
    files.append(static_cast<uint64_t>(i) + 1, std::move(record));
    while (files.backlog_bytes() > 4'000'000) std::this_thread::yield();
    take_locations();
    const int oldest = (i / kPagesPerResult - kStoredResults) * kPagesPerResult;
    if (i % kPagesPerResult == 0 && oldest > 0)
      files.delete_segments_before(locations[static_cast<size_t>(oldest)].segment);
  }
  while (files.backlog_bytes() > 0) std::this_thread::yield();
  const double in = ms_since(start);
  take_locations();
  start = Clock::now();
  int requested = 0, received = 0;
  for (int i = kPages - kStoredResults * kPagesPerResult; i < kPages; ++i, ++requested) {
    files.read(1000000 + static_cast<uint64_t>(i), locations[static_cast<size_t>(i)]);
    while (requested - received > 32) received += static_cast<int>(files.take_completions().size());
  }
  while (received < requested) received += static_cast<int>(files.take_completions().size());
  print_result("own segments", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
}

void run_lmdb(const std::string& page) {
  TemporaryDirectory folder;
  const double before = resident_mb();
  MDB_env* env = nullptr;
  MDB_dbi db = 0;
  MDB_txn* txn = nullptr;
  const auto check = [](int code) {
    if (code != 0) throw std::runtime_error(mdb_strerror(code));
  };
  check(mdb_env_create(&env));
  check(mdb_env_set_mapsize(env, size_t{2} << 30));
  check(mdb_env_open(env, folder.path.c_str(), MDB_NOSYNC, 0600));  // without syncs, like the segment files
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    if (i % 10 == 0) {
      check(mdb_txn_begin(env, nullptr, 0, &txn));
      check(mdb_dbi_open(txn, nullptr, 0, &db));
    }
    std::string key = key_of(i);
    MDB_val k{key.size(), key.data()}, v{page.size(), const_cast<char*>(page.data())};
    check(mdb_put(txn, db, &k, &v, 0));
    if (const int expired = i - kStoredResults * kPagesPerResult; expired >= 0) {
      key = key_of(expired);
      k = {key.size(), key.data()};
      check(mdb_del(txn, db, &k, nullptr));
    }
    if (i % 10 == 9) check(mdb_txn_commit(txn));
  }
  const double in = ms_since(start);
  start = Clock::now();
  uint64_t sum = 0;
  check(mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn));
  for (int i = kPages - kStoredResults * kPagesPerResult; i < kPages; ++i) {
    std::string key = key_of(i);
    MDB_val k{key.size(), key.data()}, v;
    check(mdb_get(txn, db, &k, &v));
    const std::string copy(static_cast<const char*>(v.mv_data), v.mv_size);
    sum += static_cast<uint8_t>(copy.back());
  }
  mdb_txn_abort(txn);
  print_result("LMDB", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
  mdb_env_close(env);
  if (sum == 1) fmt::print("\n");
}

void run_rocksdb(const std::string& page) {
  TemporaryDirectory folder;
  const double before = resident_mb();
  rocksdb::Options options;
  options.create_if_missing = true;
  options.compression = rocksdb::kNoCompression;
  options.write_buffer_size = 4 << 20;  // the memory limit of a gateway is 32 MB
  rocksdb::DB* opened = nullptr;
  if (const auto s = rocksdb::DB::Open(options, folder.path, &opened); !s.ok())
    throw std::runtime_error(s.ToString());
  const std::unique_ptr<rocksdb::DB> db(opened);
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    db->Put({}, key_of(i), page);
    if (const int expired = i - kStoredResults * kPagesPerResult; expired >= 0)
      db->Delete({}, key_of(expired));
  }
  const double in = ms_since(start);
  start = Clock::now();
  std::string value;
  for (int i = kPages - kStoredResults * kPagesPerResult; i < kPages; ++i) db->Get({}, key_of(i), &value);
  print_result("RocksDB", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
}

}  // namespace

int main() {
  const std::string page = random_page(1);
  for (int round = 0; round < 3; ++round) {
    run_segments(page);
    run_lmdb(page);
    run_rocksdb(page);
  }
  return 0;
}
