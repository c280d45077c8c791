// Bookkeeping of pending commands: ids, calls, attempts, retry chains and statement memory.
#include "core/pending_commands.h"

#include <gtest/gtest.h>

namespace firvalve {
namespace {

const CommandId kOne = command_id_of("00000000000000a1"), kTwo = command_id_of("00000000000000a2"),
                kThree = command_id_of("00000000000000a3");

TEST(PendingCommands, IdIsADuplicateUntilItsCommandIsErased) {
  PendingCommands commands;
  PendingCommand* const command = commands.add(kOne, CallId{1}, kOne, "select 1");
  ASSERT_TRUE(command);
  EXPECT_FALSE(commands.add(kOne, CallId{2}, kOne, "select 1"));
  commands.finish(*command);
  EXPECT_EQ(commands.command_count(), 0u);
  EXPECT_EQ(commands.call_count(), 0u);
  EXPECT_FALSE(commands.add(kOne, CallId{2}, kOne, "select 1"));
  commands.erase_released();
  EXPECT_TRUE(commands.add(kOne, CallId{2}, kOne, "select 1"));
}

TEST(PendingCommands, CommandIsKeptWhileAnAttemptIsInFlight) {
  PendingCommands commands;
  PendingCommand& command = *commands.add(kOne, CallId{1}, kOne, "select 1");
  const AttemptId attempt = commands.start_attempt(time_point_of(1000), command, EngineId{7});
  commands.finish(command);
  commands.erase_released();
  EXPECT_EQ(commands.command_count(), 1u);
  EXPECT_TRUE(command.is_finished());
  EXPECT_EQ(commands.end_attempt(attempt), &command);
  EXPECT_FALSE(commands.end_attempt(attempt));
  commands.release(command);
  EXPECT_EQ(commands.command_count(), 0u);
}

TEST(PendingCommands, StatementsCountAgainstTheLimitUntilReleasedAndRecordsUntilErased) {
  PendingCommands commands;
  commands.set_max_bytes(2 * PendingCommands::kRecordBytes + 10);
  PendingCommand& held = *commands.add(kTwo, CallId{2}, kTwo, "");
  EXPECT_TRUE(commands.has_capacity_for("0123456789"));
  EXPECT_FALSE(commands.has_capacity_for("0123456789a"));
  PendingCommand& command = *commands.add(kOne, CallId{1}, kOne, "select 1");
  EXPECT_FALSE(commands.has_capacity_for("abc"));
  commands.finish(command);
  EXPECT_EQ(commands.bytes(), 2 * PendingCommands::kRecordBytes);
  EXPECT_FALSE(commands.has_capacity_for(""));
  commands.erase_released();
  EXPECT_TRUE(commands.has_capacity_for("0123456789"));
  EXPECT_FALSE(commands.has_capacity_for("0123456789a"));
  commands.finish(held);
  commands.erase_released();
  EXPECT_EQ(commands.bytes(), 0u);
}

TEST(PendingCommands, JoinedCallsCountAgainstTheLimit) {
  PendingCommands commands;
  commands.set_max_bytes(PendingCommands::kRecordBytes + 2 * PendingCommands::kJoinedCallBytes);
  PendingCommand& command = *commands.add(kOne, CallId{1}, kOne, "");
  for (uint64_t call = 2; call <= 3; ++call) {
    EXPECT_TRUE(commands.has_capacity_for_call());
    commands.add_call(command, CallId{call});
  }
  EXPECT_FALSE(commands.has_capacity_for_call());
  commands.remove_call(command, CallId{1});
  EXPECT_TRUE(commands.has_capacity_for_call());
  commands.finish(command);
  EXPECT_EQ(commands.bytes(), PendingCommands::kRecordBytes);
}

TEST(PendingCommands, RetryChainLeadsToItsLatestUnfinishedCommand) {
  PendingCommands commands;
  PendingCommand& first = *commands.add(kOne, CallId{1}, kOne, "select 1");
  EXPECT_EQ(commands.find_in_chain(kOne), &first);
  PendingCommand& second = *commands.add(kTwo, CallId{2}, kOne, "select 2");
  EXPECT_EQ(commands.find_in_chain(kOne), &second);
  commands.finish(second);
  EXPECT_EQ(commands.find_in_chain(kOne), &first);
  commands.finish(first);
  EXPECT_FALSE(commands.find_in_chain(kOne));
  EXPECT_FALSE(commands.find_in_chain(kThree));
}

TEST(PendingCommands, RemovingOneOfSeveralCallsKeepsTheOthersWaiting) {
  PendingCommands commands;
  PendingCommand& command = *commands.add(kOne, CallId{1}, kOne, "select 1");
  commands.add_call(command, CallId{2});
  commands.add_call(command, CallId{3});
  commands.remove_call(command, CallId{1});
  EXPECT_FALSE(commands.find_by_call(CallId{1}));
  EXPECT_EQ(commands.find_by_call(CallId{2}), &command);
  EXPECT_EQ(command.call, CallId{3});
  commands.remove_call(command, CallId{2});
  EXPECT_EQ(command.call, CallId{3});
  EXPECT_EQ(commands.call_count(), 1u);
}

TEST(PendingCommands, AttemptsOfAllCommandsShareOneNumbering) {
  PendingCommands commands;
  PendingCommand& one = *commands.add(kOne, CallId{1}, kOne, "select 1");
  PendingCommand& two = *commands.add(kTwo, CallId{2}, kTwo, "select 2");
  EXPECT_EQ(commands.start_attempt(time_point_of(1), one, EngineId{7}), AttemptId{1});
  EXPECT_EQ(commands.start_attempt(time_point_of(1), two, EngineId{7}), AttemptId{2});
  EXPECT_EQ(commands.find_by_attempt(AttemptId{2}), &two);
  commands.end_attempt(AttemptId{1});
  EXPECT_EQ(commands.start_attempt(time_point_of(2), one, EngineId{8}), AttemptId{3});
  EXPECT_EQ(one.attempt_count, 2);
}

}  // namespace
}  // namespace firvalve
