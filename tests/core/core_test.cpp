#include "core/core.h"

#include <gtest/gtest.h>

namespace firvalve {
namespace {

struct Heard : ResponseSink, EngineTransport {
  std::vector<std::string> finals;
  std::vector<AttemptRequest> started;
  std::vector<std::pair<uint64_t, Outcome>> withdrawn;
  std::map<uint32_t, std::string> addresses;
  void answer(CallRef call, std::string_view rows) override {
    finals.push_back("answer " + std::to_string(call) + " " + std::string(rows));
  }
  void shed(CallRef call, Ms) override { finals.push_back("shed " + std::to_string(call)); }
  void fail(CallRef call, std::string_view) override { finals.push_back("fail " + std::to_string(call)); }
  void answer_paged(CallRef call, ResultHandle no) override {
    finals.push_back("paged " + std::to_string(call) + " " + std::to_string(no));
  }
  void start(Ms, const AttemptRequest& order) override { started.push_back(order); }
  void withdraw(Ms, uint64_t send, Outcome as) override { withdrawn.push_back({send, as}); }
  void rank(Ms, uint64_t, int) override {}
  void list(Ms, uint32_t engine, std::string_view address, EngineState) override {
    addresses[engine] = std::string(address);
  }
};

struct CoreTest : testing::Test {
  const Settings settings{{"profile.0.name", std::string("quick")},
                          {"profile.0.effect", std::string("replayable")},
                          {"sends at most", 3.0},
                          {"may cancel", 1.0},
                          {"cores.std", 8.0},
                          {"tick", 5.0},
                          {"memory.std", 1000.0},
                          {"profile.0.client timeout", 4000.0}};
  Heard heard;
  Metrics counters;
  Core core{settings, 1, heard, heard, counters, [](const std::string&, const std::string&) {}};

  void list(const std::string& name, EngineState life = EngineState::kReady) {
    NamedEngineInfo l{name, "127.0.0.1:1", {}};
    l.listing.machine_type = "std";
    l.listing.state = life;
    core.roster(1000, false, {l});
  }
  AdmissionResult take(CallRef call, const char* id = "9b1f03aa5c7e2d41", const char* profile = "quick") {
    CommandRequest asked;
    asked.command = id;
    asked.profile = profile;
    asked.statement = "select 1";
    asked.timeout = 4000;
    asked.estimate = 100;
    return core.admit(1000, call, std::move(asked));
  }
};

TEST_F(CoreTest, ACommandGoesOutAndIsAnsweredOnce) {
  list("s-00c41f7a");
  EXPECT_EQ(take(1), AdmissionResult::kTaken);
  core.turn(1000);
  ASSERT_EQ(heard.started.size(), 1u);
  EXPECT_EQ(heard.started[0].engine, 0x00c41f7au);
  EXPECT_EQ(heard.started[0].statement, "select 1");
  EXPECT_EQ(heard.started[0].until, 5000);
  EXPECT_TRUE(heard.started[0].may_cancel);
  core.ended(1010, 1, Outcome::kOk, "a\n");
  core.ended(1011, 1, Outcome::kOk, "late\n");
  core.turn(1020);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"answer 1 a\n"});
  EXPECT_EQ(core.in_hand(), 0u);
}

TEST_F(CoreTest, DecisionsComeOnceATick) {
  list("s-1");
  core.turn(1000);
  take(1);
  core.turn(1002);
  EXPECT_TRUE(heard.started.empty());
  EXPECT_EQ(core.next_due(), 1005);
  core.turn(1005);
  EXPECT_EQ(heard.started.size(), 1u);
}

TEST_F(CoreTest, ASendEndsWithItsClientsPatience) {
  list("s-1");
  take(1);
  core.turn(1000);
  core.turn(5000);
  ASSERT_EQ(heard.withdrawn.size(), 1u);
  EXPECT_EQ(heard.withdrawn[0].second, Outcome::kTimedOut);
  core.ended(5000, 1, Outcome::kTimedOut);
  core.turn(5005);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"fail 1"});
}

TEST_F(CoreTest, AClientThatLeftGetsNothingAndItsSendIsCalledOff) {
  list("s-1");
  take(1);
  core.turn(1000);
  core.client_gone(1010, 1);
  core.turn(1010);
  ASSERT_EQ(heard.withdrawn.size(), 1u);
  EXPECT_EQ(heard.withdrawn[0].second, Outcome::kCancelled);
  core.ended(1020, 1, Outcome::kOk, "a\n");
  core.turn(1020);
  EXPECT_TRUE(heard.finals.empty());
  EXPECT_EQ(core.in_hand(), 0u);
}

// Each turn of a command's course is told, with the reason where it is one of ours.
TEST_F(CoreTest, TheCourseOfACommandIsToldWithItsReasons) {
  std::vector<std::string> told;
  core.observe([&](Ms, const CommandEvent& event) {
    told.push_back(std::string(name_of(event.kind)) + "/" + std::string(event.engine) + "/" +
                   std::string(name_of(event.reason)));
  });
  list("s-1");
  take(1);
  core.turn(1000);
  core.turn(5000);
  core.ended(5000, 1, Outcome::kTimedOut);
  core.turn(5005);
  EXPECT_EQ(told, (std::vector<std::string>{"admitted//none", "attempt started/s-1/none",
                                            "attempt cancelled/s-1/deadline exceeded", "attempt ended/s-1/none",
                                            "failed/s-1/deadline exceeded"}));
  EXPECT_EQ(counters.counts["commands ended unserved: deadline exceeded"], 1u);
}

// A half-close: for a moment it is as any other, then nothing follows and it is told so.
TEST_F(CoreTest, AHalfClosedClientsCommandIsSentAtOnceOrNeverAndAnswered) {
  take(1);
  core.half_closed(1000, 1);
  core.turn(1005);
  EXPECT_TRUE(heard.finals.empty());  // no engine yet; its client is not known to have gone
  core.turn(1060);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"shed 1"});
  list("s-1");
  core.turn(1100);
  EXPECT_TRUE(heard.started.empty());
  take(2, "000000000000000b");
  core.half_closed(1110, 2);
  core.turn(1110);
  ASSERT_EQ(heard.started.size(), 1u);
  EXPECT_TRUE(core.may_begin(1120, 1));
  EXPECT_FALSE(core.may_begin(1170, 1));  // its connection came up too late
  core.ended(1200, 1, Outcome::kFailed);
  core.turn(1200);
  EXPECT_EQ(heard.started.size(), 1u);
  EXPECT_EQ(heard.finals.back(), "shed 2");  // replayable: trying again is harmless
}

TEST_F(CoreTest, AStartNotYetWrittenIsLookedAtAgain) {
  list("s-1");
  take(1);
  core.turn(1000);
  EXPECT_TRUE(core.may_begin(1010, 1));
  EXPECT_FALSE(core.may_begin(5000, 1));  // its client waits no longer
  list("s-1", EngineState::kDraining);
  EXPECT_FALSE(core.may_begin(1020, 1));
  list("s-1");
  EXPECT_TRUE(core.may_begin(1030, 1));
  core.client_gone(1040, 1);
  EXPECT_FALSE(core.may_begin(1040, 1));
  EXPECT_FALSE(core.may_begin(1040, 7));  // no send of ours
}

// Other customers' settings tell less: then any figure may be a client's.
TEST(CoreSettings, WithoutMachinesOrTimesOrMemoryCommandsAreTaken) {
  Heard heard;
  Metrics counters;
  Core core({{"profile.0.name", std::string("quick")}, {"profile.0.effect", std::string("replayable")}}, 1,
            heard, heard, counters, [](const std::string&, const std::string&) {});
  CommandRequest asked;
  asked.command = "9b1f03aa5c7e2d41";
  asked.profile = "quick";
  asked.timeout = 4000;
  asked.estimate = 100;
  asked.memory_mb = 64;
  EXPECT_EQ(core.admit(1000, 1, std::move(asked)), AdmissionResult::kTaken);
}

TEST_F(CoreTest, WhatCannotBeTakenInIsTold) {
  EXPECT_EQ(take(1, "9b1f03aa5c7e2d41", "odd"), AdmissionResult::kUnknownProfile);
  EXPECT_EQ(take(2), AdmissionResult::kTaken);
  EXPECT_EQ(take(3), AdmissionResult::kNotNew);
  EXPECT_EQ(core.call_of("9b1f03aa5c7e2d41"), 2u);
}

TEST_F(CoreTest, FiguresThatNoClientCanHaveAreNotTakenIn) {
  const auto figures = [&](Ms timeout, Ms estimate, double memory_mb) {
    return core.admit(1000, 1, {"9b1f03aa5c7e2d41", "quick", "select 1", -1, timeout, estimate, memory_mb});
  };
  EXPECT_EQ(figures(1e23, 100, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(figures(4000, 1e9, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(figures(4000, 100, 1e12), AdmissionResult::kOutOfRange);
  EXPECT_EQ(core.in_hand(), 0u);
  EXPECT_EQ(figures(4000, 100, 10), AdmissionResult::kTaken);
}

TEST_F(CoreTest, AnIdIsNewAgainOnlyOnceItsEndIsDecidedOn) {
  list("s-00000001");
  core.turn(1000);
  take(1);
  core.client_gone(1000, 1);
  EXPECT_EQ(take(2), AdmissionResult::kNotNew);
  core.turn(1005);
  EXPECT_EQ(take(3), AdmissionResult::kTaken);
  core.client_gone(1005, 3);
  core.turn(1010);
  EXPECT_TRUE(heard.started.empty());
  EXPECT_EQ(core.in_hand(), 0u);
}

TEST_F(CoreTest, StatementsInHandStayWithinTheirBytes) {
  core.limit(10);
  EXPECT_EQ(take(1), AdmissionResult::kTaken);
  EXPECT_EQ(take(2, "0000000000000002"), AdmissionResult::kNoRoom);
  core.client_gone(1000, 1);
  EXPECT_EQ(take(3, "0000000000000003"), AdmissionResult::kTaken);
}

TEST_F(CoreTest, AFullListEndsWhatItOmits) {
  list("s-00000001");
  core.roster(1000, true, {{"s-00000002", "127.0.0.1:2", {}}});
  EXPECT_EQ(heard.addresses[1], "");
  EXPECT_EQ(heard.addresses[2], "127.0.0.1:2");
}

// ---- Marked repeats -----------------------------------------------------------------------------

struct CoreMarks : CoreTest {
  AdmissionResult repeat(CallRef call, const char* id, const char* first,
                         const char* statement = "select 1") {
    CommandRequest asked;
    asked.command = id;
    asked.profile = "quick";
    asked.first = first;
    asked.statement = statement;
    asked.timeout = 4000;
    asked.estimate = 100;
    return core.admit(1000, call, std::move(asked));
  }
  static constexpr const char* kFirst = "00000000000000a1";
  static constexpr const char* kSecond = "00000000000000a2";
  static constexpr const char* kThird = "00000000000000a3";
};

TEST_F(CoreMarks, ARepeatOfACommandInHandJoinsItOneRunOneAnswerEach) {
  list("s-1");
  take(1, kFirst);
  core.turn(1000);
  EXPECT_EQ(repeat(2, kSecond, kFirst), AdmissionResult::kTaken);
  core.turn(1010);
  ASSERT_EQ(heard.started.size(), 1u);
  EXPECT_EQ(core.unanswered(), 2u);
  core.ended(1020, heard.started[0].send, Outcome::kOk, "a\n");
  EXPECT_EQ(heard.finals, (std::vector<std::string>{"answer 1 a\n", "answer 2 a\n"}));
  EXPECT_EQ(core.unanswered(), 0u);
}

TEST_F(CoreMarks, TheChainHoldsOverARepeatThatRunsAnew) {
  list("s-1");
  EXPECT_EQ(repeat(1, kSecond, kFirst), AdmissionResult::kTaken);  // the first is not known here
  core.turn(1000);
  EXPECT_EQ(repeat(2, kThird, kFirst), AdmissionResult::kTaken);
  core.turn(1010);
  EXPECT_EQ(heard.started.size(), 1u);
}

TEST_F(CoreMarks, AnotherStatementUnderTheMarkIsAnotherCommand) {
  list("s-1");
  take(1, kFirst);
  core.turn(1000);
  EXPECT_EQ(repeat(2, kSecond, kFirst, "select 2"), AdmissionResult::kTaken);
  core.turn(1010);
  EXPECT_EQ(heard.started.size(), 2u);
}

TEST_F(CoreMarks, ARepeatThatJoinsKeepsAHalfClosedCommandGoing) {
  list("s-1", EngineState::kDraining);
  EXPECT_EQ(take(1, kFirst), AdmissionResult::kTaken);
  core.half_closed(1000, 1);
  EXPECT_EQ(repeat(2, kSecond, kFirst), AdmissionResult::kTaken);
  core.turn(1100);
  EXPECT_TRUE(heard.finals.empty());
  core.client_gone(1110, 2);  // the one that was sure to be there
  core.turn(1200);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"shed 1"});
}

TEST_F(CoreMarks, TheCommandEndsWithTheLastClientThatWaitsForIt) {
  list("s-1");
  take(1, kFirst);
  core.turn(1000);
  repeat(2, kSecond, kFirst);
  core.client_gone(1010, 1);
  core.turn(1010);
  EXPECT_TRUE(heard.withdrawn.empty());
  core.client_gone(1020, 2);
  core.turn(1030);
  ASSERT_EQ(heard.withdrawn.size(), 1u);
  core.ended(1040, heard.started[0].send, Outcome::kCancelled);
  core.turn(1050);
  EXPECT_TRUE(heard.finals.empty());
  EXPECT_EQ(core.in_hand(), 0u);
}

TEST_F(CoreMarks, ARepeatAfterItsFirstWasGivenUpRunsAnew) {
  list("s-1");
  take(1, kFirst);
  core.turn(1000);
  core.client_gone(1010, 1);
  EXPECT_EQ(repeat(2, kSecond, kFirst), AdmissionResult::kTaken);
  core.turn(1020);
  EXPECT_EQ(heard.started.size(), 2u);
}

// ---- Paged commands -----------------------------------------------------------------------------

struct FakeShelf : ResultStore {
  bool room = true;
  Put put = Put::kTaken;
  ResultHandle last = 0, known = 0;
  std::vector<std::string> said;
  ResultHandle reserve(Ms, const Reservation&) override { return room ? ++last : 0; }
  ResultHandle find(Ms, const Reservation&) override { return known; }
  Put page(Ms, ResultHandle no, std::string_view rows) override {
    said.push_back("page " + std::to_string(no) + " " + std::string(rows));
    return put;
  }
  void clear(Ms, ResultHandle no) override { said.push_back("clear " + std::to_string(no)); }
  void drop(Ms, ResultHandle no) override { said.push_back("drop " + std::to_string(no)); }
  void whole(Ms, ResultHandle no) override { said.push_back("whole " + std::to_string(no)); }
  PagedAnswer answer(ResultHandle) const override { return {}; }
  void read(Ms, std::string_view, std::string_view, uint64_t, Rows) override {}
  bool release(Ms, std::string_view, std::string_view) override { return false; }
};

struct CorePaged : CoreTest {
  FakeShelf shelf;
  CorePaged() { core.shelve(shelf); }
  AdmissionResult ask(CallRef call, const char* id, const char* first = "") {
    CommandRequest asked;
    asked.command = id;
    asked.profile = "quick";
    asked.first = first;
    asked.statement = "select 1";
    asked.timeout = 4000;
    asked.estimate = 100;
    asked.paged = true;
    return core.admit(1000, call, std::move(asked));
  }
};

TEST_F(CorePaged, PagesGoToTheShelfAndTheAnswerNamesThem) {
  list("s-1");
  ask(1, "00000000000000a1");
  core.turn(1000);
  ASSERT_EQ(heard.started.size(), 1u);
  EXPECT_TRUE(heard.started[0].paged);
  core.page(1010, 1, "a\n");
  core.page(1011, 1, "b\n");
  core.ended(1012, 1, Outcome::kOk);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"paged 1 1"});
  EXPECT_EQ(shelf.said, (std::vector<std::string>{"page 1 a\n", "page 1 b\n", "whole 1"}));
}

TEST_F(CorePaged, WithoutAPlaceItWaitsAndIsNotSent) {
  list("s-1");
  shelf.room = false;
  ask(1, "00000000000000a1");
  core.turn(1000);
  core.turn(1100);
  EXPECT_TRUE(heard.started.empty());
  take(2);  // a plain one needs none
  core.turn(1200);
  EXPECT_EQ(heard.started.size(), 1u);
  shelf.room = true;
  core.room(1300);
  core.turn(1300);
  EXPECT_EQ(heard.started.size(), 2u);
}

TEST_F(CorePaged, WaitingForAPlaceItStillEndsInItsTime) {
  list("s-1");
  shelf.room = false;
  ask(1, "00000000000000a1");
  for (Ms now = 1000; now < 5100; now += 20) core.turn(now);
  ASSERT_EQ(heard.finals.size(), 1u);
  EXPECT_NE(heard.finals[0], "paged 1 0");
  core.room(5200);
  EXPECT_EQ(shelf.last, 0u);
}

TEST_F(CorePaged, AnEngineThatDiesInTheMiddleIsFollowedByAnother) {
  list("s-1");
  list("s-2");
  ask(1, "00000000000000a1");
  core.turn(1000);
  core.page(1010, 1, "a\n");
  core.ended(1020, 1, Outcome::kReset);
  EXPECT_EQ(shelf.said.back(), "clear 1");
  for (Ms now = 1020; now < 2000 && heard.started.size() < 2; now += 20) core.turn(now);
  ASSERT_EQ(heard.started.size(), 2u);
  core.page(2010, 2, "a\n");
  core.ended(2020, 2, Outcome::kOk);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"paged 1 1"});
}

TEST_F(CorePaged, WhatOutgrowsItsPlaceEndsAtOnce) {
  list("s-1");
  ask(1, "00000000000000a1");
  core.turn(1000);
  shelf.put = ResultStore::Put::kOutgrown;
  EXPECT_EQ(core.page(1010, 1, "a\n"), ResultStore::Put::kOutgrown);
  EXPECT_EQ(heard.finals, std::vector<std::string>{"fail 1"});
  core.ended(1020, 1, Outcome::kCancelled);
  core.turn(1040);
  EXPECT_EQ(core.in_hand(), 0u);
}

TEST_F(CorePaged, AClientThatGoesLeavesNoPlaceBehind) {
  list("s-1");
  ask(1, "00000000000000a1");
  core.client_gone(1010, 1);
  EXPECT_EQ(shelf.said, std::vector<std::string>{"drop 1"});
}

TEST_F(CorePaged, AMarkedRepeatOfAFinishedResultRunsNothing) {
  list("s-1");
  shelf.known = 9;
  EXPECT_EQ(ask(1, "00000000000000a2", "00000000000000a1"), AdmissionResult::kFound);
  EXPECT_EQ(core.found(), 9u);
  core.turn(1000);
  EXPECT_TRUE(heard.started.empty());
}

}  // namespace
}  // namespace firvalve
