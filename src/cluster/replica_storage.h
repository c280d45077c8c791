// A replica's slots on a disk: LMDB in a directory of its own, written on a thread of its own. An output of
// the acceptor is durable, past a power cut, once take_written() returns it. Those that wait are written in
// one transaction.
//
// All calls come from one thread, the loop's.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "consensus/acceptor.h"

struct MDB_env;

namespace firvalve::cluster {

class ReplicaStorage {
 public:
  // Creates the directory where it is missing and locks it. Throws std::runtime_error in one sentence: it
  // cannot be created, read or written; another process uses it; it is another gateway's, or of another list
  // of replicas. `wake` is called on the writing thread when take_written() has something.
  ReplicaStorage(const std::string& path, const std::string& owner, uint64_t replicas_hash,
                 std::function<void()> wake);
  ~ReplicaStorage();  // what is queued is written first
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  // What was stored at the start; no metadata: nothing was.
  std::optional<consensus::ReplicaMetadata> metadata;
  std::map<std::string, consensus::AcceptorSlot> slots;

  void write(consensus::AcceptorOutput output);
  struct Written {
    consensus::AcceptorOutput output;
    std::string error;  // why it could not be written; empty: it is on the disk
  };
  std::vector<Written> take_written();  // in the order of write()
  size_t pending() const;               // outputs that take_written() has not returned yet

 private:
  void lock();
  void open_environment();  // throws std::runtime_error
  void close_environment();
  void read();
  void run();
  std::string write_all(
      const std::vector<consensus::AcceptorOutput>& outputs);         // why not; empty: they are durable
  int commit(const std::vector<consensus::AcceptorOutput>& outputs);  // LMDB's code

  const std::string path_, owner_;
  const uint64_t replicas_hash_;
  std::function<void()> wake_;
  int lock_file_ = -1;
  MDB_env* env_ = nullptr;
  unsigned slots_db_ = 0, metadata_db_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable work_available_;
  std::vector<consensus::AcceptorOutput> queued_;
  std::vector<Written> written_;
  size_t pending_ = 0;
  bool is_closing_ = false;
  std::thread thread_;
};

}  // namespace firvalve::cluster
