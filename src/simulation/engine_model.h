// Model of one engine: cores shared by all running attempts (processor sharing), a bounded number of slots
// with a bounded queue, a connection table, and a queue of connects that wait for a handshake. Each call
// passes the virtual time. The model schedules no events: after each change the caller asks
// next_completion().
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/units.h"

namespace firvalve::simulation {

// Model of the connections between gateways and engines. If `modelled` is false, an attempt reaches its
// engine without one.
struct ConnectionOptions {
  bool modelled = false;
  size_t table_size = 0;          // connections of an engine; more are refused. 0: unlimited
  double full_table_tax = 0;      // share of the engine's capacity lost with a full table; less in proportion
  Ms handshake_work = 1;          // on one core of the engine, which runs one handshake at a time
  int handshake_round_trips = 1;  // before the first request
  size_t connect_queue = 128;     // connects that wait for a handshake; more are refused. 0: unlimited
  Ms connect_timeout = 250;       // after which the gateway abandons the connect
  Ms idle_close = 15000;          // of the engine; the gateway closes an idle connection before
};

struct EngineOptions {
  double cores = 8;
  // Above `contention_from` threads per core the total throughput falls: it is divided by
  // 1 + `contention_loss` * (threads per core - `contention_from`).
  double contention_from = 1.5;
  double contention_loss = 0.1;
  size_t slots = 0;  // attempts that run at once. 0: unlimited
  size_t queue = 0;  // attempts that wait for a slot; more are answered "full"
  ConnectionOptions connections;
};

class EngineModel {
 public:
  enum class Admission { kRuns, kQueued, kFull };
  struct Completion {
    uint64_t number = 0;  // of the attempt or of the connect
    bool is_handshake = false;
  };
  enum class State { kAbsent, kQueued, kRunning };
  struct Progress {
    State state = State::kAbsent;
    double work_left = 0;
  };

  explicit EngineModel(const EngineOptions& options) : options_(options) {}

  Admission admit(Ms now, uint64_t attempt, double work, int threads);
  bool remove(Ms now, uint64_t attempt);  // false if the engine does not have it
  Progress progress_of(Ms now, uint64_t attempt);
  // Removes and returns the attempts and handshakes that have finished by `now`; waiting ones take their
  // places.
  std::vector<Completion> complete(Ms now);
  std::optional<Ms> next_completion() const;  // time after the last change; none if nothing makes progress

  void set_silent(Ms now, bool silent);
  bool is_silent() const { return silent_; }
  std::vector<uint64_t> clear(Ms now);  // the process ends; returns its attempts

  // False if the connection table or the queue for handshakes is full.
  bool admit_connect(Ms now, uint64_t connect);
  void abandon_connect(uint64_t connect);  // no effect once its handshake has begun
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
  double work_per_thread() const;  // ms of work that each thread completes in a ms
  void advance(Ms now);
  void run(const Job& job);
  void fill_slots();
  void begin_handshake();

  EngineOptions options_;
  std::vector<Job> jobs_;  // running: attempts and at most one handshake
  std::deque<Job> queue_;
  std::deque<uint64_t> connects_;
  size_t connections_ = 0, running_ = 0;
  double threads_ = 0;
  Ms advanced_at_ = 0;
  bool silent_ = false, is_handshake_running_ = false;
};

}  // namespace firvalve::simulation
