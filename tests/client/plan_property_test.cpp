// The plan against generated scripts of events in virtual time: a world that accepts, refuses, answers, stays
// silent and breaks connections at any moment. What plan.h promises is checked by this file's own account of
// what was sent, not by the plan's.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>
#include <set>

#include "client/plan.h"

namespace firvalve::client {
namespace {

using Kind = PlanAction::Kind;

struct Step {
  uint8_t what = 0;
  uint16_t which = 0, how = 0;
};
std::ostream& operator<<(std::ostream& out, const Step& s) {
  return out << '{' << int(s.what) << ',' << s.which << ',' << s.how << '}';
}

class World {
 public:
  explicit World(const PlanOptions& options) : options_(options), plan_(options) {}

  void play(const Step& s) {
    switch (s.what % 16) {
      case 0:
      case 1:
      case 2:
        ask(s);
        break;
      case 3:
      case 4:
        pass(s.how % 400);
        break;
      case 5:
        pass(s.how % 5000);
        break;
      case 6:
      case 7:
        come_up(s.which);
        break;
      case 8:
        refuse(s.which);
        break;
      case 9:
      case 10:
      case 11:
        answer(s);
        break;
      case 12:
        shed(s);
        break;
      case 13:
        lose(s);
        break;
      case 14:
        beat(s);
        break;
      case 15:
        cancel(s.which);
        break;
    }
    turn();
  }

  void end() {
    for (int i = 0; i < 200; ++i) {
      pass(500);
      turn();
    }
    for (const auto& [no, call] : calls_) RC_ASSERT(call.ended);
    RC_ASSERT(plan_.in_hand() == 0u);
  }

 private:
  struct Call {
    bool replayable = false, ended = false,
         sound = true;  // sound: each earlier send is proved not to have run
    std::string profile;
    Ms deadline = 0;
    int sends = 0, crossings = 0;
    bool may_cross = false;
  };
  struct Link {
    int gateway = 0;
    bool up = false;
    int64_t last_id = 0;
    std::map<int64_t, CallNo> open;
    std::set<int64_t> revoked, beats;
    Ms passed_at = 0, heard_at = 0;
    std::map<int64_t, std::pair<Ms, Ms>> sent;  // when, and how long it had rested
  };

  template <class Map>
  static auto pick(Map& map, uint16_t which) {
    auto at = map.begin();
    std::advance(at, which % map.size());
    return at;
  }

  void ask(const Step& s) {
    Call c;
    c.replayable = s.which % 2 == 0;
    c.profile = s.which % 3 == 0 ? "report" : "lookup";
    c.deadline = now_ + 1 + s.how % 4000;
    calls_[++last_call_] = c;
    plan_.call(now_, last_call_, c.profile, c.replayable, c.deadline);
  }
  // Time goes on as a driver would let it: it wakes when the plan wants it.
  void pass(Ms wait) {
    const Ms until = now_ + wait;
    for (int i = 0; i < 1000; ++i) {
      const Ms due = plan_.next_due();
      if (due == 0 || due > until) break;
      RC_ASSERT(i < 999);  // it does not spin
      now_ = std::max(now_, due);
      turn();
    }
    now_ = until;
  }
  void come_up(uint16_t which) {
    if (links_.empty()) return;
    const auto at = pick(links_, which);
    if (at->second.up) return;
    at->second.up = true;
    at->second.passed_at = now_;
    plan_.link_up(now_, at->first);
  }
  void refuse(uint16_t which) {
    if (links_.empty()) return;
    const auto at = pick(links_, which);
    if (at->second.up) return;
    const LinkNo no = at->first;
    links_.erase(at);
    plan_.link_lost(now_, no, Loss::How::kRefused);
  }
  void answer(const Step& s) {
    if (links_.empty()) return;
    const auto at = pick(links_, s.which);
    Link& l = at->second;
    PlanReply r;
    r.kind = s.how % 7 == 0 ? PlanReply::Kind::kFailed : PlanReply::Kind::kAnswered;
    l.passed_at = l.heard_at = now_;
    if (s.how % 11 == 0 || l.open.empty()) {  // late, or a second one
      if (!l.up || l.last_id == 0) return;
      r.id = 1 + s.how % l.last_id;
      if (l.open.count(r.id) || l.beats.count(r.id)) return;
      RC_ASSERT(plan_.reply(now_, at->first, r) == 0u);
      return;
    }
    const auto open = pick(l.open, s.how);
    r.id = open->first;
    const CallNo no = open->second;
    l.open.erase(open);
    RC_ASSERT(plan_.reply(now_, at->first, r) == no);
  }
  void shed(const Step& s) {
    if (links_.empty()) return;
    const auto at = pick(links_, s.which);
    Link& l = at->second;
    if (l.open.empty()) return;
    const auto open = pick(l.open, s.how);
    PlanReply r;
    r.kind = PlanReply::Kind::kRefused;
    r.id = open->first;
    static const Ms kHoldoffs[] = {0, 50, 700, 1e12};
    r.holdoff = kHoldoffs[s.how % 4];
    const Call& c = calls_.at(open->second);
    if (r.holdoff > 0) {
      Ms& until = away_[{l.gateway, c.profile}];
      until = std::max(until, now_ + std::min(r.holdoff, options_.holdoff_most));
    }
    l.open.erase(open);
    l.passed_at = l.heard_at = now_;
    plan_.reply(now_, at->first, r);
  }
  void lose(const Step& s) {
    if (links_.empty()) return;
    const auto at = pick(links_, s.which);
    Link l = at->second;
    if (!l.up) return;
    static const Loss::How kHows[] = {Loss::How::kClosed, Loss::How::kReset, Loss::How::kSpoilt};
    const Loss::How how = kHows[s.how % 3];
    std::set<int64_t> unsent;
    for (const auto& [id, no] : l.open) {
      if ((s.how >> 4) % 5 == 0 && id % 2 == 0) {
        unsent.insert(id);
        continue;
      }
      Call& c = calls_.at(no);
      c.sound = false;
      const auto [sent_at, rested] = l.sent.at(id);
      c.may_cross = how != Loss::How::kSpoilt && l.open.size() == 1 && now_ - sent_at <= 50 &&
                    rested >= 1000 && l.heard_at < sent_at && c.crossings == 0;
    }
    const LinkNo no = at->first;
    links_.erase(at);
    plan_.link_lost(now_, no, how, unsent);
  }
  void beat(const Step& s) {
    if (links_.empty()) return;
    const auto at = pick(links_, s.which);
    Link& l = at->second;
    if (l.beats.empty()) return;
    PlanReply r;
    r.kind = PlanReply::Kind::kHeartbeat;
    r.id = *l.beats.begin();
    l.beats.erase(l.beats.begin());
    r.healthy = s.how % 5 != 0;
    r.marks = s.how % 2 == 0;
    l.passed_at = l.heard_at = now_;
    plan_.reply(now_, at->first, r);
  }
  void cancel(uint16_t which) {
    if (calls_.empty()) return;
    plan_.cancel(now_, pick(calls_, which)->first);
  }

  void turn() {
    PlanActions actions;
    plan_.decide(now_, actions);
    for (const PlanAction& a : actions) check(a);
  }

  void check(const PlanAction& a) {
    switch (a.kind) {
      case Kind::kConnect:
        RC_ASSERT(links_.count(a.link) == 0u);
        links_[a.link].gateway = a.gateway;
        break;
      case Kind::kClose:
        links_.erase(a.link);
        break;
      case Kind::kHeartbeat: {
        Link& l = links_.at(a.link);
        RC_ASSERT(a.id > l.last_id);
        l.last_id = a.id;
        l.beats.insert(a.id);
        l.passed_at = now_;
        break;
      }
      case Kind::kRevoke: {
        const auto link = links_.find(a.link);
        if (link == links_.end()) break;
        RC_ASSERT(link->second.revoked.insert(a.id).second);
        RC_ASSERT(link->second.open.count(a.id) == 1u);
        calls_.at(link->second.open.at(a.id)).sound = false;
        link->second.open.erase(a.id);
        break;
      }
      case Kind::kEnd: {
        Call& c = calls_.at(a.call);
        RC_ASSERT(!c.ended);
        c.ended = true;
        RC_ASSERT(a.sends == c.sends);
        if (a.end == End::kRefused) RC_ASSERT(c.sound);
        if (!a.may_have_run && a.end != End::kAnswered) RC_ASSERT(c.sound);
        if (!c.replayable && a.end == End::kExpired) RC_ASSERT(c.sound);
        break;
      }
      case Kind::kSend:
        check_send(a);
        break;
      case Kind::kLog:
        break;
    }
  }

  void check_send(const PlanAction& a) {
    Link& l = links_.at(a.link);
    Call& c = calls_.at(a.call);
    RC_ASSERT(l.up);
    RC_ASSERT(!c.ended);
    RC_ASSERT(now_ < c.deadline);
    RC_ASSERT(a.timeout == c.deadline - now_);
    RC_ASSERT(a.id > l.last_id);
    RC_ASSERT(c.replayable || c.sound);
    const auto away = away_.find({l.gateway, c.profile});
    RC_ASSERT(away == away_.end() || now_ >= away->second);
    RC_ASSERT(c.sends < options_.sends_most);
    RC_ASSERT(reqs_.insert(a.req).second);
    if (c.sends == 0) {
      firsts_.push_back(now_);
      RC_ASSERT(a.first.empty());
    } else if (c.may_cross) {
      ++c.crossings;
    } else {
      repeats_.push_back(now_);
      const auto in = [&](const std::vector<Ms>& all) {
        return static_cast<double>(
            std::count_if(all.begin(), all.end(), [&](Ms t) { return t >= now_ - options_.retry_window; }));
      };
      RC_ASSERT(in(repeats_) <= options_.retry_share * in(firsts_) + 1);
    }
    c.may_cross = false;
    c.sends += 1;
    l.last_id = a.id;
    l.sent[a.id] = {now_, l.open.empty() ? now_ - l.passed_at : 0};
    l.open[a.id] = a.call;
    l.passed_at = now_;
    RC_ASSERT(l.open.size() <= static_cast<size_t>(options_.calls_a_link));
  }

  const PlanOptions options_;
  Plan plan_;
  Ms now_ = 1000;
  CallNo last_call_ = 0;
  std::map<CallNo, Call> calls_;
  std::map<LinkNo, Link> links_;
  std::map<std::pair<int, std::string>, Ms> away_;
  std::vector<Ms> firsts_, repeats_;
  std::set<std::string> reqs_;
};

rc::Gen<std::vector<Step>> scripts() {
  return rc::gen::scale(
      4.0, rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
               rc::gen::set(&Step::what), rc::gen::set(&Step::which, rc::gen::inRange<uint16_t>(0, 1000)),
               rc::gen::set(&Step::how, rc::gen::inRange<uint16_t>(0, 10000)))));
}

void run(int gateways, double share, int calls_a_link) {
  PlanOptions options;
  options.gateways = gateways;
  options.seed = *rc::gen::arbitrary<uint64_t>();
  options.retry_share = share;
  options.retry_window = 3000;
  options.calls_a_link = calls_a_link;
  options.links_most = 2;
  options.ids_a_link = 20;
  World world(options);
  for (const Step& s : *scripts()) world.play(s);
  world.end();
}

RC_GTEST_PROP(PlanProperty, HoldsWithOneGateway, ()) { run(1, 0.5, 32); }
RC_GTEST_PROP(PlanProperty, HoldsWithThreeGateways, ()) { run(3, 0.3, 3); }
RC_GTEST_PROP(PlanProperty, HoldsWithoutRepeats, ()) { run(2, 0, 2); }
RC_GTEST_PROP(PlanProperty, HoldsWithEveryRepeat, ()) { run(2, 1, 32); }

}  // namespace
}  // namespace firvalve::client
