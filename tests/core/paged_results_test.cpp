// Paged commands in the core: reservations, pages, retries, and the end without enough space.
#include "core/core_fixture.h"

namespace firvalve {
namespace {

struct FakeResultStore : ResultStore {
  bool has_space = true;
  AppendResult append_result = AppendResult::kStored;
  ResultHandle last_reserved = 0;
  std::optional<ResultHandle> stored_result;  // that find() returns
  std::vector<std::string> calls;
  std::optional<ResultHandle> reserve(TimePoint, const Reservation&) override {
    return has_space ? std::optional(++last_reserved) : std::nullopt;
  }
  std::optional<ResultHandle> find(TimePoint, const Reservation&) override { return stored_result; }
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

struct CorePagedResults : CoreTest {
  FakeResultStore store;
  CorePagedResults() { core.set_result_store(store); }
  AdmissionResult admit_paged(uint64_t call, const char* id, const char* retry_of = "") {
    CommandRequest request;
    request.command = id;
    request.profile = "quick";
    request.retry_of = retry_of;
    request.statement = "select 1";
    request.timeout = duration_of(4000);
    request.estimated_work = duration_of(100);
    request.paged = true;
    return core.admit(time_point_of(1000), CallId{call}, std::move(request));
  }
};

TEST_F(CorePagedResults, PagesAreStoredAndTheAnswerRefersToTheResult) {
  list_engine("s-1");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  ASSERT_EQ(recorder.started.size(), 1u);
  EXPECT_TRUE(recorder.started[0].paged);
  core.append_page(time_point_of(1010), AttemptId{1}, "a\n");
  core.append_page(time_point_of(1011), AttemptId{1}, "b\n");
  core.attempt_finished(time_point_of(1012), AttemptId{1}, Outcome::kOk);
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"paged 1 1"});
  EXPECT_EQ(store.calls, (std::vector<std::string>{"page 1 a\n", "page 1 b\n", "complete 1"}));
}

TEST_F(CorePagedResults, CommandWithoutAReservationWaitsAndIsNotStarted) {
  list_engine("s-1");
  store.has_space = false;
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  core.decide(time_point_of(1100));
  EXPECT_TRUE(recorder.started.empty());
  admit(2);  // a command that is not paged needs no reservation
  core.decide(time_point_of(1200));
  EXPECT_EQ(recorder.started.size(), 1u);
  store.has_space = true;
  core.result_space_available(time_point_of(1300));
  core.decide(time_point_of(1300));
  EXPECT_EQ(recorder.started.size(), 2u);
}

TEST_F(CorePagedResults, CommandWaitingForAReservationEndsByItsDeadline) {
  list_engine("s-1");
  store.has_space = false;
  admit_paged(1, "00000000000000a1");
  for (Ms now = 1000; now < 5100; now += 20) core.decide(time_point_of(now));
  ASSERT_EQ(recorder.responses.size(), 1u);
  EXPECT_NE(recorder.responses[0], "paged 1 0");
  core.result_space_available(time_point_of(5200));
  EXPECT_EQ(store.last_reserved, 0u);
}

TEST_F(CorePagedResults, FailedAttemptIsRetriedWithItsPagesCleared) {
  list_engine("s-1");
  list_engine("s-2");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  core.append_page(time_point_of(1010), AttemptId{1}, "a\n");
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kReset);
  EXPECT_EQ(store.calls.back(), "clear 1");
  for (Ms now = 1020; now < 2000 && recorder.started.size() < 2; now += 20) core.decide(time_point_of(now));
  ASSERT_EQ(recorder.started.size(), 2u);
  core.append_page(time_point_of(2010), AttemptId{2}, "a\n");
  core.attempt_finished(time_point_of(2020), AttemptId{2}, Outcome::kOk);
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"paged 1 1"});
}

TEST_F(CorePagedResults, CommandFailsAtOnceWhenTheStoreIsOutOfSpace) {
  list_engine("s-1");
  admit_paged(1, "00000000000000a1");
  core.decide(time_point_of(1000));
  store.append_result = ResultStore::AppendResult::kOutOfSpace;
  EXPECT_EQ(core.append_page(time_point_of(1010), AttemptId{1}, "a\n"),
            ResultStore::AppendResult::kOutOfSpace);
  EXPECT_EQ(recorder.responses, std::vector<std::string>{"fail 1"});
  core.attempt_finished(time_point_of(1020), AttemptId{1}, Outcome::kCancelled);
  core.decide(time_point_of(1040));
  EXPECT_EQ(core.active_command_count(), 0u);
}

TEST_F(CorePagedResults, ReservationIsDiscardedWhenTheClientDisconnects) {
  list_engine("s-1");
  admit_paged(1, "00000000000000a1");
  core.client_gone(time_point_of(1010), CallId{1});
  EXPECT_EQ(store.calls, std::vector<std::string>{"discard 1"});
}

TEST_F(CorePagedResults, RetryOfAStoredResultStartsNoAttempt) {
  list_engine("s-1");
  store.stored_result = 9;
  EXPECT_EQ(admit_paged(1, "00000000000000a2", "00000000000000a1"), AdmissionResult::kResultFound);
  EXPECT_EQ(core.found_result(), 9u);
  core.decide(time_point_of(1000));
  EXPECT_TRUE(recorder.started.empty());
}

}  // namespace
}  // namespace firvalve
