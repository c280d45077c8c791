// Serializes the policy's actions under the names of the simulator's protocol.
#include "simulator_adapter/decision_writer.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

#include "simulator_adapter/event_reader.h"

namespace firvalve::simulator {
namespace {

int64_t nanoseconds_of(Duration duration) { return std::llround(duration.count() * kNanosecondsPerMs); }

constexpr int64_t kTimerReference = 0;  // constant, as a gateway has only one timer at a time

}  // namespace

void DecisionWriter::begin() { reply_ = "{\"decisions\":["; }

const std::string& DecisionWriter::end() {
  reply_ += "]}";
  return reply_;
}

void DecisionWriter::write(int64_t gateway_id, const Action& action) {
  switch (action.kind) {
    case Action::Kind::kStartAttempt:
      begin_decision("RELAY", gateway_id);
      write_command(action.command);
      write_integer("engine", to_number(action.engine));
      break;
    case Action::Kind::kCancelAttempt:
      begin_decision("RETRACT", gateway_id);
      write_command(action.command);
      write_integer("round_no", action.attempt);
      break;
    case Action::Kind::kShedCommand:
      begin_decision("DENY", gateway_id);
      write_command(action.command);
      if (action.retry_after) write_integer("stay_away", nanoseconds_of(*action.retry_after));
      break;
    case Action::Kind::kFailCommand:
      begin_decision("FAIL", gateway_id);
      write_command(action.command);
      break;
    case Action::Kind::kSetSchedulingHints:
      begin_decision("GRANT_AND_RANK", gateway_id);
      write_command(action.command);
      write_integer("importance", action.priority);
      reply_.append(",\"allot_mb\":").append(std::to_string(action.memory_grant_mb));
      break;
    case Action::Kind::kSetTimer:
      begin_decision("SET_ALARM", gateway_id);
      write_integer("wait", nanoseconds_of(action.timer_delay));
      write_integer("ref", kTimerReference);
      break;
    case Action::Kind::kLogEngineHealth:
      begin_decision("SAY_LOG", gateway_id);
      write_text("line", engine_health_text(action.engine, action.health));
      break;
  }
  end_decision();
}

void DecisionWriter::write_panic(int64_t gateway_id, const std::string& reason) {
  begin_decision("PANIC", gateway_id);
  write_text("line", reason);
  end_decision();
}

void DecisionWriter::begin_decision(const char* name, int64_t gateway_id) {
  if (reply_.back() != '[') reply_ += ',';
  reply_.append("{\"").append(name).append("\":{\"gateway_id\":").append(std::to_string(gateway_id));
}

void DecisionWriter::write_command(const CommandId& id) {
  write_text("job", std::string(id.text.begin(), id.text.end()));
}

void DecisionWriter::write_integer(const char* name, int64_t value) {
  reply_.append(",\"").append(name).append("\":").append(std::to_string(value));
}

void DecisionWriter::write_text(const char* name, const std::string& text) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.String(text.c_str(), static_cast<rapidjson::SizeType>(text.size()));
  reply_.append(",\"").append(name).append("\":").append(buffer.GetString(), buffer.GetSize());
}

}  // namespace firvalve::simulator
