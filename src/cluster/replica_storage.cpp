#include "cluster/replica_storage.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <lmdb.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>

#include "cluster/peer_codec.h"

namespace firvalve::cluster {

namespace {

constexpr size_t kMapBytes = size_t{1}
                             << 30;  // address space, not memory: room for 65,536 registers of 4 kB, thrice
constexpr const char* kMetadataKey = "standing";

[[noreturn]] void fail(const std::string& path, const std::string& why) {
  throw std::runtime_error(fmt::format("fleet.folder {}: {}", path, why));
}

MDB_val value_of(const std::string& text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string_view text_of(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

// One transaction: it ends with the object, and counts only where it was committed.
class Transaction {
 public:
  Transaction(MDB_env* env, unsigned flags) { error = mdb_txn_begin(env, nullptr, flags, &txn); }
  ~Transaction() {
    if (txn) mdb_txn_abort(txn);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void put(unsigned db, const std::string& key, const std::string& value) {
    MDB_val k = value_of(key), v = value_of(value);
    if (!error) error = mdb_put(txn, db, &k, &v, 0);
  }
  void commit() {
    if (!error) error = mdb_txn_commit(std::exchange(txn, nullptr));
  }
  MDB_txn* txn = nullptr;
  int error = 0;
};

}  // namespace

ReplicaStorage::ReplicaStorage(const std::string& path, const std::string& owner, uint64_t replicas_hash,
                               std::function<void()> wake)
    : path_(path), owner_(owner), replicas_hash_(replicas_hash), wake_(std::move(wake)) {
  try {
    lock();
    open_environment();
    read();
  } catch (const std::exception& e) {
    close_environment();
    if (lock_file_ >= 0) ::close(lock_file_);
    fail(path, e.what());
  }
  thread_ = std::thread([this] { run(); });
}

ReplicaStorage::~ReplicaStorage() {
  {
    const std::lock_guard lock(mutex_);
    is_closing_ = true;
  }
  work_available_.notify_one();
  thread_.join();
  close_environment();
  ::close(lock_file_);
}

void ReplicaStorage::lock() {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) throw std::runtime_error("cannot be made: " + error.message());
  // A write past the system's limit of file sizes is an error to be reported, not the end of the process.
  ::signal(SIGXFSZ, SIG_IGN);
  lock_file_ = ::open((path_ + "/used").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_file_ < 0) throw std::runtime_error("cannot be written");
  if (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0) throw std::runtime_error("another process uses it");
}

void ReplicaStorage::open_environment() {
  const auto check = [](int result) {
    if (result != 0) throw std::runtime_error(mdb_strerror(result));
  };
  check(mdb_env_create(&env_));
  check(mdb_env_set_maxdbs(env_, 2));
  check(mdb_env_set_mapsize(env_, kMapBytes));
  // The loop's thread and the writing one never hold a transaction at once; the lock above keeps others out.
  check(mdb_env_open(env_, path_.c_str(), MDB_NOLOCK | MDB_NOTLS, 0644));
  Transaction t(env_, 0);
  check(t.error);
  check(mdb_dbi_open(t.txn, "slots", MDB_CREATE, &slots_db_));
  check(mdb_dbi_open(t.txn, "standing", MDB_CREATE, &metadata_db_));
  t.commit();
  check(t.error);
}

void ReplicaStorage::close_environment() {
  if (env_) mdb_env_close(env_);
  env_ = nullptr;
}

void ReplicaStorage::read() {
  Transaction t(env_, MDB_RDONLY);
  if (t.error) throw std::runtime_error(mdb_strerror(t.error));
  const std::string name = kMetadataKey;
  MDB_val key = value_of(name), value{};
  if (mdb_get(t.txn, metadata_db_, &key, &value) != 0) return;
  const auto owned = decode_metadata(text_of(value));
  if (!owned) throw std::runtime_error("what lies there cannot be read");
  if (owned->owner != owner_)
    throw std::runtime_error(fmt::format("it is {}'s; this gateway is {}", owned->owner, owner_));
  if (owned->replicas_hash != replicas_hash_)
    throw std::runtime_error("it was written under another list of keepers");
  metadata = owned->metadata;
  MDB_cursor* cursor = nullptr;
  if (const int error = mdb_cursor_open(t.txn, slots_db_, &cursor))
    throw std::runtime_error(mdb_strerror(error));
  std::string broken;
  while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) {
    auto slot = decode_slot(text_of(value));
    if (!slot) broken = text_of(key);
    if (slot) slots.emplace(text_of(key), std::move(*slot));
  }
  mdb_cursor_close(cursor);
  // A promise that cannot be read may be broken: the operator empties the directory, and the replica learns
  // everything again from the others.
  if (!broken.empty()) throw std::runtime_error(fmt::format("the slot of {} cannot be read", broken));
}

void ReplicaStorage::write(consensus::AcceptorOutput output) {
  {
    const std::lock_guard lock(mutex_);
    queued_.push_back(std::move(output));
    ++pending_;
  }
  work_available_.notify_one();
}

std::vector<ReplicaStorage::Written> ReplicaStorage::take_written() {
  const std::lock_guard lock(mutex_);
  pending_ -= written_.size();
  return std::exchange(written_, {});
}

size_t ReplicaStorage::pending() const {
  const std::lock_guard lock(mutex_);
  return pending_;
}

// A disk that fills up while a commit writes its meta page leaves the environment unusable (MDB_PANIC) until
// it is opened anew, also once the disk takes writes again.
std::string ReplicaStorage::write_all(const std::vector<consensus::AcceptorOutput>& outputs) {
  try {
    if (!env_) open_environment();
    const int error = commit(outputs);
    if (error == MDB_PANIC) close_environment();
    return error ? mdb_strerror(error) : "";
  } catch (const std::runtime_error& e) {
    close_environment();
    return e.what();
  }
}

int ReplicaStorage::commit(const std::vector<consensus::AcceptorOutput>& outputs) {
  Transaction t(env_, 0);
  for (const consensus::AcceptorOutput& output : outputs) {
    for (const auto& [key, slot] : output.writes) t.put(slots_db_, key, encode(slot));
    if (output.metadata)
      t.put(metadata_db_, kMetadataKey, encode(OwnedMetadata{*output.metadata, owner_, replicas_hash_}));
  }
  t.commit();
  return t.error;
}

void ReplicaStorage::run() {
  for (;;) {
    std::vector<consensus::AcceptorOutput> outputs;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return is_closing_ || !queued_.empty(); });
      if (queued_.empty()) return;
      outputs.swap(queued_);
    }
    const std::string error = write_all(outputs);
    {
      const std::lock_guard lock(mutex_);
      for (consensus::AcceptorOutput& output : outputs) written_.push_back({std::move(output), error});
    }
    wake_();
  }
}

}  // namespace firvalve::cluster
