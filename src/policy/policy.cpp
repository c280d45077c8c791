// The policy's entry points: creates the state, dispatches events and runs the decisions in order.
#include "policy/policy.h"

#include <algorithm>
#include <string>

#include "policy/attempt_events.h"
#include "policy/cancellation.h"
#include "policy/engine_list.h"
#include "policy/reconciliation.h"
#include "policy/setting_keys.h"

namespace firvalve {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTick = 20ms;  // between decisions while commands are active; far below any latency target
constexpr Duration kMinStall = 200ms;  // a tick later than this means that the gateway itself stalled

std::optional<Duration> positive_time(double ms) {
  return ms > 0 ? std::optional(duration_of(ms)) : std::nullopt;
}

PolicyOptions options_from(const Settings& settings) {
  const auto flag = [&](const char* name) { return number_setting(settings, name) > 0; };
  const auto time = [&](const char* name) { return duration_of(number_setting(settings, name)); };
  PolicyOptions options;
  options.gateway_count = std::max(1.0, number_setting(settings, setting::kGatewayCount, 1));
  options.gateway_number = number_setting(settings, setting::kGatewayNumber);
  options.max_attempts = std::max(1, static_cast<int>(number_setting(settings, setting::kMaxAttempts, 1)));
  options.may_cancel = flag(setting::kMayCancel);
  options.are_priorities_honoured = flag(setting::kHonoursPriorities);
  options.are_memory_grants_honoured = flag(setting::kHonoursMemoryGrants);
  if (flag(setting::kMayAdviseRetry))
    options.retry_after = positive_time(number_setting(settings, setting::kMaxRetryAfter));
  options.status_period = positive_time(number_setting(settings, setting::kStatusPeriod));
  options.key_cooldown = time(setting::kOrderingKeyCooldown);
  options.retry_budget.is_limited =
      settings.count(setting::kRetryShare) > 0 || settings.count(setting::kFreeRetries) > 0;
  options.retry_budget.allowance = number_setting(settings, setting::kFreeRetries);
  options.retry_budget.share = number_setting(settings, setting::kRetryShare);
  options.retry_budget.window = time(setting::kRetryWindow);
  options.slow_start.warm_up = time(setting::kWarmUp);
  options.slow_start.initial_share = number_setting(settings, setting::kSlowStartShare, 1);
  options.slow_start.overload_multiple = number_setting(settings, setting::kOverloadFactor, 1);
  options.slow_start.overload_window = time(setting::kOverloadWindow);
  return options;
}

void handle_admitted(State& state, TimePoint now, const Admitted& event) {
  const auto profile_count = static_cast<int>(state.profiles.size());
  if (!event.profile || *event.profile < 0 || *event.profile >= profile_count)
    return state.unknown_profile_commands.push_back(event.id);
  Command& command = add_active_command(state);
  command.request = event;
  command.profile = static_cast<size_t>(*event.profile);
  command.admitted_at = command.queued_since = now;
  count_admission(state, now);
  predict_cost(state, command);
}

void handle_client_gone(State& state, const ClientGone& event) {
  if (Command* const command = find_command(state, event.id)) command->is_ended = true;
}

// A half-close may mean that the client has closed altogether. Attempts in flight may finish and be answered,
// but no further attempt starts once a grace period has passed (retry.cpp).
void handle_client_half_closed(State& state, const ClientHalfClosed& event) {
  Command* const command = find_command(state, event.id);
  if (command) command->half_closed_at = event.is_half_closed ? std::optional(event.since) : std::nullopt;
}

void handle_result_reservation(State& state, const ResultReservation& event) {
  if (Command* const command = find_command(state, event.id)) command->lacks_reservation = !event.is_granted;
}

void handle_timer_fired(State& state, TimePoint now) {
  if (state.timer_at && now >= *state.timer_at) state.timer_at.reset();
}

// Dispatches each event type to its handler.
struct EventVisitor {
  State& state;
  TimePoint now;

  void operator()(const EngineListUpdate& event) const { handle_engine_list(state, now, event); }
  void operator()(const Admitted& event) const { handle_admitted(state, now, event); }
  void operator()(const AttemptStatus& event) const { handle_attempt_status(state, now, event); }
  void operator()(const AttemptFinished& event) const { handle_attempt_finished(state, now, event); }
  void operator()(const ProbeResult&) const {}
  void operator()(const ClientGone& event) const { handle_client_gone(state, event); }
  void operator()(const ClientHalfClosed& event) const { handle_client_half_closed(state, event); }
  void operator()(const TimerFired&) const { handle_timer_fired(state, now); }
  void operator()(const ShutdownStarted& event) const { state.shutdown_at = event.ends_at; }
  void operator()(const ResultReservation& event) const { handle_result_reservation(state, event); }
};

// Caps every client deadline at the gateway's shutdown time, so that every command is answered before the
// process ends.
void limit_deadlines(State& state) {
  if (!state.shutdown_at) return;
  for (const size_t slot : state.active_slots) {
    TimePoint& deadline = state.slots[slot].request.deadline;
    deadline = std::min(deadline, *state.shutdown_at);
  }
}

void plan_next_tick(State& state, TimePoint now) {
  const auto is_active = [&](size_t slot) { return !state.slots[slot].is_ended; };
  state.next_tick_at.reset();
  if (std::any_of(state.active_slots.begin(), state.active_slots.end(), is_active))
    state.next_tick_at = now + kTick;
}

}  // namespace

State open(const Settings& settings, uint64_t seed) {
  State state;
  state.settings = settings;
  state.options = options_from(settings);
  state.random.state = seed * 2 + 1;
  state.random.next();
  for (int i = 0; has_profile(settings, i); ++i)
    state.profiles.emplace_back(profile_from(settings, i)).memory_factor = kInitialMemoryFactor;
  return state;
}

void handle(State& state, TimePoint now, const Event& event) {
  // Detects a stall of this gateway. Events handled right after it arrived earlier than `now`, so times and
  // progress rates measured at this moment say nothing about the engines.
  if (state.next_tick_at && now > *state.next_tick_at + kMinStall) state.resumed_at = now;
  if (!state.first_event_at) state.first_event_at = now;
  std::visit(EventVisitor{state, now}, event);
}

void decide(State& state, TimePoint now, Actions& actions) {
  erase_expired_table_locks(state, now);
  erase_expired_key_cooldowns(state, now);
  limit_deadlines(state);
  review_engines(state, now);
  update_pool(state);
  update_overrun(state, now);
  review_attempts(state, now);
  review_queue(state, now);
  plan_next_tick(state, now);
  append_actions(state, now, actions);
}

}  // namespace firvalve
