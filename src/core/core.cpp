#include "core/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "core/settings.h"

namespace firvalve {
namespace {

CommandId command_id(std::string_view text) {
  CommandId id;
  std::copy_n(text.begin(), std::min(text.size(), id.text.size()), id.text.begin());
  return id;
}
std::string_view view(const std::array<char, 16>& id) { return {id.data(), id.size()}; }

}  // namespace

void Metrics::add(std::string_view what, std::string_view kind) {
  std::string name(what);
  if (!kind.empty()) name.append(" ").append(kind);
  ++counts[name];
}

std::string Metrics::text() const {
  std::string out = "counters";
  for (const auto& [name, count] : counts) out += fmt::format("; {}: {}", name, count);
  return out;
}

Core::Core(const Settings& settings, uint64_t seed, ResponseSink& front, EngineTransport& back,
           Metrics& counters, LogSink say)
    : state_(open(settings, seed)),
      profiles_(names_of(settings, "profile")),
      front_(front),
      back_(back),
      counters_(counters),
      say_(std::move(say)),
      tick_(number(settings, "tick")),
      may_cancel_(number(settings, "may cancel") > 0) {
  double cores = 0, memory_mb = 0;
  for (const auto& [name, value] : settings) {
    if (name.starts_with("cores.")) cores = std::max(cores, number(settings, name));
    if (name.starts_with("memory.")) memory_mb = std::max(memory_mb, number(settings, name));
  }
  // Where the settings do not tell what there is, any figure may be a client's.
  const Ms longest = longest_timeout(settings);
  if (longest > 0) most_timeout_ = 2 * longest;
  if (longest * cores > 0) most_estimate_ = kRough * longest * cores;
  if (memory_mb > 0) most_memory_mb_ = kRough * memory_mb;
}

Ms longest_timeout(const Settings& settings) {
  Ms longest = 0;
  for (size_t i = 0; i < names_of(settings, "profile").size(); ++i)
    longest = std::max(longest, number(settings, fmt::format("profile.{}.client timeout", i)));
  return longest;
}

std::string_view Core::engine_name(uint32_t engine) const {
  const auto at = listed_.find(engine);
  return at == listed_.end() ? std::string_view() : at->second;
}

void Core::tell_observer(Ms now, CommandEvent::Kind kind, const Id& id, const Held& h, Reason reason,
                         Outcome outcome, Ms took) const {
  if (!observer_) return;
  observer_(now, {kind, view(id), profiles_[static_cast<size_t>(h.profile)], engine_name(h.engine), h.sends,
                  reason, outcome, took});
}

void Core::handle_now(Ms now, const Event& event) {
  now_ = now;
  handle(state_, time_point_of(now), event);
  heard_ = true;
}

AdmissionResult Core::admit(Ms now, CallRef call, CommandRequest&& asked) {
  const auto profile = std::find(profiles_.begin(), profiles_.end(), asked.profile);
  if (profile == profiles_.end()) return AdmissionResult::kUnknownProfile;
  // Guards the module's means against figures that no client of this deployment can have. It may cost one
  // whose settings are long out of date.
  if (asked.timeout > most_timeout_ || asked.estimate > most_estimate_ || asked.memory_mb > most_memory_mb_)
    return AdmissionResult::kOutOfRange;
  const int number_of_profile = static_cast<int>(profile - profiles_.begin());
  if (!asked.first.empty() && join(now, call, asked, number_of_profile)) return AdmissionResult::kTaken;
  const bool paged = asked.paged && shelf_;
  if (paged && !asked.first.empty()) {
    const ResultStore::Reservation wish{asked.owner,     asked.key,   asked.profile,
                                        asked.statement, asked.first, asked.tables};
    if ((found_ = shelf_->find(now, wish)) != 0) return AdmissionResult::kFound;
  }
  if (held_bytes_ + asked.statement.size() > most_held_) return AdmissionResult::kNoRoom;
  const CommandId id = command_id(asked.command);
  const auto [at, added] = held_.try_emplace(id.text);
  if (!added) return AdmissionResult::kNotNew;
  Held& h = at->second;
  h.call = call;
  h.statement = std::move(asked.statement);
  held_bytes_ += h.statement.size();
  h.profile = number_of_profile;
  h.chain = asked.first.empty() ? id.text : command_id(asked.first).text;
  if (h.chain != id.text) chains_[h.chain] = id.text;
  h.gives_up_at = sooner(now + asked.timeout, closes_at_);
  calls_[call] = {id.text};
  counters_.add("taken", *profile);
  Admitted t;
  t.id = id;
  t.profile = h.profile;
  t.deadline = time_point_of(h.gives_up_at);
  if (asked.estimate > 0) t.estimated_work = duration_of(asked.estimate);
  t.estimated_memory_mb = asked.memory_mb;
  if (asked.tables >= 0) t.table_group = asked.tables;
  tell_observer(now, CommandEvent::Kind::kAdmitted, id.text, h);
  handle_now(now, t);
  if (paged) {
    h.paged = true;
    h.owner = asked.owner;
    h.key = asked.key;
    h.tables = asked.tables;
    if (!seek_place(now, at)) {
      placeless_.push_back(id.text);
      handle_now(now, ResultReservation{id, false});
    }
  }
  return AdmissionResult::kTaken;
}

ResultStore::Reservation Core::wish_of(const Held& h) const {
  return {h.owner, h.key, profiles_[static_cast<size_t>(h.profile)], h.statement, view(h.chain), h.tables};
}

bool Core::seek_place(Ms now, HeldMap::iterator at) {
  at->second.place = shelf_->reserve(now, wish_of(at->second));
  return at->second.place != 0;
}

// In the order taken. One whose owner has no room leaves the turn to those behind it.
void Core::room(Ms now) {
  std::erase_if(placeless_, [&](const Id& id) {
    const auto at = held_.find(id);
    if (at == held_.end() || at->second.call == 0) return true;
    if (!seek_place(now, at)) return false;
    handle_now(now, ResultReservation{CommandId{id}, true});
    return true;
  });
}

ResultStore::Put Core::page(Ms now, uint64_t send, std::string_view rows) {
  const auto at = sends_.find(send);
  if (at == sends_.end()) return ResultStore::Put::kOutgrown;
  const auto h = held_.find(at->second);
  if (h->second.place == 0) return ResultStore::Put::kOutgrown;
  const ResultStore::Put put = shelf_->page(now, h->second.place, rows);
  if (put == ResultStore::Put::kOutgrown) {
    h->second.place = 0;
    give_up(now, h, "the result has outgrown the spool");
  }
  return put;
}

// Its clients handle so, and the module gives up what is out.
void Core::give_up(Ms now, HeldMap::iterator at, std::string_view why) {
  counters_.add("failed", profiles_[static_cast<size_t>(at->second.profile)]);
  tell(at->second, [&](CallRef call) { front_.fail(call, why); });
  tell_observer(now, CommandEvent::Kind::kFailed, at->first, at->second);
  const CommandId id{at->first};
  finish(at);
  handle_now(now, ClientGone{id});
}

// Guards against a second run of what is still in hand, when a client lost sight of it and says it again: it
// runs once and each call gets the answer. Only the same statement of the same profile is the same command;
// whoever can name both and the id could have read the answer anyway.
bool Core::join(Ms now, CallRef call, const CommandRequest& asked, int profile) {
  const Id chain = command_id(asked.first).text;
  const auto repeat = chains_.find(chain);
  const auto at = held_.find(repeat != chains_.end() ? repeat->second : chain);
  if (at == held_.end() || at->second.call == 0) return false;
  if (at->second.profile != profile || at->second.statement != asked.statement) return false;
  if (at->second.paged != (asked.paged && shelf_) || at->second.key != asked.key) return false;
  at->second.joined.push_back(call);
  calls_[call] = {at->first};
  counters_.add("joined", profiles_[static_cast<size_t>(profile)]);
  review_clients(now, at->first);
  return true;
}

CallRef Core::call_of(std::string_view command) const {
  const auto at = held_.find(command_id(command).text);
  return at == held_.end() ? 0 : at->second.call;
}

void Core::client_gone(Ms now, CallRef call) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) return;
  const CommandId id{at->second.id};
  Held& h = held_.at(id.text);
  counters_.add("given up by client", profiles_[static_cast<size_t>(h.profile)]);
  if (!h.joined.empty()) {  // the others still wait for it
    if (h.call == call)
      h.call = h.joined.back(), h.joined.pop_back();
    else
      std::erase(h.joined, call);
    calls_.erase(at);
    return review_clients(now, id.text);
  }
  tell_observer(now, CommandEvent::Kind::kClientGone, id.text, h);
  finish(held_.find(id.text));
  handle_now(now, ClientGone{id});
}

void Core::half_closed(Ms now, CallRef call) {
  const auto at = calls_.find(call);
  if (at == calls_.end()) return;
  at->second.half_closed = true;
  review_clients(now, at->second.id);
}

void Core::review_clients(Ms now, const Id& id) {
  Held& h = held_.at(id);
  bool all = true;
  tell(h, [&](CallRef call) { all &= calls_.at(call).half_closed; });
  if (all == h.half_closed) return;
  h.half_closed = all;
  handle_now(now, ClientHalfClosed{CommandId{id}, all});
}

bool Core::may_begin(Ms now, uint64_t send) const {
  const auto at = sends_.find(send);
  if (at == sends_.end()) return false;
  const Held& h = held_.at(at->second);
  return h.call != 0 && now < h.gives_up_at &&
         may_start_attempt(state_, CommandId{at->second}, time_point_of(now));
}

void Core::finish(HeldMap::iterator at) {
  tell(at->second, [&](CallRef call) { calls_.erase(call); });
  at->second.call = 0;
  at->second.joined.clear();
  if (at->second.place != 0)
    shelf_->drop(now_, std::exchange(at->second.place, 0));
  else if (at->second.paged)
    std::erase(placeless_, at->first);
  if (const auto chain = chains_.find(at->second.chain); chain != chains_.end() && chain->second == at->first)
    chains_.erase(chain);
  if (at->second.send == 0) erase(at);
}

void Core::erase(HeldMap::iterator at) {
  held_bytes_ -= at->second.statement.size();
  std::string().swap(at->second.statement);
  done_.push_back(at->first);
}

// Gateways must agree on the order of engines, so the number comes from the name alone: its eight hex digits,
// or else a hash of it.
uint32_t Core::number_of(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known != numbers_.end()) return known->second;
  const std::string digits = name.substr(name.rfind('-') + 1);
  uint32_t number = 2166136261u;
  if (digits.size() == 8 && digits.find_first_not_of("0123456789abcdef") == std::string::npos) {
    number = static_cast<uint32_t>(std::stoul(digits, nullptr, 16));
  } else {
    for (const char c : name) number = (number ^ static_cast<unsigned char>(c)) * 16777619u;
  }
  while (!numbers_in_use_.insert(number).second) ++number;
  return numbers_[name] = number;
}

void Core::forget_number(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known == numbers_.end()) return;
  numbers_in_use_.erase(known->second);
  numbers_.erase(known);
}

void Core::roster(Ms now, bool full, std::vector<NamedEngineInfo> listings, Ms current_at) {
  EngineListUpdate r;
  r.is_complete = full;
  if (current_at > 0) r.current_at = time_point_of(current_at);
  std::map<uint32_t, std::string> kept;
  for (NamedEngineInfo& l : listings) {
    const uint32_t number = number_of(l.name);
    l.listing.engine = EngineId{number};
    r.engines.push_back(l.listing);
    back_.list(now, number, l.address, l.listing.state);
    if (l.listing.state != EngineState::kRemoved) kept[number] = l.name;
    if (l.listing.state != EngineState::kRemoved) continue;
    listed_.erase(number);
    forget_number(l.name);
  }
  if (full) {
    for (const auto& [engine, name] : listed_) {
      if (kept.count(engine)) continue;
      back_.list(now, engine, {}, EngineState::kRemoved);
      forget_number(name);
    }
    listed_.clear();
  }
  listed_.insert(kept.begin(), kept.end());
  handle_now(now, r);
}

void Core::noted(Ms now, uint64_t send, AttemptStatusKind kind, double value) {
  const auto at = sends_.find(send);
  if (at == sends_.end()) return;
  counters_.add("noted");
  handle_now(now, AttemptStatus{CommandId{at->second}, held_.at(at->second).sends - 1, kind, value});
}

void Core::ended(Ms now, uint64_t send, Outcome outcome, std::string rows) {
  const auto at = sends_.find(send);
  if (at == sends_.end()) return;
  const Id id = at->second;
  sends_.erase(at);
  const auto h = held_.find(id);
  counters_.add("sends ended", name_of(outcome));
  AttemptFinished s;
  s.id = CommandId{id};
  s.attempt = h->second.sends - 1;
  s.outcome = outcome;
  s.elapsed = duration_of(now - h->second.sent_at);
  h->second.send = 0;
  tell_observer(now, CommandEvent::Kind::kAttemptEnded, id, h->second, Reason::kNone, outcome,
                to_ms(s.elapsed));
  if (outcome == Outcome::kOk && h->second.call != 0) {
    counters_.add("answered", profiles_[static_cast<size_t>(h->second.profile)]);
    if (h->second.paged) {
      shelf_->whole(now, h->second.place);
      tell(h->second, [&](CallRef call) { front_.answer_paged(call, h->second.place); });
      h->second.place = 0;  // the shelf's own from here on
    } else {
      tell(h->second, [&](CallRef call) { front_.answer(call, rows); });
    }
    tell_observer(now, CommandEvent::Kind::kAnswered, id, h->second);
    finish(h);
    s.is_command_finished = true;
  } else if (h->second.call == 0) {
    s.is_command_finished = true;
    erase(h);
  } else if (h->second.place != 0) {
    shelf_->clear(now, h->second.place);  // nothing of it has been given out: another send may make it anew
  }
  handle_now(now, s);
}

void Core::closing(Ms now, Ms at) {
  closes_at_ = at;
  for (auto& [id, h] : held_) h.gives_up_at = std::min(h.gives_up_at, at);
  look_at_ = sooner(look_at_, at);
  handle_now(now, ShutdownStarted{time_point_of(at)});
}

// An attempt ends at its client's deadline at the latest, whatever its engine says.
void Core::end_overdue(Ms now) {
  if (look_at_ == 0 || now < look_at_) return;
  look_at_ = 0;
  for (auto& [id, h] : held_) {
    if (h.send == 0 || h.overdue) continue;
    if (now >= h.gives_up_at) {
      h.overdue = true;
      tell_observer(now, CommandEvent::Kind::kAttemptCancelled, id, h, Reason::kDeadlineExceeded);
      back_.withdraw(now, h.send, Outcome::kTimedOut);
    } else {
      look_at_ = sooner(look_at_, h.gives_up_at);
    }
  }
}

void Core::turn(Ms now) {
  end_overdue(now);
  for (; !bells_.empty() && *bells_.begin() <= now; bells_.erase(bells_.begin()))
    handle_now(now, TimerFired{});
  if (!heard_ || now < decided_at_ + tick_) return;
  heard_ = false;
  decided_at_ = now;
  actions_.clear();
  decide(state_, time_point_of(now), actions_);
  for (const Action& a : actions_) carry_out(now, a);
  for (const Id& id : done_) held_.erase(id);
  done_.clear();
}

void Core::carry_out(Ms now, const Action& a) {
  if (a.kind == Action::Kind::kSetTimer) {
    bells_.insert(now + to_ms(a.timer_delay));
    return;
  }
  if (a.kind == Action::Kind::kLogEngineHealth) {
    return say_(engine_health_text(a.engine, a.health), std::string(engine_name(to_number(a.engine))));
  }
  const auto at = held_.find(a.command.text);
  if (at == held_.end()) return;
  Held& h = at->second;
  const std::string& profile = profiles_[static_cast<size_t>(h.profile)];
  switch (a.kind) {
    case Action::Kind::kStartAttempt: {
      counters_.add(h.sends > 0 ? "sent again" : "sent", profile);
      h.send = ++last_send_;
      h.sends += 1;
      h.sent_at = now;
      h.overdue = false;
      h.engine = to_number(a.engine);
      tell_observer(now, CommandEvent::Kind::kAttemptStarted, at->first, h);
      sends_[h.send] = at->first;
      look_at_ = sooner(look_at_, h.gives_up_at);
      back_.start(now, {h.send, h.engine, view(at->first), profile, h.statement, h.gives_up_at, h.priority,
                        h.paged, may_cancel_});
      break;
    }
    case Action::Kind::kCancelAttempt:
      if (h.send == 0 || a.attempt != h.sends - 1) break;
      counters_.add("withdrawn", profile);
      counters_.add("attempts cancelled:", name_of(a.reason));
      tell_observer(now, CommandEvent::Kind::kAttemptCancelled, at->first, h, a.reason);
      back_.withdraw(now, h.send, Outcome::kCancelled);
      break;
    case Action::Kind::kSetSchedulingHints:
      h.priority = a.priority;
      if (h.send != 0) back_.rank(now, h.send, a.priority);
      break;
    case Action::Kind::kShedCommand:
    case Action::Kind::kFailCommand:
      counters_.add(a.kind == Action::Kind::kShedCommand ? "shed" : "failed", profile);
      counters_.add("commands ended unserved:", name_of(a.reason));
      tell_observer(
          now, a.kind == Action::Kind::kShedCommand ? CommandEvent::Kind::kShed : CommandEvent::Kind::kFailed,
          at->first, h, a.reason);
      tell(h, [&](CallRef call) {
        a.kind == Action::Kind::kShedCommand ? front_.shed(call, to_ms(a.retry_after.value_or(Duration())))
                                             : front_.fail(call, "failed");
      });
      if (h.call != 0) finish(at);
      break;
    default:
      break;
  }
}

Ms Core::next_due() const {
  Ms due = sooner(look_at_, bells_.empty() ? 0 : *bells_.begin());
  if (heard_) due = sooner(due, decided_at_ + tick_);
  return due;
}

}  // namespace firvalve
