// Tests of RegisterWatcher: paging, switching replicas and timeouts.
#include "consensus/register_watcher.h"

#include <gtest/gtest.h>

namespace firvalve::consensus {
namespace {

constexpr BootTime kStart = time_point_of<BootClock>(1000);

Message changes_for(const Envelope& watch, Incarnation incarnation, WatchPosition since, bool has_more) {
  Message changes;
  changes.type = MessageType::kChanges;
  changes.request_id = watch.message.request_id;
  changes.incarnation = incarnation;
  changes.since = since;
  changes.has_more = has_more;
  AcceptorSlot slot;
  slot.accepted.version = since;
  changes.entries.emplace_back("key", slot);
  return changes;
}

Envelope only_message_of(RegisterWatcher& watcher) {
  const std::vector<Envelope> messages = watcher.take_messages();
  EXPECT_EQ(messages.size(), 1u);
  return messages.empty() ? Envelope{} : messages.front();
}

TEST(RegisterWatcherTest, ContinuesAfterTheLastResponse) {
  RegisterWatcher watcher(3, 1);
  EXPECT_EQ(watcher.next_deadline(), kImmediately);
  watcher.on_tick(kStart);
  const Envelope first = only_message_of(watcher);
  EXPECT_EQ(first.to, 1u);
  EXPECT_EQ(first.message.since, 0u);
  watcher.handle(kStart, 1, changes_for(first, 7, 5, true));
  EXPECT_FALSE(watcher.is_synced());
  const Envelope second = only_message_of(watcher);
  EXPECT_EQ(second.message.incarnation, 7u);
  EXPECT_EQ(second.message.since, 5u);
  watcher.handle(kStart, 1, changes_for(second, 7, 6, false));
  EXPECT_TRUE(watcher.is_synced());
  const auto updates = watcher.take_updates();
  ASSERT_EQ(updates.size(), 2u);
  EXPECT_EQ(updates[1].second.version, 6u);
}

TEST(RegisterWatcherTest, SwitchesToTheNextReplicaAfterATimeout) {
  RegisterWatcher watcher(3, 2);
  watcher.on_tick(kStart);
  const Envelope first = only_message_of(watcher);
  watcher.on_tick(kStart + 299ms);
  EXPECT_TRUE(watcher.take_messages().empty());
  watcher.on_tick(kStart + 300ms);
  const Envelope second = only_message_of(watcher);
  EXPECT_EQ(second.to, 0u);
  EXPECT_EQ(second.message.incarnation, 0u);
  watcher.handle(kStart + 300ms, 2,
                 changes_for(first, 7, 5, false));  // late response of the previous replica
  EXPECT_TRUE(watcher.take_updates().empty());
}

TEST(RegisterWatcherTest, AllowsTheWatchTimeoutAfterTheFirstResponse) {
  RegisterWatcher watcher(3, 0);
  watcher.on_tick(kStart);
  watcher.handle(kStart, 0, changes_for(only_message_of(watcher), 7, 5, false));
  watcher.take_messages();
  EXPECT_EQ(watcher.next_deadline(), kStart + 1600ms);
  watcher.on_tick(kStart + 1599ms);
  EXPECT_TRUE(watcher.take_messages().empty());
}

}  // namespace
}  // namespace firvalve::consensus
