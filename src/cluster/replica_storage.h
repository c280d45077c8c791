// Durable storage of a replica's slots and metadata: an LMDB environment in its own directory, written by a
// writer thread. An acceptor output survives a power failure once take_write_results() has returned it
// without an error. Queued outputs are written in one transaction.
//
// All public functions must be called on the event loop's thread.
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
  // Creates the directory if it is missing, locks it and reads the stored state. Throws std::runtime_error
  // with a one-sentence reason if the directory cannot be created, read or written, is in use by another
  // process, or belongs to another gateway or another replica list. `wake` is called on the writer thread
  // when take_write_results() has new results.
  ReplicaStorage(const std::string& path, const std::string& owner, uint64_t replicas_hash,
                 std::function<void()> wake);
  ~ReplicaStorage();  // writes all queued outputs first
  ReplicaStorage(const ReplicaStorage&) = delete;
  ReplicaStorage& operator=(const ReplicaStorage&) = delete;

  // The state stored at the start. No metadata: nothing was stored.
  std::optional<consensus::ReplicaMetadata> metadata;
  std::map<std::string, consensus::AcceptorSlot> slots;

  void write(consensus::AcceptorOutput output);
  struct WriteResult {
    consensus::AcceptorOutput output;
    std::string error;  // reason of the failure; empty: the output is durable
  };
  std::vector<WriteResult> take_write_results();  // in the order of write()
  size_t pending() const;  // number of outputs not yet returned by take_write_results()

 private:
  void lock();
  void open_environment();  // throws std::runtime_error
  void close_environment();
  void load();
  void run_writer();
  // Returns the reason of a failure; empty: the outputs are durable.
  std::string write_outputs(const std::vector<consensus::AcceptorOutput>& outputs);
  int commit(const std::vector<consensus::AcceptorOutput>& outputs);  // returns an LMDB error code

  const std::string path_, owner_;
  const uint64_t replicas_hash_;
  std::function<void()> wake_;
  int lock_file_ = -1;
  MDB_env* env_ = nullptr;
  unsigned slots_db_ = 0, metadata_db_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable work_available_;
  std::vector<consensus::AcceptorOutput> queued_;
  std::vector<WriteResult> write_results_;
  size_t pending_ = 0;
  bool is_closing_ = false;
  std::thread thread_;
};

}  // namespace firvalve::cluster
