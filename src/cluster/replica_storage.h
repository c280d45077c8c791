// A keeper's slots on a disk that lasts: LMDB in a folder of its own, written on a thread of its own. What
// was put is on the disk, past a power cut, once done() tells so. Steps that wait are written together.
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
  // Makes the folder where it is missing and locks it. Throws std::runtime_error in one sentence: it cannot
  // be made, read or written; another process uses it; it is another gateway's, or of other keepers. `wake`
  // is called on the folder's thread when done() has something.
  ReplicaStorage(const std::string& path, const std::string& owner, uint64_t keepers,
                 std::function<void()> wake);
  ~ReplicaStorage();  // what waits is written first
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  // What was there at the start; no standing: nothing was.
  std::optional<consensus::ReplicaMetadata> standing;
  std::map<std::string, consensus::AcceptorSlot> slots;

  void put(consensus::AcceptorOutput step);
  struct Done {
    consensus::AcceptorOutput step;
    std::string why;  // it could not be written; empty: it is on the disk
  };
  std::vector<Done> done();  // in the order put
  size_t waiting() const;

 private:
  void lock();
  void open_environment();  // throws std::runtime_error
  void close_environment();
  void read();
  void run();
  std::string write(
      const std::vector<consensus::AcceptorOutput>& steps);         // why not; empty: they are on the disk
  int commit(const std::vector<consensus::AcceptorOutput>& steps);  // LMDB's code

  const std::string path_, owner_;
  const uint64_t keepers_;
  std::function<void()> wake_;
  int lock_ = -1;
  MDB_env* env_ = nullptr;
  unsigned slots_db_ = 0, standing_db_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable wanted_;
  std::vector<consensus::AcceptorOutput> waiting_;
  std::vector<Done> done_;
  size_t out_ = 0;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace firvalve::cluster
