// Assignment of engine numbers to listed names.
#include "core/engine_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firvalve {
namespace {

TEST(EngineDirectory, NumberIsTheNamesLastEightHexDigits) {
  EngineDirectory directory;
  EXPECT_EQ(directory.number_of("s-00c41f7a"), EngineId{0x00c41f7a});
  EXPECT_EQ(directory.number_of("another-zone-00c41f7b"), EngineId{0x00c41f7b});
}

TEST(EngineDirectory, NamesWithoutHexDigitsGetTheSameHashInEachGateway) {
  EngineDirectory one, other;
  other.number_of("t");  // independent of earlier names
  const EngineId number = one.number_of("s-1");
  EXPECT_EQ(number, other.number_of("s-1"));
  EXPECT_NE(number, one.number_of("s-2"));
  EXPECT_EQ(number, one.number_of("s-1"));
}

TEST(EngineDirectory, NamesNeverShareANumber) {
  EngineDirectory directory;
  EXPECT_EQ(directory.number_of("a-00000007"), EngineId{7});
  EXPECT_EQ(directory.number_of("b-00000007"), EngineId{8});
}

// Guards against a new engine that is taken for one that has gone, whose attempts are still awaited.
TEST(EngineDirectory, NumberOfARemovedEngineGoesToNoOtherNameForLong) {
  EngineDirectory directory;
  EXPECT_EQ(directory.number_of("a-00000007"), EngineId{7});
  directory.remove(EngineId{7}, "a-00000007");
  EXPECT_EQ(directory.number_of("c-00000007"), EngineId{8});
  EXPECT_EQ(directory.number_of("a-00000007"), EngineId{7});  // listed again
  directory.remove(EngineId{7}, "a-00000007");
  for (uint32_t i = 0; i < EngineDirectory::kMaxRemoved; ++i) {
    const std::string name = std::to_string(i) + "-00000007";
    const EngineId number = directory.number_of(name);
    EXPECT_NE(number, EngineId{7}) << i;
    directory.remove(number, name);
  }
  EXPECT_EQ(directory.number_of("e-00000007"), EngineId{7});
}

TEST(EngineDirectory, CompleteListRemovesTheOtherEngines) {
  EngineDirectory directory;
  const EngineId stays = directory.number_of("s-00000001"), goes = directory.number_of("s-00000002");
  directory.add({{stays, "s-00000001"}, {goes, "s-00000002"}});
  std::vector<EngineId> removed;
  directory.replace_all({{stays, "s-00000001"}}, [&](EngineId engine) { removed.push_back(engine); });
  EXPECT_EQ(removed, std::vector<EngineId>{goes});
  EXPECT_EQ(directory.name_of(stays), "s-00000001");
  EXPECT_EQ(directory.name_of(goes), "");
}

}  // namespace
}  // namespace firvalve
