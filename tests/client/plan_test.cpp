#include "client/plan.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace firvalve::client {
namespace {

using Kind = PlanAction::Kind;

struct PlanTest : testing::Test {
  PlanOptions options = [] {
    PlanOptions t;
    t.seed = 7;
    t.retry_share = 1;
    t.marks = false;
    return t;
  }();
  std::unique_ptr<Plan> plan;
  Ms now = 1000;
  PlanActions all;

  void open(int gateways = 1) {
    options.gateways = gateways;
    plan = std::make_unique<Plan>(options);
  }
  PlanActions step(Ms at) {
    now = at;
    PlanActions out;
    plan->decide(now, out);
    all.insert(all.end(), out.begin(), out.end());
    return out;
  }
  static const PlanAction* find(const PlanActions& actions, Kind kind) {
    const auto at =
        std::find_if(actions.begin(), actions.end(), [&](const auto& a) { return a.kind == kind; });
    return at == actions.end() ? nullptr : &*at;
  }
  static int count(const PlanActions& actions, Kind kind) {
    return static_cast<int>(
        std::count_if(actions.begin(), actions.end(), [&](const auto& a) { return a.kind == kind; }));
  }
  void ask(CallNo no, bool replayable = true, Ms timeout = 2000, const char* profile = "lookup") {
    plan->call(now, no, profile, replayable, now + timeout);
  }
  // A gateway with a connection that is up, and a call out on it.
  PlanAction out_on(CallNo no, bool replayable = true, Ms timeout = 2000) {
    ask(no, replayable, timeout);
    PlanActions a = step(now);
    if (const PlanAction* c = find(a, Kind::kConnect)) {
      plan->link_up(now, c->link);
      a = step(now);
    }
    const PlanAction* const s = find(a, Kind::kSend);
    EXPECT_TRUE(s);
    return s ? *s : PlanAction{};
  }
  CallNo reply(const PlanAction& sent, PlanReply::Kind kind, Ms holdoff = 0) {
    PlanReply r;
    r.kind = kind;
    r.id = sent.id;
    r.holdoff = holdoff;
    return plan->reply(now, sent.link, r);
  }
  const PlanAction* end_of(CallNo no) {
    const PlanAction* found = nullptr;
    for (const PlanAction& a : all)
      if (a.kind == Kind::kEnd && a.call == no) {
        EXPECT_FALSE(found) << "ended twice";
        found = &a;
      }
    return found;
  }
};

TEST_F(PlanTest, ACallConnectsIsSentOnceUpAndAnsweredOnce) {
  open();
  ask(1);
  const PlanActions a = step(1000);
  ASSERT_TRUE(find(a, Kind::kConnect));
  EXPECT_FALSE(find(a, Kind::kSend));
  plan->link_up(1300, find(a, Kind::kConnect)->link);
  const PlanActions b = step(1300);
  ASSERT_TRUE(find(b, Kind::kSend));
  EXPECT_EQ(find(b, Kind::kSend)->timeout, 1700);  // what is left
  now = 1400;
  EXPECT_EQ(reply(*find(b, Kind::kSend), PlanReply::Kind::kAnswered), 1u);
  EXPECT_EQ(reply(*find(b, Kind::kSend), PlanReply::Kind::kAnswered), 0u);  // a second answer
  step(1400);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->end, End::kAnswered);
  EXPECT_EQ(plan->stats().late_answers, 1u);
}

TEST_F(PlanTest, AtItsDeadlineACallIsRevokedOnceAndItsLateAnswerIsDropped) {
  open();
  const PlanAction sent = out_on(1);
  const PlanActions a = step(3000);
  EXPECT_EQ(count(a, Kind::kRevoke), 1);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->end, End::kExpired);
  EXPECT_TRUE(end_of(1)->may_have_run);
  EXPECT_EQ(reply(sent, PlanReply::Kind::kAnswered), 0u);
  step(3100);
  EXPECT_EQ(count(all, Kind::kRevoke), 1);
}

TEST_F(PlanTest, ACancelledLoadThatIsOutMayHaveRunOneThatIsNotDidNot) {
  open();
  out_on(1, false);
  plan->cancel(now, 1);
  ask(2, false);
  plan->cancel(now, 2);
  step(1001);
  EXPECT_EQ(end_of(1)->end, End::kUnknown);
  EXPECT_TRUE(end_of(1)->cancelled);
  EXPECT_EQ(end_of(2)->end, End::kExpired);
  EXPECT_FALSE(end_of(2)->may_have_run);
  EXPECT_EQ(count(all, Kind::kRevoke), 1);
}

TEST_F(PlanTest, ALoadWhoseReplyIsLostIsNeverSentAgain) {
  for (const Loss::How how : {Loss::How::kClosed, Loss::How::kReset, Loss::How::kSpoilt}) {
    all.clear();
    now = 1000;
    open();
    const PlanAction sent = out_on(1, false);
    plan->link_lost(1010, sent.link, how);
    step(1010);
    step(9000);
    ASSERT_TRUE(end_of(1));
    EXPECT_EQ(end_of(1)->end, End::kUnknown);
    EXPECT_TRUE(end_of(1)->may_have_run);
    EXPECT_EQ(count(all, Kind::kSend), 1);
  }
}

TEST_F(PlanTest, ALoadThatWasHalfWrittenGoesAgain) {
  open();
  const PlanAction sent = out_on(1, false);
  plan->link_lost(1010, sent.link, Loss::How::kReset, {sent.id});
  const PlanActions a = step(1010);
  ASSERT_TRUE(find(a, Kind::kConnect));
  plan->link_up(1020, find(a, Kind::kConnect)->link);
  EXPECT_TRUE(find(step(1020), Kind::kSend));
}

TEST_F(PlanTest, ARefusedLoadGoesAgainBehindItsHoldoffEvenAfterARestart) {
  open();
  const PlanAction sent = out_on(1, false, 5000);
  reply(sent, PlanReply::Kind::kRefused, 1000);
  EXPECT_FALSE(find(step(1001), Kind::kSend));
  plan->link_lost(1100, sent.link, Loss::How::kReset);
  EXPECT_FALSE(find(step(1100), Kind::kSend));
  EXPECT_FALSE(find(step(1999), Kind::kSend));
  // Behind it, at a moment of its own.
  PlanActions a;
  for (Ms at = 2000; at <= 2600 && !find(a, Kind::kConnect); at += 10) a = step(at);
  ASSERT_TRUE(find(a, Kind::kConnect));
  plan->link_up(now, find(a, Kind::kConnect)->link);
  ASSERT_TRUE(find(step(now), Kind::kSend));
}

TEST_F(PlanTest, WhatCannotWaitForTheHoldoffHearsSoAtOnce) {
  open();
  const PlanAction sent = out_on(1, true, 900);
  reply(sent, PlanReply::Kind::kRefused, 60000);
  step(1001);
  ASSERT_TRUE(end_of(1));
  EXPECT_EQ(end_of(1)->end, End::kRefused);
  EXPECT_NEAR(end_of(1)->come_back, 30000, 5);  // cut to holdoff_most
  ask(2, true, 900);
  step(1001);
  ASSERT_TRUE(end_of(2));
  EXPECT_EQ(end_of(2)->end, End::kRefused);
  EXPECT_EQ(end_of(2)->sends, 0);
  ask(3, true, 900, "report");  // another profile is not meant
  EXPECT_TRUE(find(step(1002), Kind::kSend));
}

TEST_F(PlanTest, ARefusalAtOneGatewayLeavesTheOther) {
  open(2);
  const PlanAction sent = out_on(1, true, 900);
  reply(sent, PlanReply::Kind::kRefused, 60000);
  step(1001);
  PlanActions a = step(1200);
  EXPECT_FALSE(end_of(1));
  for (const PlanAction& c : PlanActions(all))
    if (c.kind == Kind::kConnect) plan->link_up(1200, c.link);
  step(1200);
  EXPECT_EQ(plan->stats().sends, 2u);
  EXPECT_NE(std::find_if(all.rbegin(), all.rend(), [](auto& x) { return x.kind == Kind::kSend; })->gateway,
            sent.gateway);
}

TEST_F(PlanTest, OneResetReconnectsAtOnceAGatewayThatWentIsTriedLater) {
  open();
  const PlanAction sent = out_on(1);
  plan->link_lost(1010, sent.link, Loss::How::kReset);
  EXPECT_TRUE(find(step(1010), Kind::kConnect));

  all.clear();
  now = 1000;
  open();
  const PlanAction again = out_on(1, true, 20000);
  plan->link_lost(1010, again.link, Loss::How::kClosed);  // with a call open: it is ending
  EXPECT_FALSE(find(step(1010), Kind::kConnect));
  const Ms due = plan->next_due();
  EXPECT_GT(due, 1010);
  EXPECT_LE(due, 5010);
  PlanActions a;
  for (Ms at = 1010; at < 5100 && !find(a, Kind::kConnect); at += 10) a = step(at);
  ASSERT_TRUE(find(a, Kind::kConnect));
  // Tried singly: it is asked for a heartbeat before a call goes there.
  plan->link_up(now, find(a, Kind::kConnect)->link);
  const PlanActions b = step(now);
  ASSERT_TRUE(find(b, Kind::kHeartbeat));
  EXPECT_FALSE(find(b, Kind::kSend));
  PlanReply healthy;
  healthy.kind = PlanReply::Kind::kHeartbeat;
  healthy.id = find(b, Kind::kHeartbeat)->id;
  healthy.healthy = true;
  plan->reply(now, find(b, Kind::kHeartbeat)->link, healthy);
  EXPECT_TRUE(find(step(now), Kind::kSend));
}

TEST_F(PlanTest, ACloseThatCrossesACallSendsItOnceMoreUnlessItIsALoad) {
  options.retry_share = 0;  // it counts against no budget
  for (const bool replayable : {true, false}) {
    all.clear();
    now = 1000;
    open();
    const PlanAction first = out_on(1);
    reply(first, PlanReply::Kind::kAnswered);
    now = 4000;  // it rested
    const PlanAction sent = out_on(2, replayable, 20000);
    EXPECT_EQ(sent.link, first.link);
    plan->link_lost(4030, sent.link, Loss::How::kReset);
    const PlanActions a = step(4030);
    if (!replayable) {
      EXPECT_EQ(end_of(2)->end, End::kUnknown);  // the same is seen of a gateway that read it and died
      continue;
    }
    ASSERT_TRUE(find(a, Kind::kConnect));
    plan->link_up(4031, find(a, Kind::kConnect)->link);
    const PlanActions b = step(4031);
    ASSERT_TRUE(find(b, Kind::kSend));
    plan->link_lost(4050, find(b, Kind::kSend)->link, Loss::How::kReset);
    step(4050);
    EXPECT_EQ(end_of(2)->end, End::kUnknown);  // once, and the budget has nothing
  }
}

TEST_F(PlanTest, ASilentGatewayIsAskedForAHeartbeatThenLeftAndItsReplayableCallsMove) {
  open(2);
  const PlanAction load = out_on(1, false, 10000);
  PlanAction lookup;
  for (CallNo no = 2; no < 20; ++no) {  // one that shares its gateway
    lookup = out_on(no, true, 10000);
    if (lookup.gateway == load.gateway) break;
  }
  ASSERT_EQ(lookup.gateway, load.gateway);
  const PlanActions a = step(2000);
  ASSERT_TRUE(find(a, Kind::kHeartbeat));
  step(3000);
  EXPECT_EQ(count(all, Kind::kRevoke), static_cast<int>(plan->stats().revoked));
  EXPECT_GE(plan->stats().revoked, 1u);
  EXPECT_EQ(plan->stats().outages, 2u);  // neither said a word
  EXPECT_FALSE(end_of(1));               // an answer may still come
  now = 3100;
  EXPECT_EQ(reply(load, PlanReply::Kind::kAnswered), 1u);
}

TEST_F(PlanTest, NumbersNeverComeAgainOnAConnection) {
  options.ids_a_link = 3;
  open();
  std::set<std::pair<LinkNo, int64_t>> seen;
  for (CallNo no = 1; no <= 10; ++no) {
    const PlanAction sent = out_on(no);
    EXPECT_LE(sent.id, 3);
    EXPECT_TRUE(seen.insert({sent.link, sent.id}).second);
    reply(sent, PlanReply::Kind::kAnswered);
    step(now + 1);
  }
}

TEST_F(PlanTest, AtMost32CallsGoOnAConnectionAndTheRestWaits) {
  options.links_most = 1;
  open();
  for (CallNo no = 1; no <= 40; ++no) ask(no);
  const PlanActions a = step(1000);
  EXPECT_EQ(count(a, Kind::kConnect), 1);
  plan->link_up(1001, find(a, Kind::kConnect)->link);
  const PlanActions b = step(1001);
  EXPECT_EQ(count(b, Kind::kSend), 32);
  now = 1002;
  reply(*find(b, Kind::kSend), PlanReply::Kind::kAnswered);
  EXPECT_EQ(count(step(1002), Kind::kSend), 1);
}

TEST_F(PlanTest, AConnectionThatRestsIsClosedBeforeTheGatewayWould) {
  open();
  const PlanAction sent = out_on(1);
  reply(sent, PlanReply::Kind::kAnswered);
  step(1000);
  EXPECT_EQ(plan->next_due(), 4500);
  EXPECT_TRUE(find(step(4500), Kind::kClose));
  EXPECT_EQ(plan->next_due(), 0);
}

TEST_F(PlanTest, MarksGoOnlyToAGatewayThatReadsThem) {
  options.marks = true;
  for (const bool reads : {true, false}) {
    all.clear();
    now = 1000;
    open();
    const PlanAction sent = out_on(1);
    const PlanAction* const beat = find(all, Kind::kHeartbeat);
    ASSERT_TRUE(beat);
    PlanReply r;
    r.kind = PlanReply::Kind::kHeartbeat;
    r.id = beat->id;
    r.healthy = true;
    r.marks = reads;
    plan->reply(now, beat->link, r);
    EXPECT_TRUE(sent.first.empty());
    reply(sent, PlanReply::Kind::kRefused);
    PlanActions a;
    for (Ms at = 1000; at < 1100 && !find(a, Kind::kSend); at += 5) a = step(at);
    ASSERT_TRUE(find(a, Kind::kSend));
    EXPECT_EQ(find(a, Kind::kSend)->first, reads ? sent.req : "");
    EXPECT_NE(find(a, Kind::kSend)->req, sent.req);
  }
}

TEST_F(PlanTest, AllGatewaysGoneThenOneBack) {
  open(2);
  ask(1, true, 60000);
  PlanActions a = step(1000);
  for (int tries = 0; tries < 6; ++tries) {
    for (const PlanAction& c : PlanActions(a))
      if (c.kind == Kind::kConnect) plan->link_lost(now, c.link, Loss::How::kRefused);
    step(now);
    a = step(plan->next_due());
  }
  EXPECT_FALSE(end_of(1));
  for (int turns = 0; turns < 20 && !find(a, Kind::kConnect); ++turns) a = step(plan->next_due());
  ASSERT_TRUE(find(a, Kind::kConnect));
  plan->link_up(now, find(a, Kind::kConnect)->link);
  a = step(now);
  PlanReply r;
  r.kind = PlanReply::Kind::kHeartbeat;
  r.id = find(a, Kind::kHeartbeat)->id;
  r.healthy = true;
  plan->reply(now, find(a, Kind::kHeartbeat)->link, r);
  EXPECT_TRUE(find(step(now), Kind::kSend));
}

TEST_F(PlanTest, AnAnswerUnderANumberNeverGivenEndsItsConnection) {
  open();
  const PlanAction sent = out_on(1, false);
  PlanReply r;
  r.id = 999;
  EXPECT_EQ(plan->reply(now, sent.link, r), 0u);
  EXPECT_TRUE(find(step(now), Kind::kClose));
  EXPECT_EQ(end_of(1)->end, End::kUnknown);
}

TEST_F(PlanTest, ACallForAGatewayThatIsLeftKeepsNoneForAnotherWaiting) {
  open(2);
  plan->call(now, 1, "page", true, now + 20000, 0);
  PlanActions a = step(now);
  ASSERT_TRUE(find(a, Kind::kConnect));
  EXPECT_EQ(find(a, Kind::kConnect)->gateway, 0);
  plan->link_lost(now, find(a, Kind::kConnect)->link, Loss::How::kRefused);
  step(now);
  plan->call(now, 2, "page", true, now + 20000, 1);
  a = step(now);
  ASSERT_TRUE(find(a, Kind::kConnect));
  EXPECT_EQ(find(a, Kind::kConnect)->gateway, 1);
  plan->link_up(now, find(a, Kind::kConnect)->link);
  a = step(now);
  ASSERT_TRUE(find(a, Kind::kSend));
  EXPECT_EQ(find(a, Kind::kSend)->call, 2u);
}

TEST_F(PlanTest, MostRefusedStopsCallsHere) {
  options.retry_share = 0;
  open();
  for (CallNo no = 1; no <= 200; ++no) {
    ask(no);
    PlanActions a = step(now);
    if (const PlanAction* c = find(a, Kind::kConnect)) {
      plan->link_up(now, c->link);
      a = step(now);
    }
    if (const PlanAction* s = find(a, Kind::kSend)) reply(*s, PlanReply::Kind::kRefused);
    step(now += 10);
  }
  EXPECT_GT(plan->stats().stopped_here, 120u);
  EXPECT_LT(plan->stats().sends, 80u);
  EXPECT_EQ(plan->stats().refused, 200u);
}

}  // namespace
}  // namespace firvalve::client
