#include "core/engine_directory.h"

#include <gtest/gtest.h>

#include <vector>

namespace firvalve {
namespace {

TEST(EngineDirectory, ANumberComesFromTheLastEightHexDigits) {
  EngineDirectory directory;
  EXPECT_EQ(directory.number_of("s-00c41f7a"), EngineId{0x00c41f7a});
  EXPECT_EQ(directory.number_of("another-zone-00c41f7b"), EngineId{0x00c41f7b});
}

TEST(EngineDirectory, OtherNamesAreHashedTheSameInEachGateway) {
  EngineDirectory one, other;
  other.number_of("t");  // whatever came before
  const EngineId number = one.number_of("s-1");
  EXPECT_EQ(number, other.number_of("s-1"));
  EXPECT_NE(number, one.number_of("s-2"));
  EXPECT_EQ(number, one.number_of("s-1"));
}

TEST(EngineDirectory, TwoNamesNeverShareANumber) {
  EngineDirectory directory;
  EXPECT_EQ(directory.number_of("a-00000007"), EngineId{7});
  EXPECT_EQ(directory.number_of("b-00000007"), EngineId{8});
  directory.remove(EngineId{7}, "a-00000007");
  EXPECT_EQ(directory.number_of("c-00000007"), EngineId{7});
}

TEST(EngineDirectory, ACompleteListRemovesTheOthers) {
  EngineDirectory directory;
  const EngineId stays = directory.number_of("s-00000001"), goes = directory.number_of("s-00000002");
  directory.add({{stays, "s-00000001"}, {goes, "s-00000002"}});
  std::vector<EngineId> gone;
  directory.replace_all({{stays, "s-00000001"}}, [&](EngineId engine) { gone.push_back(engine); });
  EXPECT_EQ(gone, std::vector<EngineId>{goes});
  EXPECT_EQ(directory.name_of(stays), "s-00000001");
  EXPECT_EQ(directory.name_of(goes), "");
}

}  // namespace
}  // namespace firvalve
