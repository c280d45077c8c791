// Tests the simulated world: determinism, overload, silent and crashed engines.
#include "simulation/world.h"

#include <gtest/gtest.h>

#include <thread>

namespace firvalve::simulation {
namespace {

WorldOptions small_world(uint64_t seed = 1) {
  WorldOptions t;
  t.seed = seed;
  t.duration = 20000;
  t.rate = 150;
  return t;
}

uint64_t ended_commands(const WorldOutcome& o) {
  uint64_t all = 0;
  for (const ProfileOutcome& p : o.profiles) all += p.in_target + p.late + p.shed + p.failed;
  return all;
}

TEST(World, AnswersNormalLoadWithoutViolations) {
  const WorldOutcome o = play(small_world());
  EXPECT_GT(o.commands, 2000u);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.profiles[0].in_target, o.profiles[0].submitted * 95 / 100);
  EXPECT_LE(ended_commands(o), o.commands);
  EXPECT_GT(ended_commands(o), o.commands - 60);  // the others were in flight at the end
}

TEST(World, SameSeedGivesTheSameHistoryOnOneAndOnEightThreads) {
  const uint64_t alone = play(small_world(7)).hash;
  std::vector<uint64_t> hashes(8);
  std::vector<std::thread> threads;
  for (uint64_t& h : hashes) threads.emplace_back([&h] { h = play(small_world(7)).hash; });
  for (std::thread& t : threads) t.join();
  for (const uint64_t h : hashes) EXPECT_EQ(h, alone);
  EXPECT_NE(play(small_world(8)).hash, alone);
}

TEST(World, SurvivesSilentAndCrashedEnginesWithoutViolations) {
  WorldOptions t = small_world(3);
  t.faults.push_back({WorldFault::Kind::kSilent, 3000, 5000, 0, 2});
  t.faults.push_back({WorldFault::Kind::kCrash, 6000, 4000, 3, 3});
  const WorldOutcome o = play(t);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.attempts, o.commands);  // some commands were retried
  EXPECT_GT(o.profiles[0].in_target, o.profiles[0].submitted * 80 / 100);
}

TEST(World, ShedsOverloadWithoutLosingCommands) {
  WorldOptions t = small_world(5);
  t.rate = 3000;
  t.duration = 6000;
  const WorldOutcome o = play(t);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.profiles[1].shed + o.profiles[1].failed, 0u);
}

}  // namespace
}  // namespace firvalve::simulation
