// Segments of our own beside LMDB and RocksDB, on the spool's load: pages written once, read back, and all of
// a result gone a little later. Built only where both libraries are; neither is linked into anything else.
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

constexpr size_t kPage = 32000;  // bytes, as a page of 64 kB of rows is kept
constexpr int kPages = 8000,
              kRound = 100;  // a result has 100 pages; 20 results are kept, then the oldest goes
constexpr int kKept = 20;

double ms_since(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

std::string noise(unsigned seed) {
  std::string bytes(kPage, '\0');
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

struct Folder {
  Folder() {
    char name[] = "/tmp/firvalve-store-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

void tell(const char* name, double write_ms, double read_ms, double on_disk, double memory) {
  const double mb = double(kPage) * kPages / 1e6;
  fmt::print(
      "{}: {:.0f} MB/s in, {:.0f} MB/s out, {:.0f} MB on disk for {:.0f} MB kept, {:.1f} MB more memory\n",
      name, 1000 * mb / write_ms, 1000 * mb * kKept * kRound / kPages / read_ms, on_disk,
      double(kPage) * kKept * kRound / 1e6, memory);
}

std::string key_of(int page) { return fmt::format("{:012}", page); }

void own(const std::string& page) {
  Folder folder;
  const double before = resident_mb();
  results::SegmentFiles files({folder.path}, time_point_of(1000), [] {});
  std::vector<results::RecordLocation> places(kPages);
  const auto take = [&] {
    for (auto& d : files.take_completions()) places[d.request_id - 1] = d.location;
  };
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    results::SegmentRecord record;
    record.key.result = static_cast<uint64_t>(i / kRound);
    record.page_index = static_cast<uint32_t>(i % kRound);
    record.page.bytes = page;
    files.append(static_cast<uint64_t>(i) + 1, std::move(record));
    while (files.backlog_bytes() > 4'000'000) std::this_thread::yield();
    take();
    const int oldest = (i / kRound - kKept) * kRound;
    if (i % kRound == 0 && oldest > 0)
      files.delete_segments_before(places[static_cast<size_t>(oldest)].segment);
  }
  while (files.backlog_bytes() > 0) std::this_thread::yield();
  const double in = ms_since(start);
  take();
  start = Clock::now();
  int wanted = 0, came = 0;
  for (int i = kPages - kKept * kRound; i < kPages; ++i, ++wanted) {
    files.read(1000000 + static_cast<uint64_t>(i), places[static_cast<size_t>(i)]);
    while (wanted - came > 32) came += static_cast<int>(files.take_completions().size());
  }
  while (came < wanted) came += static_cast<int>(files.take_completions().size());
  tell("own segments", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
}

void lmdb(const std::string& page) {
  Folder folder;
  const double before = resident_mb();
  MDB_env* env = nullptr;
  MDB_dbi db = 0;
  MDB_txn* txn = nullptr;
  const auto good = [](int code) {
    if (code != 0) throw std::runtime_error(mdb_strerror(code));
  };
  good(mdb_env_create(&env));
  good(mdb_env_set_mapsize(env, size_t{2} << 30));
  good(mdb_env_open(env, folder.path.c_str(), MDB_NOSYNC, 0600));  // as ours: nothing is forced to the disk
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    if (i % 10 == 0) {
      good(mdb_txn_begin(env, nullptr, 0, &txn));
      good(mdb_dbi_open(txn, nullptr, 0, &db));
    }
    std::string key = key_of(i);
    MDB_val k{key.size(), key.data()}, v{page.size(), const_cast<char*>(page.data())};
    good(mdb_put(txn, db, &k, &v, 0));
    if (const int old = i - kKept * kRound; old >= 0) {
      key = key_of(old);
      k = {key.size(), key.data()};
      good(mdb_del(txn, db, &k, nullptr));
    }
    if (i % 10 == 9) good(mdb_txn_commit(txn));
  }
  const double in = ms_since(start);
  start = Clock::now();
  uint64_t sum = 0;
  good(mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn));
  for (int i = kPages - kKept * kRound; i < kPages; ++i) {
    std::string key = key_of(i);
    MDB_val k{key.size(), key.data()}, v;
    good(mdb_get(txn, db, &k, &v));
    const std::string copy(static_cast<const char*>(v.mv_data), v.mv_size);
    sum += static_cast<uint8_t>(copy.back());
  }
  mdb_txn_abort(txn);
  tell("LMDB", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
  mdb_env_close(env);
  if (sum == 1) fmt::print("\n");
}

void rocks(const std::string& page) {
  Folder folder;
  const double before = resident_mb();
  rocksdb::Options options;
  options.create_if_missing = true;
  options.compression = rocksdb::kNoCompression;
  options.write_buffer_size = 4 << 20;  // a gateway has 32 MB in all
  rocksdb::DB* opened = nullptr;
  if (const auto s = rocksdb::DB::Open(options, folder.path, &opened); !s.ok())
    throw std::runtime_error(s.ToString());
  const std::unique_ptr<rocksdb::DB> db(opened);
  auto start = Clock::now();
  for (int i = 0; i < kPages; ++i) {
    db->Put({}, key_of(i), page);
    if (const int old = i - kKept * kRound; old >= 0) db->Delete({}, key_of(old));
  }
  const double in = ms_since(start);
  start = Clock::now();
  std::string value;
  for (int i = kPages - kKept * kRound; i < kPages; ++i) db->Get({}, key_of(i), &value);
  tell("RocksDB", in, ms_since(start), folder_mb(folder.path), resident_mb() - before);
}

}  // namespace

int main() {
  const std::string page = noise(1);
  for (int round = 0; round < 3; ++round) {
    own(page);
    lmdb(page);
    rocks(page);
  }
  return 0;
}
