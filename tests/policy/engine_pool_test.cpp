// Checks which engines form the pool and what it costs to find them.
#include "policy/engine_pool.h"

#include "policy/helpers.h"

namespace firvalve {
namespace {

TEST(EnginePool, IsAZoneOfTwoEnginesOrElseTheLastEnginesById) {
  State state = state_with(4, {make_profile(Effect::kReplayable)});
  update_pool(state);
  EXPECT_FALSE(state.engines[1].is_in_pool);
  EXPECT_TRUE(state.engines[2].is_in_pool && state.engines[3].is_in_pool);
  put_in_zone(state, 0, "b");
  put_in_zone(state, 3, "b");
  update_pool(state);
  EXPECT_TRUE(state.engines[0].is_in_pool && state.engines[3].is_in_pool);
  EXPECT_FALSE(state.engines[2].is_in_pool);
}

// A single zone is the most expensive case: it never qualifies as the pool, so the zone of every engine is
// examined.
TEST(EnginePool, FindingThePoolZoneExaminesEachEngineOnce) {
  for (const int engines : {8, 64, 512, 2200}) {
    State state = state_with(engines, {make_profile(Effect::kReplayable)});
    update_pool(state);
    EXPECT_EQ(state.pool.engines_examined, static_cast<uint64_t>(engines));
  }
}

}  // namespace
}  // namespace firvalve
