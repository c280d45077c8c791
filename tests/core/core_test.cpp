#include "core/core.h"

#include <gtest/gtest.h>

namespace firvalve {
namespace {

struct RecordingEnds : ResponseSink, EngineTransport {
  std::vector<std::string> finals;
  std::vector<AttemptRequest> started;
  std::vector<std::pair<AttemptId, Outcome>> cancelled;
  std::map<uint32_t, std::string> addresses;
  void answer(CallId call, std::string_view rows) override {
    finals.push_back("answer " + text_of(call) + " " + std::string(rows));
  }
  void shed(CallId call, std::optional<Duration>) override { finals.push_back("shed " + text_of(call)); }
  void fail(CallId call, std::string_view) override { finals.push_back("fail " + text_of(call)); }
  void answer_paged(CallId call, ResultHandle result) override {
    finals.push_back("paged " + text_of(call) + " " + std::to_string(result));
  }
  void start_attempt(TimePoint, const AttemptRequest& request) override { started.push_back(request); }
  void cancel_attempt(TimePoint, AttemptId attempt, Outcome outcome) override {
    cancelled.push_back({attempt, outcome});
  }
  void set_priority(TimePoint, AttemptId, int) override {}
  void update_engine(TimePoint, uint32_t engine, std::string_view address, EngineState) override {
    addresses[engine] = std::string(address);
  }

 private:
  static std::string text_of(CallId call) { return std::to_string(to_number(call)); }
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
  RecordingEnds ends;
  Metrics metrics;
  Core core{settings, 1, ends, ends, metrics, [](const PolicyMessage&) {}};

  void list(const std::string& name, EngineState life = EngineState::kReady) {
    NamedEngineInfo l{name, "127.0.0.1:1", {}};
    l.info.machine = "std";
    l.info.life = life;
    core.update_engine_list(time_point_of(1000), false, {l});
  }
  AdmissionResult admit(uint64_t call, const char* id = "9b1f03aa5c7e2d41", const char* profile = "quick") {
    CommandRequest request;
    request.command = id;
    request.profile = profile;
    request.statement = "select 1";
    request.timeout = duration_of(4000);
    request.estimated_work = duration_of(100);
    return core.admit(time_point_of(1000), CallId{call}, std::move(request));
  }
};

TEST_F(CoreTest, ACommandGoesOutAndIsAnsweredOnce) {
  list("s-00c41f7a");
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1000));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_EQ(ends.started[0].engine, 0x00c41f7au);
  EXPECT_EQ(ends.started[0].statement, "select 1");
  EXPECT_EQ(ends.started[0].deadline, time_point_of(5000));
  EXPECT_TRUE(ends.started[0].may_cancel);
  core.attempt_finished(time_point_of(1010), AttemptId{1}, Outcome::kOk, "a\n");
  core.attempt_finished(time_point_of(1011), AttemptId{1}, Outcome::kOk, "late\n");
  core.decide(time_point_of(1020));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"answer 1 a\n"});
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreTest, DecisionsComeOnceATick) {
  list("s-1");
  core.decide(time_point_of(1000));
  admit(1);
  core.decide(time_point_of(1002));
  EXPECT_TRUE(ends.started.empty());
  EXPECT_EQ(core.next_due(), time_point_of(1005));
  core.decide(time_point_of(1005));
  EXPECT_EQ(ends.started.size(), 1u);
}

TEST_F(CoreTest, ASendEndsWithItsClientsPatience) {
  list("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.decide(time_point_of(5000));
  ASSERT_EQ(ends.cancelled.size(), 1u);
  EXPECT_EQ(ends.cancelled[0].second, Outcome::kTimedOut);
  core.attempt_finished(time_point_of(5000), AttemptId{1}, Outcome::kTimedOut);
  core.decide(time_point_of(5005));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"fail 1"});
}

TEST_F(CoreTest, AClientThatLeftGetsNothingAndItsSendIsCalledOff) {
  list("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.client_gone(time_point_of(1010), CallId{1});
  core.decide(time_point_of(1010));
  ASSERT_EQ(ends.cancelled.size(), 1u);
  EXPECT_EQ(ends.cancelled[0].second, Outcome::kCancelled);
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kOk, "a\n");
  core.decide(time_point_of(1020));
  EXPECT_TRUE(ends.finals.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

// Each turn of a command's course is told, with the reason where it is one of ours.
TEST_F(CoreTest, TheCourseOfACommandIsToldWithItsReasons) {
  std::vector<std::string> told;
  core.set_observer([&](TimePoint, const CommandEvent& event) {
    told.push_back(std::string(name_of(event.kind)) + "/" + std::string(event.engine) + "/" +
                   std::string(name_of(event.reason)));
  });
  list("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  core.decide(time_point_of(5000));
  core.attempt_finished(time_point_of(5000), AttemptId{1}, Outcome::kTimedOut);
  core.decide(time_point_of(5005));
  EXPECT_EQ(told,
            (std::vector<std::string>{"command.admitted//none", "attempt.started/s-1/none",
                                      "attempt.cancelled/s-1/deadline over", "attempt.finished/s-1/none",
                                      "command.failed/s-1/deadline over"}));
  EXPECT_EQ(metrics.counts["commands ended unserved: deadline over"], 1u);
}

// A half-close: for a moment it is as any other, then nothing follows and it is told so.
TEST_F(CoreTest, AHalfClosedClientsCommandIsSentAtOnceOrNeverAndAnswered) {
  admit(1);
  core.client_half_closed(time_point_of(1000), CallId{1});
  core.decide(time_point_of(1005));
  EXPECT_TRUE(ends.finals.empty());  // no engine yet; its client is not known to have gone
  core.decide(time_point_of(1060));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"shed 1"});
  list("s-1");
  core.decide(time_point_of(1100));
  EXPECT_TRUE(ends.started.empty());
  admit(2, "000000000000000b");
  core.client_half_closed(time_point_of(1110), CallId{2});
  core.decide(time_point_of(1110));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1120), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1170), AttemptId{1}));  // its connection came up too late
  core.attempt_finished(time_point_of(1200), AttemptId{1}, Outcome::kFailed);
  core.decide(time_point_of(1200));
  EXPECT_EQ(ends.started.size(), 1u);
  EXPECT_EQ(ends.finals.back(), "shed 2");  // replayable: trying again is harmless
}

TEST_F(CoreTest, AStartNotYetWrittenIsLookedAtAgain) {
  list("s-1");
  admit(1);
  core.decide(time_point_of(1000));
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1010), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(5000), AttemptId{1}));  // its client waits no longer
  list("s-1", EngineState::kDraining);
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1020), AttemptId{1}));
  list("s-1");
  EXPECT_TRUE(core.may_start_attempt(time_point_of(1030), AttemptId{1}));
  core.client_gone(time_point_of(1040), CallId{1});
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1040), AttemptId{1}));
  EXPECT_FALSE(core.may_start_attempt(time_point_of(1040), AttemptId{7}));  // no send of ours
}

// Other customers' settings tell less: then any figure may be a client's.
TEST(CoreSettings, WithoutMachinesOrTimesOrMemoryCommandsAreTaken) {
  RecordingEnds ends;
  Metrics metrics;
  Core core({{"profile.0.name", std::string("quick")}, {"profile.0.effect", std::string("replayable")}}, 1,
            ends, ends, metrics, [](const PolicyMessage&) {});
  CommandRequest request;
  request.command = "9b1f03aa5c7e2d41";
  request.profile = "quick";
  request.timeout = duration_of(4000);
  request.estimated_work = duration_of(100);
  request.memory_mb = 64;
  EXPECT_EQ(core.admit(time_point_of(1000), CallId{1}, std::move(request)), AdmissionResult::kAdmitted);
}

TEST_F(CoreTest, WhatCannotBeTakenInIsTold) {
  EXPECT_EQ(admit(1, "9b1f03aa5c7e2d41", "odd"), AdmissionResult::kUnknownProfile);
  EXPECT_EQ(admit(2), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(3), AdmissionResult::kDuplicateId);
  EXPECT_EQ(core.find_call("9b1f03aa5c7e2d41"), CallId{2});
}

TEST_F(CoreTest, FiguresThatNoClientCanHaveAreNotTakenIn) {
  const auto figures = [&](Ms timeout, Ms estimate, double memory_mb) {
    return core.admit(time_point_of(1000), CallId{1},
                      {"9b1f03aa5c7e2d41", "quick", "select 1", -1, duration_of(timeout),
                       duration_of(estimate), memory_mb});
  };
  EXPECT_EQ(figures(1e23, 100, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(figures(4000, 1e9, 10), AdmissionResult::kOutOfRange);
  EXPECT_EQ(figures(4000, 100, 1e12), AdmissionResult::kOutOfRange);
  EXPECT_EQ(core.active_command_count(), 0u);
  EXPECT_EQ(figures(4000, 100, 10), AdmissionResult::kAdmitted);
}

TEST_F(CoreTest, AnIdIsNewAgainOnlyOnceItsEndIsDecidedOn) {
  list("s-00000001");
  core.decide(time_point_of(1000));
  admit(1);
  core.client_gone(time_point_of(1000), CallId{1});
  EXPECT_EQ(admit(2), AdmissionResult::kDuplicateId);
  core.decide(time_point_of(1005));
  EXPECT_EQ(admit(3), AdmissionResult::kAdmitted);
  core.client_gone(time_point_of(1005), CallId{3});
  core.decide(time_point_of(1010));
  EXPECT_TRUE(ends.started.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreTest, StatementsInHandStayWithinTheirBytes) {
  core.set_max_statement_bytes(10);
  EXPECT_EQ(admit(1), AdmissionResult::kAdmitted);
  EXPECT_EQ(admit(2, "0000000000000002"), AdmissionResult::kNoCapacity);
  core.client_gone(time_point_of(1000), CallId{1});
  EXPECT_EQ(admit(3, "0000000000000003"), AdmissionResult::kAdmitted);
}

TEST_F(CoreTest, AFullListEndsWhatItOmits) {
  list("s-00000001");
  core.update_engine_list(time_point_of(1000), true, {{"s-00000002", "127.0.0.1:2", {}}});
  EXPECT_EQ(ends.addresses[1], "");
  EXPECT_EQ(ends.addresses[2], "127.0.0.1:2");
}

// ---- Marked repeats -----------------------------------------------------------------------------

struct CoreMarks : CoreTest {
  AdmissionResult retry(uint64_t call, const char* id, const char* first,
                        const char* statement = "select 1") {
    CommandRequest request;
    request.command = id;
    request.profile = "quick";
    request.retry_of = first;
    request.statement = statement;
    request.timeout = duration_of(4000);
    request.estimated_work = duration_of(100);
    return core.admit(time_point_of(1000), CallId{call}, std::move(request));
  }
  static constexpr const char* kFirst = "00000000000000a1";
  static constexpr const char* kSecond = "00000000000000a2";
  static constexpr const char* kThird = "00000000000000a3";
};

TEST_F(CoreMarks, ARepeatOfACommandInHandJoinsItOneRunOneAnswerEach) {
  list("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_EQ(core.unanswered_call_count(), 2u);
  core.attempt_finished(time_point_of(1020), ends.started[0].attempt, Outcome::kOk, "a\n");
  EXPECT_EQ(ends.finals, (std::vector<std::string>{"answer 1 a\n", "answer 2 a\n"}));
  EXPECT_EQ(core.unanswered_call_count(), 0u);
}

TEST_F(CoreMarks, TheChainHoldsOverARepeatThatRunsAnew) {
  list("s-1");
  EXPECT_EQ(retry(1, kSecond, kFirst), AdmissionResult::kAdmitted);  // the first is not known here
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kThird, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  EXPECT_EQ(ends.started.size(), 1u);
}

TEST_F(CoreMarks, AnotherStatementUnderTheMarkIsAnotherCommand) {
  list("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  EXPECT_EQ(retry(2, kSecond, kFirst, "select 2"), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1010));
  EXPECT_EQ(ends.started.size(), 2u);
}

TEST_F(CoreMarks, ARepeatThatJoinsKeepsAHalfClosedCommandGoing) {
  list("s-1", EngineState::kDraining);
  EXPECT_EQ(admit(1, kFirst), AdmissionResult::kAdmitted);
  core.client_half_closed(time_point_of(1000), CallId{1});
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1100));
  EXPECT_TRUE(ends.finals.empty());
  core.client_gone(time_point_of(1110), CallId{2});  // the one that was sure to be there
  core.decide(time_point_of(1200));
  EXPECT_EQ(ends.finals, std::vector<std::string>{"shed 1"});
}

TEST_F(CoreMarks, TheCommandEndsWithTheLastClientThatWaitsForIt) {
  list("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  retry(2, kSecond, kFirst);
  core.client_gone(time_point_of(1010), CallId{1});
  core.decide(time_point_of(1010));
  EXPECT_TRUE(ends.cancelled.empty());
  core.client_gone(time_point_of(1020), CallId{2});
  core.decide(time_point_of(1030));
  ASSERT_EQ(ends.cancelled.size(), 1u);
  core.attempt_finished(time_point_of(1040), ends.started[0].attempt, Outcome::kCancelled);
  core.decide(time_point_of(1050));
  EXPECT_TRUE(ends.finals.empty());
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CoreMarks, ARepeatAfterItsFirstWasGivenUpRunsAnew) {
  list("s-1");
  admit(1, kFirst);
  core.decide(time_point_of(1000));
  core.client_gone(time_point_of(1010), CallId{1});
  EXPECT_EQ(retry(2, kSecond, kFirst), AdmissionResult::kAdmitted);
  core.decide(time_point_of(1020));
  EXPECT_EQ(ends.started.size(), 2u);
}

// ---- Paged commands -----------------------------------------------------------------------------

struct FakeResultStore : ResultStore {
  bool has_space = true;
  AppendResult append_result = AppendResult::kStored;
  ResultHandle last = 0;
  std::optional<ResultHandle> known;
  std::vector<std::string> calls;
  std::optional<ResultHandle> reserve(TimePoint, const Reservation&) override {
    return has_space ? std::optional(++last) : std::nullopt;
  }
  std::optional<ResultHandle> find(TimePoint, const Reservation&) override { return known; }
  AppendResult append_page(TimePoint, ResultHandle result, std::string_view rows) override {
    calls.push_back("page " + std::to_string(result) + " " + std::string(rows));
    return append_result;
  }
  void clear_pages(TimePoint, ResultHandle result) override {
    calls.push_back("clear " + std::to_string(result));
  }
  void discard(TimePoint, ResultHandle result) override {
    calls.push_back("discard " + std::to_string(result));
  }
  void complete(TimePoint, ResultHandle result) override {
    calls.push_back("complete " + std::to_string(result));
  }
  PagedAnswer answer_of(ResultHandle) const override { return {}; }
  void read_page(TimePoint, std::string_view, std::string_view, uint64_t, ReadCallback) override {}
  bool release(TimePoint, std::string_view, std::string_view) override { return false; }
};

struct CorePaged : CoreTest {
  FakeResultStore store;
  CorePaged() { core.set_result_store(store); }
  AdmissionResult admit_paged(uint64_t call, const char* id, const char* first = "") {
    CommandRequest request;
    request.command = id;
    request.profile = "quick";
    request.retry_of = first;
    request.statement = "select 1";
    request.timeout = duration_of(4000);
    request.estimated_work = duration_of(100);
    request.paged = true;
    return core.admit(time_point_of(1000), CallId{call}, std::move(request));
  }
};

TEST_F(CorePaged, PagesGoToTheShelfAndTheAnswerNamesThem) {
  list("s-1");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  ASSERT_EQ(ends.started.size(), 1u);
  EXPECT_TRUE(ends.started[0].paged);
  core.append_page(time_point_of(1010), AttemptId{1}, "a\n");
  core.append_page(time_point_of(1011), AttemptId{1}, "b\n");
  core.attempt_finished(time_point_of(1012), AttemptId{1}, Outcome::kOk);
  EXPECT_EQ(ends.finals, std::vector<std::string>{"paged 1 1"});
  EXPECT_EQ(store.calls, (std::vector<std::string>{"page 1 a\n", "page 1 b\n", "complete 1"}));
}

TEST_F(CorePaged, WithoutAPlaceItWaitsAndIsNotSent) {
  list("s-1");
  store.has_space = false;
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  core.decide(time_point_of(1100));
  EXPECT_TRUE(ends.started.empty());
  admit(2);  // a plain one needs none
  core.decide(time_point_of(1200));
  EXPECT_EQ(ends.started.size(), 1u);
  store.has_space = true;
  core.result_space_available(time_point_of(1300));
  core.decide(time_point_of(1300));
  EXPECT_EQ(ends.started.size(), 2u);
}

TEST_F(CorePaged, WaitingForAPlaceItStillEndsInItsTime) {
  list("s-1");
  store.has_space = false;
  admit_paged(1, "00000000000000a1");
  for (Ms now = 1000; now < 5100; now += 20) core.decide(time_point_of(now));
  ASSERT_EQ(ends.finals.size(), 1u);
  EXPECT_NE(ends.finals[0], "paged 1 0");
  core.result_space_available(time_point_of(5200));
  EXPECT_EQ(store.last, 0u);
}

TEST_F(CorePaged, AnEngineThatDiesInTheMiddleIsFollowedByAnother) {
  list("s-1");
  list("s-2");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  core.append_page(time_point_of(1010), AttemptId{1}, "a\n");
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kReset);
  EXPECT_EQ(store.calls.back(), "clear 1");
  for (Ms now = 1020; now < 2000 && ends.started.size() < 2; now += 20) core.decide(time_point_of(now));
  ASSERT_EQ(ends.started.size(), 2u);
  core.append_page(time_point_of(2010), AttemptId{2}, "a\n");
  core.attempt_finished(time_point_of(2020), AttemptId{2}, Outcome::kOk);
  EXPECT_EQ(ends.finals, std::vector<std::string>{"paged 1 1"});
}

TEST_F(CorePaged, WhatOutgrowsItsPlaceEndsAtOnce) {
  list("s-1");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  store.append_result = ResultStore::AppendResult::kOutOfSpace;
  EXPECT_EQ(core.append_page(time_point_of(1010), AttemptId{1}, "a\n"),
            ResultStore::AppendResult::kOutOfSpace);
  EXPECT_EQ(ends.finals, std::vector<std::string>{"fail 1"});
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kCancelled);
  core.decide(time_point_of(1040));
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CorePaged, AClientThatGoesLeavesNoPlaceBehind) {
  list("s-1");
  admit_paged(1, "00000000000000a1");
  core.client_gone(time_point_of(1010), CallId{1});
  EXPECT_EQ(store.calls, std::vector<std::string>{"discard 1"});
}

TEST_F(CorePaged, AMarkedRepeatOfAFinishedResultRunsNothing) {
  list("s-1");
  store.known = 9;
  EXPECT_EQ(admit_paged(1, "00000000000000a2", "00000000000000a1"), AdmissionResult::kResultFound);
  EXPECT_EQ(core.found_result(), 9u);
  core.decide(time_point_of(1000));
  EXPECT_TRUE(ends.started.empty());
}

}  // namespace
}  // namespace firvalve
