// One engine of the simulation's world: cores shared by all that runs (processor sharing), a bounded number
// of slots and a bounded queue before them, a table of connections and a queue of those that want one.
// Virtual time comes in with every call; it schedules nothing itself: after a change, ask `next_completion`.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

// How gateways and engines are connected. Not modelled unless `modelled`: then an attempt simply arrives.
struct ConnectionOptions {
  bool modelled = false;
  size_t table_size = 0;          // connections an engine holds; more are refused. 0: any number
  double full_table_tax = 0;      // share of the engine's capacity that a full table takes, in proportion
  Ms handshake_work = 1;          // on one core of the engine, which takes one handshake after the other
  int handshake_round_trips = 1;  // before the first call can go out
  size_t connect_queue = 128;     // that wait for a handshake; more are refused. 0: any number
  Ms connect_timeout = 250;       // after which the gateway gives the connection up
  Ms idle_close = 15000;  // after which the engine would close an idle one; the gateway does so before
};

struct EngineOptions {
  double cores = 8;
  double contention_from = 1.5;  // threads a core past which total work falls, by `contention_loss` for each
  double contention_loss = 0.1;  // more
  size_t slots = 0;              // attempts that run at once. 0: any number
  size_t queue = 0;              // attempts that wait for a slot; more are answered "full"
  ConnectionOptions connections;
};

class EngineModel {
 public:
  enum class Admission { kRuns, kQueued, kFull };
  struct Completion {
    uint64_t number = 0;  // of the attempt, or of the connect
    bool is_handshake = false;
  };
  enum class State { kAbsent, kQueued, kRunning };
  struct Progress {
    State state = State::kAbsent;
    double work_left = 0;
  };

  explicit EngineModel(const EngineOptions& options) : options_(options) {}

  Admission admit(Ms now, uint64_t attempt, double work, int threads);
  bool remove(Ms now, uint64_t attempt);  // whether it was there
  Progress progress_of(Ms now, uint64_t attempt);
  // What has finished by now; what waits takes the places that came free.
  std::vector<Completion> complete(Ms now);
  std::optional<Ms> next_completion() const;  // from the last change on; none: nothing makes progress

  void set_silent(Ms now, bool silent);
  bool is_silent() const { return silent_; }
  std::vector<uint64_t> clear(Ms now);  // the process ends: the attempts that it had, its connections gone

  // Whether a connect is taken into the queue for a handshake.
  bool admit_connect(Ms now, uint64_t connect);
  void abandon_connect(uint64_t connect);  // before its handshake began; later it is done for nobody
  void release_connection(Ms now);

  double threads() const { return threads_; }
  size_t running() const { return running_; }
  size_t queued() const { return queue_.size(); }
  size_t connections() const { return connections_; }

 private:
  struct Job {
    uint64_t number = 0;
    double work_left = 0;
    int threads = 1;
    bool is_handshake = false;
  };
  double pace() const;  // work a ms that each thread gets done
  void advance(Ms now);
  void run(const Job& job);
  void fill_slots();
  void begin_handshake();

  EngineOptions options_;
  std::vector<Job> jobs_;  // that share the cores: attempts and at most one handshake
  std::deque<Job> queue_;
  std::deque<uint64_t> connects_;
  size_t connections_ = 0, running_ = 0;
  double threads_ = 0;
  Ms advanced_at_ = 0;
  bool silent_ = false, handshake_runs_ = false;
};

}  // namespace firvalve::simulation
