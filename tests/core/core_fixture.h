// Test fixture: a core with a recording response sink and engine transport, one profile and one machine type.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace firvalve {

// Response sink and engine transport in one. Records the calls and has no other effect.
struct RecordingSinkAndTransport : ResponseSink, EngineTransport {
  std::vector<std::string> responses;
  std::vector<AttemptRequest> started;
  std::vector<std::pair<AttemptId, Outcome>> cancelled;
  std::map<uint32_t, std::string> addresses;
  void answer(CallId call, std::string_view rows) override {
    responses.push_back("answer " + text_of(call) + " " + std::string(rows));
  }
  void shed(CallId call, std::optional<Duration>) override { responses.push_back("shed " + text_of(call)); }
  void fail(CallId call, std::string_view) override { responses.push_back("fail " + text_of(call)); }
  void answer_paged(CallId call, ResultHandle result) override {
    responses.push_back("paged " + text_of(call) + " " + std::to_string(result));
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
  RecordingSinkAndTransport recorder;
  Metrics metrics;
  Core core{settings, 1, recorder, recorder, metrics, [](const EngineHealthChange&) {}};

  void list_engine(const std::string& name, EngineState state = EngineState::kReady) {
    NamedEngineInfo engine{name, "127.0.0.1:1", {}};
    engine.info.machine_type = "std";
    engine.info.state = state;
    core.update_engine_list(time_point_of(1000), false, {engine});
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

}  // namespace firvalve
