#include "client/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace firvalve::client {
namespace {

constexpr Ms kLeastUseful = 2;     // left before the deadline: less brings no answer back
constexpr Ms kCrossing = 50;       // the protocol's: a call that crosses a close within it goes again, once
constexpr Ms kRestedLeast = 1000;  // a connection that a gateway may have closed as idle rested so long
constexpr Ms kHeldBehind = 100;    // jitter behind a stated time to stay away, at least
constexpr double kBehindShare = 0.5;  // of that time: jitter behind it
constexpr Ms kWantedFor = 5000;       // after a call, left gateways are still tried
constexpr double kLearn = 0.1;        // share of a new answer in the running mean of latency
constexpr size_t kProfilesMost = 256;

std::string hex(uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace

Plan::Plan(const PlanOptions& terms)
    : terms_(terms),
      chance_(terms.seed, 1),
      reqs_(terms.seed, 2),
      budget_(terms.retry_share, terms.retry_window),
      gateways_(static_cast<size_t>(terms.gateways), Gateway(terms.spread)) {}

double Plan::draw() { return static_cast<double>(chance_()) / 4294967296.0; }

uint64_t Plan::new_req() { return reqs_(); }

int Plan::profile_of(const std::string& name) {
  for (size_t i = 0; i < lines_.size(); ++i)
    if (lines_[i].name == name) return static_cast<int>(i);
  if (lines_.size() >= kProfilesMost) return -1;
  lines_.push_back({name, {}, Throttle(terms_.throttle_window)});
  return static_cast<int>(lines_.size()) - 1;
}

// ---- Places -------------------------------------------------------------------------------------

void Plan::park(Call& c, CallNo no, Ms from) {
  c.place = Place::kParked;
  c.from = from;
  parked_.insert({from, no});
}

void Plan::to_line(Call& c, CallNo no, bool front) {
  auto& calls = lines_[static_cast<size_t>(c.profile)].calls;
  c.place = Place::kLine;
  c.in_line = calls.insert(front ? calls.begin() : calls.end(), no);
}

void Plan::leave_place(Call& c, CallNo no) {
  switch (c.place) {
    case Place::kParked:
      parked_.erase({c.from, no});
      break;
    case Place::kLine:
      lines_[static_cast<size_t>(c.profile)].calls.erase(c.in_line);
      break;
    case Place::kOut:
      gateways_[static_cast<size_t>(c.gateway)].open -= 1;
      if (const auto link = links_.find(c.link); link != links_.end()) link->second.open.erase(c.id);
      break;
    case Place::kNone:
      break;
  }
  c.place = Place::kNone;
}

void Plan::finish(Ms, CallMap::iterator at, End end, bool cancelled, Ms come_back, std::string why) {
  Call& c = at->second;
  leave_place(c, at->first);
  deadlines_.erase({c.deadline, at->first});
  if (c.reserved) --reserved_;
  switch (end) {
    case End::kAnswered:
      ++stats_.answered;
      break;
    case End::kRefused:
      ++stats_.refused;
      break;
    case End::kFailed:
      ++stats_.failed;
      break;
    case End::kUnknown:
      ++stats_.unknown;
      break;
    case End::kExpired:
      ++stats_.expired;
      break;
  }
  stats_.cancelled += cancelled;
  stats_.stopped_here += end == End::kRefused && c.sends == 0;
  PlanAction a;
  a.kind = PlanAction::Kind::kEnd;
  a.call = at->first;
  a.end = end;
  a.cancelled = cancelled;
  a.may_have_run = c.may_have_run;
  a.sends = c.sends;
  a.gateway = c.gateway;
  a.come_back = come_back;
  a.text = std::move(why);
  pending_.push_back(std::move(a));
  calls_.erase(at);
}

// Its time is over, or its caller wants it no more: what is out is revoked, once.
void Plan::give_up(Ms now, CallMap::iterator at, bool cancelled, const char* why) {
  Call& c = at->second;
  if (c.place == Place::kOut) {
    c.may_have_run = true;
    revoke(c);
  }
  const End end = !c.replayable && c.may_have_run ? End::kUnknown : End::kExpired;
  finish(now, at, end, cancelled, 0, why);
}

// ---- Again, or not ------------------------------------------------------------------------------

Ms Plan::usable_at(Ms now, const Call& c) const {
  Ms soonest = 1e18;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    if (c.only >= 0 && static_cast<int>(i) != c.only) continue;
    const Gateway& g = gateways_[i];
    Ms at = g.standing.phase() == Standing::Phase::kLeft ? std::max(now, g.standing.try_at()) : now;
    if (const auto away = g.away_until.find(c.profile); away != g.away_until.end())
      at = std::max(at, away->second);
    soonest = std::min(soonest, at);
  }
  return soonest;
}

// Puts a call that is nowhere back to be sent once more, not before `from`; false: it may not be, for its
// sends, its time or the budget. That it can't run twice is the caller's to know.
bool Plan::again(Ms now, CallMap::iterator at, Ms from) {
  Call& c = at->second;
  if (c.sends >= terms_.sends_most) return false;
  if (std::max(from, usable_at(now, c)) + kLeastUseful >= c.deadline) return false;
  if (c.free_repeat) {
    to_line(c, at->first, true);
    return true;
  }
  if (!budget_.may_repeat(now, reserved_)) return false;
  c.reserved = true;
  ++reserved_;
  from <= now ? to_line(c, at->first, true) : park(c, at->first, from);
  return true;
}

// The last send of a call is proved not to have run: refused, or not wholly written.
void Plan::proved_unrun(Ms now, CallMap::iterator at, Ms from, const char* why) {
  if (again(now, at, from)) return;
  end_unsent(now, at, why);
}

// It is out nowhere and goes out no more.
void Plan::end_unsent(Ms now, CallMap::iterator at, const char* why) {
  if (at->second.may_have_run) return finish(now, at, End::kUnknown, false, 0, why);
  const Ms usable = usable_at(now, at->second);
  finish(now, at, End::kRefused, false, usable > now ? usable - now : 0, why);
}

Ms Plan::backoff(const Call& c) {
  return draw() * std::min(terms_.backoff * std::pow(2.0, c.sends - 1), terms_.backoff_most);
}

void Plan::revoke(const Call& c) {
  PlanAction a;
  a.kind = PlanAction::Kind::kRevoke;
  a.link = c.link;
  a.id = c.id;
  a.req = hex(c.req);
  pending_.push_back(std::move(a));
  ++stats_.revoked;
}

void Plan::close(LinkNo link) {
  PlanAction a;
  a.kind = PlanAction::Kind::kClose;
  a.link = link;
  pending_.push_back(std::move(a));
}

// ---- Events -------------------------------------------------------------------------------------

void Plan::call(Ms now, CallNo no, const std::string& profile, bool replayable, Ms deadline, int only) {
  ++stats_.calls;
  asked_at_ = now;
  const auto at = calls_.try_emplace(no).first;
  Call& c = at->second;
  c.place = Place::kNone;
  c.replayable = replayable;
  c.deadline = deadline;
  c.only = only;
  // What is for one gateway alone has a line of its own: it must not keep others waiting behind it.
  c.profile = profile_of(only < 0 ? profile : fmt::format("{}\n{}", profile, only));
  deadlines_.insert({deadline, no});
  if (c.profile < 0) return finish(now, at, End::kRefused, false, 0, "too many profiles");
  if (calls_.size() > terms_.open_most)
    return finish(now, at, End::kRefused, false, 0, "too many calls in hand");
  Throttle& throttle = lines_[static_cast<size_t>(c.profile)].throttle;
  if (draw() < throttle.stop_chance(now)) {
    throttle.stopped(now);
    return finish(now, at, End::kRefused, false, terms_.backoff_most * draw(), "most calls are refused");
  }
  const Ms usable = usable_at(now, c);
  if (usable > now && usable + kLeastUseful >= deadline)
    return finish(now, at, End::kRefused, false, usable - now, "no gateway within the time given");
  to_line(c, no, false);
}

void Plan::cancel(Ms now, CallNo no) {
  const auto at = calls_.find(no);
  if (at != calls_.end()) give_up(now, at, true, "cancelled");
}

void Plan::link_up(Ms now, LinkNo no) {
  const auto at = links_.find(no);
  if (at == links_.end() || at->second.up) return;
  Link& l = at->second;
  Gateway& g = gateways_[static_cast<size_t>(l.gateway)];
  l.up = true;
  l.passed_at = l.heard_at = now;
  g.connecting -= 1;
  if (l.trial || (terms_.marks && !g.asked_marks)) ask_heartbeat(now, no, l);
}

void Plan::link_lost(Ms now, LinkNo no, Loss::How how, const std::set<int64_t>& unsent) {
  if (links_.count(no)) drop_link(now, no, how, unsent);
}

CallNo Plan::reply(Ms now, LinkNo no, const PlanReply& r) {
  const auto link = links_.find(no);
  if (link == links_.end()) return 0;
  Link& l = link->second;
  Gateway& g = gateways_[static_cast<size_t>(l.gateway)];
  l.heard_at = l.passed_at = now;
  l.silent = false;
  if (r.kind == PlanReply::Kind::kHeartbeat) {
    if (r.id != l.heartbeat || l.heartbeat == 0) return 0;
    l.heartbeat = 0;
    g.marks = r.marks;
    g.asked_marks = true;
    if (!r.healthy) {
      l.trial = false;  // it rests, and is closed for that
      leave_gateway(now, l.gateway, "it says that it is not healthy");
    } else if (l.trial) {
      l.trial = false;
      g.standing.came_back(now);
      PlanAction a;
      a.gateway = l.gateway;
      a.text = "is back";
      pending_.push_back(std::move(a));
    }
    return 0;
  }
  const auto open = l.open.find(r.id);
  if (open == l.open.end()) {
    ++stats_.late_answers;
    // A number that was never given: whatever follows can be no better.
    if (r.id < 1 || r.id > l.last_id) {
      close(no);
      drop_link(now, no, Loss::How::kSpoilt, {});
    }
    return 0;
  }
  const CallNo ended = open->second;
  const auto at = calls_.find(ended);
  Call& c = at->second;
  Throttle& throttle = lines_[static_cast<size_t>(c.profile)].throttle;
  if (r.kind == PlanReply::Kind::kRefused) {
    throttle.refused(now);
    leave_place(c, ended);
    if (r.holdoff > 0) {
      Ms& until = g.away_until[c.profile];
      until = std::max(until, now + std::min(r.holdoff, terms_.holdoff_most));
      hopeless_look_ = true;
    }
    proved_unrun(now, at, now + backoff(c), "refused");
    return 0;
  }
  throttle.taken(now);
  const Ms took = now - c.sent_at;
  g.latency = g.latency > 0 ? g.latency + kLearn * (took - g.latency) : std::max(took, 0.01);
  c.may_have_run = true;
  const bool answered = r.kind == PlanReply::Kind::kAnswered;
  finish(now, at, answered ? End::kAnswered : End::kFailed, false, 0, std::string(r.text));
  return ended;
}

// ---- Links and gateways -------------------------------------------------------------------------

void Plan::open_link(Ms now, int gateway, bool trial) {
  Gateway& g = gateways_[static_cast<size_t>(gateway)];
  Link l;
  l.gateway = gateway;
  l.trial = trial;
  l.made_at = l.passed_at = l.heard_at = now;
  g.links += 1;
  g.connecting += 1;
  ++stats_.connects;
  stats_.reconnects += g.lost_at > 0;
  links_.emplace(++last_link_, std::move(l));
  PlanAction a;
  a.kind = PlanAction::Kind::kConnect;
  a.gateway = gateway;
  a.link = last_link_;
  pending_.push_back(std::move(a));
}

void Plan::ask_heartbeat(Ms now, LinkNo no, Link& l) {
  l.heartbeat = ++l.last_id;
  l.heartbeat_at = l.passed_at = now;
  gateways_[static_cast<size_t>(l.gateway)].asked_marks = true;
  PlanAction a;
  a.kind = PlanAction::Kind::kHeartbeat;
  a.link = no;
  a.id = l.heartbeat;
  pending_.push_back(std::move(a));
}

void Plan::leave_gateway(Ms now, int gateway, const char* why) {
  Gateway& g = gateways_[static_cast<size_t>(gateway)];
  // What else of it is lost belongs to the same outage; only its trial makes it worse.
  if (g.standing.phase() == Standing::Phase::kLeft) return;
  g.standing.leave(now, draw());
  g.marks = g.asked_marks = false;
  ++stats_.outages;
  hopeless_look_ = true;
  PlanAction a;
  a.gateway = gateway;
  a.text = fmt::format("left: {}; tried again in {:.0f} ms", why, g.standing.try_at() - now);
  pending_.push_back(std::move(a));
}

void Plan::drop_link(Ms now, LinkNo no, Loss::How how, const std::set<int64_t>& unsent) {
  static constexpr const char* kWhy[] = {"connection refused", "never came up", "closed", "reset",
                                         "unreadable",         "silent"};
  const auto at = links_.find(no);
  const Link l = std::move(at->second);
  links_.erase(at);
  Gateway& g = gateways_[static_cast<size_t>(l.gateway)];
  g.links -= 1;
  g.connecting -= !l.up;
  Loss loss;
  loss.how = how;
  loss.calls = static_cast<int>(l.open.size());
  for (const auto& [number, other] : links_) loss.others_up += other.gateway == l.gateway && other.up;
  loss.gateway_lost = now - g.lost_at <= terms_.spread.together;
  for (const Gateway& other : gateways_)
    loss.others_lost |= &other != &g && now - other.lost_at <= terms_.spread.together;
  loss.rested = now - l.passed_at;
  const bool idle_close =
      how == Loss::How::kClosed && l.open.empty() && loss.rested >= terms_.spread.idle_close;
  if (!idle_close) g.lost_at = now;
  l.up ? ++stats_.links_lost : ++stats_.connects_failed;
  if (loss.others_up == 0) g.asked_marks = g.marks = false;  // what comes up next may be another program
  if (!l.up && loss.others_up > 0) g.grow_at = now + draw() * terms_.spread.spread;
  const bool outage = l.trial || is_outage(loss, terms_.spread);
  if ((l.trial && g.standing.phase() == Standing::Phase::kTrying) || (outage && g.standing.well()))
    leave_gateway(now, l.gateway, kWhy[static_cast<size_t>(how)]);

  for (const auto& [id, call] : l.open) {
    const auto lost = calls_.find(call);
    Call& c = lost->second;
    g.open -= 1;
    c.place = Place::kNone;
    const Ms from = outage ? now + backoff(c) : now;
    if (unsent.count(id)) {
      proved_unrun(now, lost, from, "its connection ended before it was sent whole");
      continue;
    }
    c.may_have_run = true;
    // Guards against a close of an idle connection that crosses the call, which nobody has read then. The
    // same is seen of a gateway that read the call and died, so nothing non-replayable goes again by it.
    const bool crossing = (how == Loss::How::kClosed || how == Loss::How::kReset) && l.open.size() == 1 &&
                          now - c.sent_at <= kCrossing && c.rested >= kRestedLeast &&
                          l.heard_at < c.sent_at && !c.crossed;
    if (c.replayable && crossing) c.crossed = c.free_repeat = true;
    if (c.replayable && again(now, lost, from)) continue;
    c.free_repeat = false;
    finish(now, lost, End::kUnknown, false, 0, fmt::format("connection {}", kWhy[static_cast<size_t>(how)]));
  }
}

// Ends what has had its time: connections that do not come up, that rest, that say nothing.
void Plan::watch_links(Ms now) {
  std::vector<LinkNo> rested, never, silent;
  for (auto& [no, l] : links_) {
    if (!l.up) {
      if (now >= l.made_at + terms_.connect) never.push_back(no);
      continue;
    }
    if (l.open.empty() && !l.trial) {
      const bool used_up = l.last_id >= terms_.ids_a_link;
      if (l.silent || used_up || (now >= l.passed_at + terms_.idle && l.heartbeat == 0)) {
        rested.push_back(no);
        continue;
      }
    }
    if (l.heartbeat != 0) {
      const Ms since = l.trial ? l.heartbeat_at : std::max(l.heartbeat_at, l.heard_at);
      if (!l.silent && now >= since + terms_.silence) silent.push_back(no);
    } else if (!l.open.empty() && !l.silent && now >= std::max(l.heard_at, l.busy_at) + terms_.silence) {
      ask_heartbeat(now, no, l);
    }
  }
  for (const LinkNo no : never) {
    close(no);
    drop_link(now, no, Loss::How::kNeverUp, {});
  }
  for (const LinkNo no : rested) {
    close(no);
    gateways_[static_cast<size_t>(links_.at(no).gateway)].links -= 1;
    links_.erase(no);
  }
  for (const LinkNo no : silent) {
    Link& l = links_.at(no);
    if (l.trial || l.open.empty()) {
      close(no);
      l.trial = true;  // it failed as one
      Standing& standing = gateways_[static_cast<size_t>(l.gateway)].standing;
      if (standing.well()) standing.trying();
      drop_link(now, no, Loss::How::kSilent, {});
      continue;
    }
    l.silent = true;
    leave_gateway(now, l.gateway, "silent");
    // What may run twice goes elsewhere, if there is an elsewhere; the rest waits for what may still come.
    std::vector<CallNo> movable;
    for (const auto& [id, call] : l.open)
      if (const Call& c = calls_.at(call); c.replayable && usable_at(now, c) + kLeastUseful < c.deadline &&
                                           c.sends < terms_.sends_most &&
                                           budget_.may_repeat(now, reserved_ + movable.size()))
        movable.push_back(call);
    for (const CallNo call : movable) {
      const auto at = calls_.find(call);
      revoke(at->second);
      at->second.may_have_run = true;
      leave_place(at->second, call);
      if (!again(now, at, now)) finish(now, at, End::kUnknown, false, 0, "gateway silent");
    }
  }
}

bool Plan::wanted(Ms now) const { return !calls_.empty() || now - asked_at_ < kWantedFor; }

void Plan::try_left(Ms now) {
  if (!wanted(now)) return;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    Gateway& g = gateways_[i];
    if (g.standing.phase() != Standing::Phase::kLeft || now < g.standing.try_at()) continue;
    g.standing.trying();
    open_link(now, static_cast<int>(i), true);
  }
}

// ---- Sending ------------------------------------------------------------------------------------

void Plan::expire(Ms now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    give_up(now, calls_.find(deadlines_.begin()->second), false, "time over");
}

void Plan::unpark(Ms now) {
  while (!parked_.empty() && parked_.begin()->first <= now) {
    const CallNo no = parked_.begin()->second;
    Call& c = calls_.at(no);
    leave_place(c, no);
    to_line(c, no, false);
  }
}

// Whatever can't be sent within its time hears so now, not at its end.
void Plan::refuse_hopeless(Ms now) {
  if (!hopeless_look_) return;
  hopeless_look_ = false;
  std::vector<CallNo> hopeless;
  for (const auto& [no, c] : calls_) {
    const Ms at = usable_at(now, c);
    if (c.place != Place::kOut && at > now && at + kLeastUseful >= c.deadline) hopeless.push_back(no);
  }
  std::sort(hopeless.begin(), hopeless.end());
  for (const CallNo no : hopeless) {
    const auto at = calls_.find(no);
    end_unsent(now, at, "no gateway within the time left");
  }
}

double Plan::score(const Gateway& g) const {
  Ms unknown = 0;  // a gateway not met yet is taken to be as quick as the quickest
  for (const Gateway& other : gateways_)
    if (other.latency > 0) unknown = unknown > 0 ? std::min(unknown, other.latency) : other.latency;
  return (g.open + 1) * (g.latency > 0 ? g.latency : std::max(unknown, 1.0));
}

LinkNo Plan::room_on(int gateway) const {
  LinkNo best = 0;
  size_t fewest = SIZE_MAX;
  for (const auto& [no, l] : links_) {
    if (l.gateway != gateway || !l.up || l.trial || l.silent || l.last_id >= terms_.ids_a_link) continue;
    if (l.open.size() >= static_cast<size_t>(terms_.calls_a_link)) continue;
    if (l.open.size() * 2 < static_cast<size_t>(terms_.calls_a_link)) return no;
    if (l.open.size() < fewest) best = no, fewest = l.open.size();
  }
  return best;
}

bool Plan::may_open(Ms now, int gateway) const {
  const Gateway& g = gateways_[static_cast<size_t>(gateway)];
  if (!g.standing.well() || g.links >= terms_.links_most || now < g.grow_at) return false;
  size_t waiting = 0;
  for (const Line& line : lines_) waiting += line.calls.size();
  return static_cast<size_t>(g.connecting) * static_cast<size_t>(terms_.calls_a_link) < waiting;
}

// The better of two drawn among the gateways that are well and not to be stayed away from; -1: none is.
int Plan::choose(Ms now, const Call& c, int& other) {
  std::vector<int> usable;
  for (size_t i = 0; i < gateways_.size(); ++i) {
    const Gateway& g = gateways_[i];
    const auto away = g.away_until.find(c.profile);
    if (c.only >= 0 && static_cast<int>(i) != c.only) continue;
    if (g.standing.well() && (away == g.away_until.end() || now >= away->second))
      usable.push_back(static_cast<int>(i));
  }
  other = -1;
  if (usable.empty()) return -1;
  if (usable.size() == 1) return usable[0];
  const auto size = static_cast<uint32_t>(usable.size());
  const uint32_t first = chance_(size);
  uint32_t second = chance_(size - 1);
  second += second >= first;
  int a = usable[first], b = usable[second];
  if (score(gateways_[static_cast<size_t>(b)]) < score(gateways_[static_cast<size_t>(a)])) std::swap(a, b);
  other = b;
  if (room_on(a) || room_on(b)) return a;
  for (const int g : usable)
    if (room_on(g)) other = g;
  return a;
}

void Plan::send(Ms now, CallNo no, Call& c, LinkNo to) {
  Link& l = links_.at(to);
  Gateway& g = gateways_[static_cast<size_t>(l.gateway)];
  if (c.sends == 0) {
    budget_.first(now);
  } else if (c.free_repeat) {
    c.free_repeat = false;
    ++stats_.crossings;
  } else {
    budget_.repeat(now);
    c.reserved = false;
    --reserved_;
    ++stats_.repeats;
  }
  leave_place(c, no);
  c.rested = l.open.empty() ? now - l.passed_at : 0;
  if (l.open.empty()) l.busy_at = now;
  c.place = Place::kOut;
  c.link = to;
  c.gateway = l.gateway;
  c.id = ++l.last_id;
  c.sent_at = l.passed_at = now;
  c.sends += 1;
  c.req = new_req();
  if (c.sends == 1) c.first_req = c.req;
  l.open[c.id] = no;
  g.open += 1;
  ++stats_.sends;
  PlanAction a;
  a.kind = PlanAction::Kind::kSend;
  a.gateway = l.gateway;
  a.link = to;
  a.call = no;
  a.id = c.id;
  a.req = hex(c.req);
  if (c.sends > 1 && g.marks) a.first = hex(c.first_req);
  a.timeout = c.deadline - now;
  pending_.push_back(std::move(a));
}

// The head of a line; false: it has to wait, and so have those behind it.
bool Plan::place_one(Ms now, Line& line, int profile) {
  if (line.calls.empty()) return false;
  const CallNo no = line.calls.front();
  const auto at = calls_.find(no);
  Call& c = at->second;
  if (c.deadline - now < kLeastUseful) {
    give_up(now, at, false, "time over");
    return true;
  }
  int other = -1;
  const int gateway = choose(now, c, other);
  if (gateway < 0) {
    // Those that are well want to be left alone: behind that, each call at a moment of its own.
    Ms until = 1e18;
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (c.only >= 0 && static_cast<int>(i) != c.only) continue;
      const Gateway& g = gateways_[i];
      const auto away = g.away_until.find(profile);
      if (g.standing.well() && away != g.away_until.end()) until = std::min(until, away->second);
    }
    if (until > 1e17) return false;
    const Ms behind = std::max(kHeldBehind, kBehindShare * (until - now));
    const Ms from = until + draw() * std::min(behind, std::max(0.0, c.deadline - kLeastUseful - until));
    leave_place(c, no);
    park(c, no, from);
    hopeless_look_ = true;
    return true;
  }
  LinkNo link = room_on(gateway);
  if (!link) {
    if (may_open(now, gateway)) open_link(now, gateway, false);
    if (other >= 0) {
      link = room_on(other);
      if (!link && may_open(now, other)) open_link(now, other, false);
    }
  }
  if (!link) return false;
  if (c.sends > 0 && !c.free_repeat && !budget_.may_repeat(now, reserved_ - 1)) {
    // The first tries that its place was taken by have left the window meanwhile.
    end_unsent(now, at, "no repeats left");
    return true;
  }
  send(now, no, c, link);
  return true;
}

void Plan::place_calls(Ms now) {
  if (lines_.empty()) return;
  // A call from each line in turn, so that no profile's crowd keeps the others out.
  for (bool any = true; any;) {
    any = false;
    for (size_t i = 0; i < lines_.size(); ++i) {
      const size_t p = (next_line_ + i) % lines_.size();
      any |= place_one(now, lines_[p], static_cast<int>(p));
    }
  }
  next_line_ = (next_line_ + 1) % lines_.size();
}

void Plan::decide(Ms now, PlanActions& out) {
  decided_at_ = now;
  if (budget_.wants_draw(now)) budget_.draw(now, draw());
  expire(now);
  watch_links(now);
  unpark(now);
  try_left(now);
  refuse_hopeless(now);
  place_calls(now);
  refuse_hopeless(now);
  if (out.empty()) {
    out.swap(pending_);
  } else {
    std::move(pending_.begin(), pending_.end(), std::back_inserter(out));
  }
  pending_.clear();
}

Ms Plan::next_due() const {
  Ms due = 1e18;
  if (!pending_.empty()) return 1;
  if (!deadlines_.empty()) due = std::min(due, deadlines_.begin()->first);
  if (!parked_.empty()) due = std::min(due, parked_.begin()->first);
  bool waiting = false;
  for (const Line& line : lines_) waiting |= !line.calls.empty();
  for (const auto& [no, l] : links_) {
    if (!l.up) {
      due = std::min(due, l.made_at + terms_.connect);
    } else if (l.heartbeat != 0) {
      if (!l.silent)
        due =
            std::min(due, (l.trial ? l.heartbeat_at : std::max(l.heartbeat_at, l.heard_at)) + terms_.silence);
    } else if (l.open.empty()) {
      due = std::min(due, l.passed_at + terms_.idle);
    } else if (!l.silent) {
      due = std::min(due, std::max(l.heard_at, l.busy_at) + terms_.silence);
    }
  }
  for (const Gateway& g : gateways_) {
    if (g.standing.phase() == Standing::Phase::kLeft && !calls_.empty())
      due = std::min(due, g.standing.try_at());
    if (waiting && g.grow_at > decided_at_ && g.links < terms_.links_most) due = std::min(due, g.grow_at);
  }
  return due > 1e17 ? 0 : due;
}

}  // namespace firvalve::client
