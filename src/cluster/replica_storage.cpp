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

#include "cluster/wire.h"

namespace firvalve::cluster {

namespace {

constexpr size_t kMapBytes = size_t{1}
                             << 30;  // address space, not memory: room for 65,536 facts of 4 kB, thrice
constexpr const char* kStandingKey = "standing";

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

ReplicaStorage::ReplicaStorage(const std::string& path, const std::string& owner, uint64_t keepers,
                               std::function<void()> wake)
    : path_(path), owner_(owner), keepers_(keepers), wake_(std::move(wake)) {
  try {
    lock();
    open_environment();
    read();
  } catch (const std::exception& e) {
    close_environment();
    if (lock_ >= 0) ::close(lock_);
    fail(path, e.what());
  }
  thread_ = std::thread([this] { run(); });
}

ReplicaStorage::~ReplicaStorage() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wanted_.notify_one();
  thread_.join();
  close_environment();
  ::close(lock_);
}

void ReplicaStorage::lock() {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) throw std::runtime_error("cannot be made: " + error.message());
  // A file limit of the system is an error to be told, not an end of the process.
  ::signal(SIGXFSZ, SIG_IGN);
  lock_ = ::open((path_ + "/used").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_ < 0) throw std::runtime_error("cannot be written");
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) throw std::runtime_error("another process uses it");
}

void ReplicaStorage::open_environment() {
  const auto check = [](int result) {
    if (result != 0) throw std::runtime_error(mdb_strerror(result));
  };
  check(mdb_env_create(&env_));
  check(mdb_env_set_maxdbs(env_, 2));
  check(mdb_env_set_mapsize(env_, kMapBytes));
  // The loop's thread and the folder's never hold a transaction at once; the lock above keeps others out.
  check(mdb_env_open(env_, path_.c_str(), MDB_NOLOCK | MDB_NOTLS, 0644));
  Transaction t(env_, 0);
  check(t.error);
  check(mdb_dbi_open(t.txn, "slots", MDB_CREATE, &slots_db_));
  check(mdb_dbi_open(t.txn, "standing", MDB_CREATE, &standing_db_));
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
  const std::string name = kStandingKey;
  MDB_val key = value_of(name), value{};
  if (mdb_get(t.txn, standing_db_, &key, &value) != 0) return;
  const auto owned = read_owned(text_of(value));
  if (!owned) throw std::runtime_error("what lies there cannot be read");
  if (owned->owner != owner_)
    throw std::runtime_error(fmt::format("it is {}'s; this gateway is {}", owned->owner, owner_));
  if (owned->keepers != keepers_) throw std::runtime_error("it was written under another list of keepers");
  standing = owned->standing;
  MDB_cursor* cursor = nullptr;
  if (const int error = mdb_cursor_open(t.txn, slots_db_, &cursor))
    throw std::runtime_error(mdb_strerror(error));
  std::string broken;
  while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) {
    auto slot = read_slot(text_of(value));
    if (!slot) broken = text_of(key);
    if (slot) slots.emplace(text_of(key), std::move(*slot));
  }
  mdb_cursor_close(cursor);
  // A promise that cannot be read is one that may be broken: the operator empties the folder, and the keeper
  // learns all again from the others.
  if (!broken.empty()) throw std::runtime_error(fmt::format("the slot of {} cannot be read", broken));
}

void ReplicaStorage::put(consensus::AcceptorOutput step) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.push_back(std::move(step));
    ++out_;
  }
  wanted_.notify_one();
}

std::vector<ReplicaStorage::Done> ReplicaStorage::done() {
  const std::lock_guard lock(mutex_);
  out_ -= done_.size();
  return std::exchange(done_, {});
}

size_t ReplicaStorage::waiting() const {
  const std::lock_guard lock(mutex_);
  return out_;
}

// A disk that fills up while a commit writes its meta page leaves the environment unusable (MDB_PANIC) until
// it is opened anew, also once the disk takes writes again.
std::string ReplicaStorage::write(const std::vector<consensus::AcceptorOutput>& steps) {
  try {
    if (!env_) open_environment();
    const int error = commit(steps);
    if (error == MDB_PANIC) close_environment();
    return error ? mdb_strerror(error) : "";
  } catch (const std::runtime_error& e) {
    close_environment();
    return e.what();
  }
}

int ReplicaStorage::commit(const std::vector<consensus::AcceptorOutput>& steps) {
  Transaction t(env_, 0);
  for (const consensus::AcceptorOutput& step : steps) {
    for (const auto& [key, slot] : step.writes) t.put(slots_db_, key, written(slot));
    if (step.metadata) t.put(standing_db_, kStandingKey, written(Owned{*step.metadata, owner_, keepers_}));
  }
  t.commit();
  return t.error;
}

void ReplicaStorage::run() {
  for (;;) {
    std::vector<consensus::AcceptorOutput> steps;
    {
      std::unique_lock lock(mutex_);
      wanted_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
      if (waiting_.empty()) return;
      steps.swap(waiting_);
    }
    const std::string why = write(steps);
    {
      const std::lock_guard lock(mutex_);
      for (consensus::AcceptorOutput& step : steps) done_.push_back({std::move(step), why});
    }
    wake_();
  }
}

}  // namespace firvalve::cluster
