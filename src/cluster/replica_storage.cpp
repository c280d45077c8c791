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

// Reserves address space, not memory. Large enough for three times 65,536 registers of 4 kB.
constexpr size_t kMapBytes = size_t{1} << 30;
constexpr const char* kMetadataKey = "standing";

[[noreturn]] void fail(const std::string& path, const std::string& why) {
  throw std::runtime_error(fmt::format("fleet.folder {}: {}", path, why));
}

MDB_val value_of(const std::string& text) { return {text.size(), const_cast<char*>(text.data())}; }
std::string_view text_of(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

// An LMDB transaction. The destructor aborts it unless it was committed.
class Transaction {
 public:
  Transaction(MDB_env* env, unsigned flags) { error = mdb_txn_begin(env, nullptr, flags, &txn); }
  ~Transaction() {
    if (txn) mdb_txn_abort(txn);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void put(unsigned db, const std::string& key, const std::string& value) {
    MDB_val db_key = value_of(key), db_value = value_of(value);
    if (!error) error = mdb_put(txn, db, &db_key, &db_value, 0);
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
    load();
  } catch (const std::exception& e) {
    close_environment();
    if (lock_file_ >= 0) ::close(lock_file_);
    fail(path, e.what());
  }
  thread_ = std::thread([this] { run_writer(); });
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
  if (error) throw std::runtime_error("cannot create the directory: " + error.message());
  // Without this, a write beyond the file size limit of the system would terminate the process instead of
  // returning an error.
  ::signal(SIGXFSZ, SIG_IGN);
  lock_file_ = ::open((path_ + "/used").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_file_ < 0) throw std::runtime_error("cannot open the lock file \"used\" for writing");
  if (::flock(lock_file_, LOCK_EX | LOCK_NB) != 0) throw std::runtime_error("another process uses it");
}

void ReplicaStorage::open_environment() {
  const auto check = [](int result) {
    if (result != 0) throw std::runtime_error(mdb_strerror(result));
  };
  check(mdb_env_create(&env_));
  check(mdb_env_set_maxdbs(env_, 2));
  check(mdb_env_set_mapsize(env_, kMapBytes));
  // MDB_NOLOCK is safe: the event loop's thread and the writer thread never hold transactions at the same
  // time, and lock() excludes other processes.
  check(mdb_env_open(env_, path_.c_str(), MDB_NOLOCK | MDB_NOTLS, 0644));
  Transaction transaction(env_, 0);
  check(transaction.error);
  check(mdb_dbi_open(transaction.txn, "slots", MDB_CREATE, &slots_db_));
  check(mdb_dbi_open(transaction.txn, "standing", MDB_CREATE, &metadata_db_));
  transaction.commit();
  check(transaction.error);
}

void ReplicaStorage::close_environment() {
  if (env_) mdb_env_close(env_);
  env_ = nullptr;
}

void ReplicaStorage::load() {
  Transaction transaction(env_, MDB_RDONLY);
  if (transaction.error) throw std::runtime_error(mdb_strerror(transaction.error));
  const std::string name = kMetadataKey;
  MDB_val key = value_of(name), value{};
  if (mdb_get(transaction.txn, metadata_db_, &key, &value) != 0) return;
  const auto stored = decode_metadata(text_of(value));
  if (!stored) throw std::runtime_error("stored metadata is invalid or of an unsupported version");
  if (stored->owner != owner_)
    throw std::runtime_error(fmt::format("belongs to gateway {}; this gateway is {}", stored->owner, owner_));
  if (stored->replicas_hash != replicas_hash_)
    throw std::runtime_error("was written with a different list of keepers");
  metadata = stored->metadata;
  MDB_cursor* cursor = nullptr;
  if (const int error = mdb_cursor_open(transaction.txn, slots_db_, &cursor))
    throw std::runtime_error(mdb_strerror(error));
  std::string invalid_key;
  while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) {
    auto slot = decode_slot(text_of(value));
    if (!slot) invalid_key = text_of(key);
    if (slot) slots.emplace(text_of(key), std::move(*slot));
  }
  mdb_cursor_close(cursor);
  // Starting without a slot could break the promise in it. The operator has to empty the directory; the
  // replica then recovers its state from the other replicas.
  if (!invalid_key.empty())
    throw std::runtime_error(fmt::format("stored slot of register {} is invalid", invalid_key));
}

void ReplicaStorage::write(consensus::AcceptorOutput output) {
  {
    const std::lock_guard lock(mutex_);
    queued_.push_back(std::move(output));
    ++pending_;
  }
  work_available_.notify_one();
}

std::vector<ReplicaStorage::WriteResult> ReplicaStorage::take_write_results() {
  const std::lock_guard lock(mutex_);
  pending_ -= write_results_.size();
  return std::exchange(write_results_, {});
}

size_t ReplicaStorage::pending() const {
  const std::lock_guard lock(mutex_);
  return pending_;
}

// If the disk becomes full while a commit writes its meta page, the environment stays unusable (MDB_PANIC)
// until it is reopened, even after space is available again.
std::string ReplicaStorage::write_outputs(const std::vector<consensus::AcceptorOutput>& outputs) {
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
  Transaction transaction(env_, 0);
  for (const consensus::AcceptorOutput& output : outputs) {
    for (const auto& [key, slot] : output.writes) transaction.put(slots_db_, key, encode(slot));
    if (output.metadata)
      transaction.put(metadata_db_, kMetadataKey,
                      encode(StoredMetadata{*output.metadata, owner_, replicas_hash_}));
  }
  transaction.commit();
  return transaction.error;
}

void ReplicaStorage::run_writer() {
  for (;;) {
    std::vector<consensus::AcceptorOutput> outputs;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return is_closing_ || !queued_.empty(); });
      if (queued_.empty()) return;
      outputs.swap(queued_);
    }
    const std::string error = write_outputs(outputs);
    {
      const std::lock_guard lock(mutex_);
      for (consensus::AcceptorOutput& output : outputs) write_results_.push_back({std::move(output), error});
    }
    wake_();
  }
}

}  // namespace firvalve::cluster
