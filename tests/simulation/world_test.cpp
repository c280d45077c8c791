#include "simulation/world.h"

#include <gtest/gtest.h>

#include <thread>

namespace firvalve::simulation {
namespace {

WorldOptions small(uint64_t seed = 1) {
  WorldOptions t;
  t.seed = seed;
  t.length = 20000;
  t.rate = 150;
  return t;
}

uint64_t ended(const WorldOutcome& o) {
  uint64_t all = 0;
  for (const ProfileOutcome& p : o.profiles) all += p.in_target + p.late + p.shed + p.failed;
  return all;
}

TEST(World, ACalmDayIsAnsweredAndBreaksNoRule) {
  const WorldOutcome o = play(small());
  EXPECT_GT(o.commands, 2000u);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.profiles[0].in_target, o.profiles[0].asked * 95 / 100);
  EXPECT_LE(ended(o), o.commands);
  EXPECT_GT(ended(o), o.commands - 60);  // the rest was under way at its end
}

TEST(World, TheSameSeedGivesTheSameHistoryOnOneThreadAndOnEight) {
  const uint64_t alone = play(small(7)).hash;
  std::vector<uint64_t> hashes(8);
  std::vector<std::thread> threads;
  for (uint64_t& h : hashes) threads.emplace_back([&h] { h = play(small(7)).hash; });
  for (std::thread& t : threads) t.join();
  for (const uint64_t h : hashes) EXPECT_EQ(h, alone);
  EXPECT_NE(play(small(8)).hash, alone);
}

TEST(World, SilentAndDyingEnginesCostServiceAndNoRule) {
  WorldOptions t = small(3);
  t.troubles.push_back({Trouble::Kind::kSilent, 3000, 5000, 0, 2});
  t.troubles.push_back({Trouble::Kind::kDies, 6000, 4000, 3, 3});
  const WorldOutcome o = play(t);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.attempts, o.commands);  // something was tried again
  EXPECT_GT(o.profiles[0].in_target, o.profiles[0].asked * 80 / 100);
}

TEST(World, AnOverloadIsShedNotLost) {
  WorldOptions t = small(5);
  t.rate = 3000;
  t.length = 6000;
  const WorldOutcome o = play(t);
  EXPECT_TRUE(o.verdict.good()) << o.verdict.text();
  EXPECT_GT(o.profiles[1].shed + o.profiles[1].failed, 0u);
}

}  // namespace
}  // namespace firvalve::simulation
