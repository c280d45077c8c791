// Tests the engine model: slots, queue, contention, connections.
#include "simulation/engine_model.h"

#include <gtest/gtest.h>

namespace firvalve::simulation {
namespace {

using Admission = EngineModel::Admission;

EngineOptions two_slots() {
  EngineOptions options;
  options.cores = 2;
  options.slots = 2;
  options.queue = 1;
  return options;
}

TEST(EngineModel, RejectsAttemptsWhenSlotsAndQueueAreFull) {
  EngineModel engine(two_slots());
  EXPECT_EQ(engine.admit(0, 1, 10, 1), Admission::kRuns);
  EXPECT_EQ(engine.admit(0, 2, 20, 1), Admission::kRuns);
  EXPECT_EQ(engine.admit(0, 3, 5, 1), Admission::kQueued);
  EXPECT_EQ(engine.admit(0, 4, 5, 1), Admission::kFull);
  EXPECT_DOUBLE_EQ(*engine.next_completion(), 10);
  ASSERT_EQ(engine.complete(10).size(), 1u);
  EXPECT_EQ(engine.progress_of(10, 3).state, EngineModel::State::kRunning);
  EXPECT_EQ(engine.queued(), 0u);
  EXPECT_TRUE(engine.remove(12, 2));
  EXPECT_FALSE(engine.remove(12, 2));
  EXPECT_DOUBLE_EQ(*engine.next_completion(), 3);
}

TEST(EngineModel, ContentionReducesThroughput) {
  EngineOptions options;
  options.cores = 1;
  options.contention_from = 2;
  options.contention_loss = 0.5;
  EngineModel engine(options);
  for (uint64_t attempt = 1; attempt <= 4; ++attempt) engine.admit(0, attempt, 10, 1);
  EXPECT_DOUBLE_EQ(*engine.next_completion(), 80);  // 40 ms of work at half of the throughput
}

TEST(EngineModel, FullConnectionTableRefusesConnectsAndReducesCapacity) {
  EngineOptions options;
  options.cores = 1;
  options.connections = {true, 2, 0.2, 1, 1, 8, 250, 15000};
  EngineModel engine(options);
  EXPECT_TRUE(engine.admit_connect(0, 1));
  EXPECT_TRUE(engine.admit_connect(0, 2));
  EXPECT_FALSE(engine.admit_connect(0, 3));
  EXPECT_TRUE(engine.complete(1).front().is_handshake);
  EXPECT_EQ(engine.connections(), 1u);  // the second handshake follows the first
  engine.complete(1 + *engine.next_completion());
  EXPECT_EQ(engine.connections(), 2u);
  engine.admit(10, 7, 8, 1);
  EXPECT_DOUBLE_EQ(*engine.next_completion(), 10);
  engine.release_connection(10);
  EXPECT_TRUE(engine.admit_connect(10, 4));
}

TEST(EngineModel, FullConnectQueueRefusesAndAbandonedConnectsCostNothing) {
  EngineOptions options;
  options.connections.modelled = true;
  options.connections.connect_queue = 1;
  EngineModel engine(options);
  EXPECT_TRUE(engine.admit_connect(0, 1));  // its handshake runs
  EXPECT_TRUE(engine.admit_connect(0, 2));
  EXPECT_FALSE(engine.admit_connect(0, 3));
  engine.abandon_connect(2);
  EXPECT_EQ(engine.complete(1).size(), 1u);
  EXPECT_FALSE(engine.next_completion().has_value());
}

TEST(EngineModel, SilentEngineMakesNoProgressAndClearReturnsItsAttempts) {
  EngineModel engine(two_slots());
  for (uint64_t attempt = 1; attempt <= 3; ++attempt) engine.admit(0, attempt, 10, 1);
  engine.set_silent(4, true);
  EXPECT_FALSE(engine.next_completion().has_value());
  engine.set_silent(100, false);
  EXPECT_DOUBLE_EQ(*engine.next_completion(), 6);
  EXPECT_EQ(engine.clear(101).size(), 3u);
  EXPECT_DOUBLE_EQ(engine.threads(), 0);
}

}  // namespace
}  // namespace firvalve::simulation
