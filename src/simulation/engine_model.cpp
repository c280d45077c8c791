#include "simulation/engine_model.h"

#include <algorithm>

namespace firvalve::simulation {

constexpr double kMinWorkLeft = 1e-9;  // ms; less is a rounding error

double EngineModel::work_per_thread() const {
  if (threads_ <= 0 || silent_) return 0;
  const double threads_per_core = threads_ / options_.cores;
  const double excess = std::max(0.0, threads_per_core - options_.contention_from);
  const double pace = std::min(1.0, 1 / threads_per_core) / (1 + options_.contention_loss * excess);
  const ConnectionOptions& c = options_.connections;
  if (c.table_size == 0) return pace;
  const double fullness = static_cast<double>(connections_) / static_cast<double>(c.table_size);
  return pace * (1 - c.full_table_tax * std::min(1.0, fullness));
}

void EngineModel::advance(Ms now) {
  const double work_done = (now - advanced_at_) * work_per_thread();
  if (work_done > 0)
    for (Job& job : jobs_) job.work_left -= work_done * job.threads;
  advanced_at_ = now;
}

void EngineModel::run(const Job& job) {
  jobs_.push_back(job);
  threads_ += job.threads;
  if (!job.is_handshake) ++running_;
}

EngineModel::Admission EngineModel::admit(Ms now, uint64_t attempt, double work, int threads) {
  advance(now);
  const Job job{attempt, work, threads, false};
  if (options_.slots == 0 || running_ < options_.slots) {
    run(job);
    return Admission::kRuns;
  }
  if (queue_.size() >= options_.queue) return Admission::kFull;
  queue_.push_back(job);
  return Admission::kQueued;
}

void EngineModel::fill_slots() {
  while (!queue_.empty() && running_ < options_.slots) {
    run(queue_.front());
    queue_.pop_front();
  }
}

bool EngineModel::remove(Ms now, uint64_t attempt) {
  advance(now);
  const auto matches = [&](const Job& job) { return job.number == attempt && !job.is_handshake; };
  const auto queued = std::find_if(queue_.begin(), queue_.end(), matches);
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return true;
  }
  const auto running = std::find_if(jobs_.begin(), jobs_.end(), matches);
  if (running == jobs_.end()) return false;
  threads_ -= running->threads;
  --running_;
  jobs_.erase(running);
  fill_slots();
  return true;
}

EngineModel::Progress EngineModel::progress_of(Ms now, uint64_t attempt) {
  const auto matches = [&](const Job& job) { return job.number == attempt && !job.is_handshake; };
  const auto running = std::find_if(jobs_.begin(), jobs_.end(), matches);
  if (running != jobs_.end())
    return {State::kRunning, running->work_left - (now - advanced_at_) * work_per_thread()};
  const auto queued = std::find_if(queue_.begin(), queue_.end(), matches);
  return queued == queue_.end() ? Progress{} : Progress{State::kQueued, queued->work_left};
}

std::vector<EngineModel::Completion> EngineModel::complete(Ms now) {
  advance(now);
  std::vector<Completion> done;
  for (size_t i = 0; i < jobs_.size();) {
    if (jobs_[i].work_left > kMinWorkLeft) {
      ++i;
      continue;
    }
    const Job job = jobs_[i];
    done.push_back({job.number, job.is_handshake});
    threads_ -= job.threads;
    jobs_.erase(jobs_.begin() + static_cast<long>(i));
    if (!job.is_handshake) {
      --running_;
      continue;
    }
    is_handshake_running_ = false;
    ++connections_;
  }
  fill_slots();
  begin_handshake();
  return done;
}

std::optional<Ms> EngineModel::next_completion() const {
  const double rate = work_per_thread();
  if (rate <= 0) return std::nullopt;
  Ms soonest = 1e18;
  for (const Job& job : jobs_)
    soonest = std::min(soonest, std::max(job.work_left, 0.0) / (rate * job.threads));
  return soonest;
}

void EngineModel::set_silent(Ms now, bool silent) {
  advance(now);
  silent_ = silent;
}

std::vector<uint64_t> EngineModel::clear(Ms now) {
  advance(now);
  std::vector<uint64_t> ended;
  for (const Job& job : jobs_)
    if (!job.is_handshake) ended.push_back(job.number);
  for (const Job& job : queue_) ended.push_back(job.number);
  jobs_.clear();
  queue_.clear();
  connects_.clear();
  connections_ = running_ = 0;
  threads_ = 0;
  is_handshake_running_ = false;
  return ended;
}

bool EngineModel::admit_connect(Ms now, uint64_t connect) {
  const ConnectionOptions& c = options_.connections;
  const size_t wanted = connects_.size() + is_handshake_running_;
  if (c.table_size > 0 && connections_ + wanted >= c.table_size) return false;
  if (c.connect_queue > 0 && connects_.size() >= c.connect_queue) return false;
  advance(now);
  connects_.push_back(connect);
  begin_handshake();
  return true;
}

void EngineModel::begin_handshake() {
  if (is_handshake_running_ || connects_.empty()) return;
  is_handshake_running_ = true;
  run({connects_.front(), options_.connections.handshake_work, 1, true});
  connects_.pop_front();
}

void EngineModel::abandon_connect(uint64_t connect) { std::erase(connects_, connect); }

void EngineModel::release_connection(Ms now) {
  advance(now);
  if (connections_ > 0) --connections_;
}

}  // namespace firvalve::simulation
