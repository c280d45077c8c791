#include "record/keeper.h"

#include <algorithm>

#include "index/planted.h"
#include "record/digest.h"

namespace firvalve::record {

namespace {

// A life is a count and a draw: the count lets a later one be greater, the draw keeps two first ones apart.
constexpr int kDrawBits = 40;
constexpr Life drawn(uint64_t chance) { return chance & ((Life{1} << kDrawBits) - 1); }
constexpr Life after(Life life, uint64_t chance) {
  return (((life >> kDrawBits) + 1) << kDrawBits) | drawn(chance);
}

}  // namespace

bool Fact::made(uint64_t id) const {
  return change == id || std::find(before.begin(), before.end(), id) != before.end();
}

Keeper::Keeper(const KeeperTerms& terms, uint64_t chance) : terms_(terms), sources_(terms.keepers) {
  standing_.life = drawn(chance) | 1;
  standing_.lives.assign(terms.keepers, 0);
  standing_.founders.assign(terms.keepers, 0);
  standing_.lives[terms.self] = standing_.life;
  standing_changed_ = true;
  if (terms.keepers == 1 || planted(Flaw::kForgetfulKeeper)) standing_.full = true;
}

Keeper::Keeper(const KeeperTerms& terms, Standing standing, std::map<std::string, Slot> slots)
    : terms_(terms), standing_(std::move(standing)), slots_(std::move(slots)), sources_(terms.keepers) {
  standing_.lives.resize(terms.keepers);
  standing_.founders.resize(terms.keepers);
  for (const auto& [key, slot] : slots_) {
    bytes_ += slot.fact.value.size();
    if (slot.fact.version > 0) touch(key);
  }
  // Who had begun to recover was answered for a life that may be noted already: it takes the next one.
  recovering_ = false;
}

Message Keeper::answer(const Message& m, Say say) const {
  Message out;
  out.say = say;
  out.op = m.op;
  out.life = standing_.life;
  if (say == Say::kPromise || say == Say::kAccepted || say == Say::kStandingIs || say == Say::kState)
    out.lives = standing_.lives;
  return out;
}

// Null: there is no room for another key.
Slot* Keeper::slot(const std::string& key) {
  const auto at = slots_.find(key);
  if (at != slots_.end()) return &at->second;
  if (slots_.size() >= terms_.facts_most || key.size() > kKeyMost) return nullptr;
  return &slots_[key];
}

void Keeper::touch(const std::string& key) {
  uint64_t& at = ordered_[key];
  if (at != 0) order_.erase(at);
  at = ++last_;
  order_[at] = key;
}

void Keeper::note(Peer keeper, Life life) {
  if (standing_.lives[keeper] >= life) return;
  standing_.lives[keeper] = life;
  standing_changed_ = true;
}

void Keeper::hold(Ms now, const std::string& key, Slot& slot, const Message& m) {
  const bool news = slot.fact.change != m.fact.change;
  bytes_ += m.fact.value.size() - slot.fact.value.size();
  slot.promised = slot.held = m.ballot;
  slot.fact = m.fact;
  dirty_[key] = true;
  if (!news) return;
  touch(key);
  urgent_ |= m.fact.urgent;
  if (told_at_ == 0) told_at_ = now;
}

void Keeper::hear(Ms now, Peer from, const Message& m) {
  const bool keeper = from < terms_.keepers && from != terms_.self;
  switch (m.say) {
    case Say::kStanding: {
      if (!keeper) return;
      Message out = answer(m, Say::kStandingIs);
      out.full = standing_.full;
      out.founders = standing_.founders;
      return say(from, std::move(out));
    }
    case Say::kStandingIs:
      if (keeper) hear_standing(from, m);
      return;
    case Say::kState:
      if (keeper) hear_state(from, m);
      return;
    default:
      break;
  }
  if (!standing_.full) return;
  switch (m.say) {
    case Say::kPrepare: {
      Slot* const s = slot(m.key);
      if (!s || m.ballot < s->promised) {
        Message out = answer(m, Say::kRefused);
        if (s) out.ballot = s->promised;
        out.full = !s;
        return say(from, std::move(out));
      }
      if (s->promised != m.ballot) dirty_[m.key] = true;
      s->promised = m.ballot;
      Message out = answer(m, Say::kPromise);
      out.ballot = m.ballot;
      out.held = s->held;
      out.fact = s->fact;
      return say(from, std::move(out));
    }
    case Say::kAccept: {
      Slot* const s = slot(m.key);
      const bool grows = s && m.fact.value.size() > s->fact.value.size() &&
                         bytes_ + m.fact.value.size() - s->fact.value.size() > terms_.bytes_most;
      const bool large = grows || m.fact.value.size() > kValueMost || m.fact.before.size() > kRemembered;
      if (!s || large || (m.ballot < s->promised && !planted(Flaw::kNoPromise))) {
        Message out = answer(m, Say::kRefused);
        if (s) out.ballot = s->promised;
        out.full = !s || large;
        return say(from, std::move(out));
      }
      // The same once more changes nothing and is answered again.
      if (s->held != m.ballot) hold(now, m.key, *s, m);
      Message out = answer(m, Say::kAccepted);
      out.ballot = m.ballot;
      return say(from, std::move(out));
    }
    case Say::kLook: {
      Looker looker{m.op, m.life == standing_.life ? m.since : 0, now};
      if (order_.upper_bound(looker.since) != order_.end() || m.life != standing_.life)
        return tell(from, looker);
      lookers_[from] = looker;
      return;
    }
    case Say::kFetch: {
      if (!keeper) return;
      if (m.op < standing_.lives[from]) {  // a later life of it is noted here: it has to go past that
        Message out = answer(m, Say::kStandingIs);
        out.full = true;
        out.founders = standing_.founders;
        return say(from, std::move(out));
      }
      note(from, m.op);
      Message out = answer(m, Say::kState);
      auto at = m.key.empty() ? slots_.begin() : slots_.upper_bound(m.key);
      for (size_t bytes = 0; at != slots_.end() && fits(out, bytes); ++at) {
        bytes += at->second.fact.value.size();
        out.entries.emplace_back(at->first, at->second);
      }
      out.more = at != slots_.end();
      return say(from, std::move(out));
    }
    default:
      return;
  }
}

bool Keeper::fits(const Message& m, size_t entries_bytes) const {
  return m.entries.size() < terms_.page && entries_bytes < terms_.page_bytes;
}

void Keeper::tell(Peer to, const Looker& looker) {
  Message out;
  out.say = Say::kChanges;
  out.op = looker.op;
  out.life = standing_.life;
  out.since = looker.since;
  auto at = order_.upper_bound(looker.since);
  for (size_t bytes = 0; at != order_.end() && fits(out, bytes); ++at) {
    const Slot& slot = slots_[at->second];
    bytes += slot.fact.value.size();
    out.entries.emplace_back(at->second, slot);
    out.since = at->first;
  }
  out.more = at != order_.end();
  say(to, std::move(out));
}

// Without a memory: what the others are decides what it may do.
void Keeper::hear_standing(Peer from, const Message& m) {
  if (standing_.full || m.op != standing_.life || m.lives.size() != terms_.keepers ||
      m.founders.size() != terms_.keepers)
    return;
  Source& s = sources_[from];
  const bool same = s.answered && s.life == m.life;
  s.answered = true;
  s.full = m.full;
  s.life = m.life;
  s.lives = m.lives;
  s.founders = m.founders;
  if (!same) s.fetched = false, s.have.clear();
  if (s.full && !recovering_ && s.founders[terms_.self] == standing_.life) return begin(s.lives, s.founders);
  uint32_t fresh = 0, full = 0;
  for (Peer p = 0; p < terms_.keepers; ++p) {
    if (p == terms_.self || !sources_[p].answered) continue;
    sources_[p].full ? ++full : ++fresh;
  }
  if (fresh + 1 == terms_.keepers && !recovering_) {
    std::vector<Life> lives(terms_.keepers);
    for (Peer p = 0; p < terms_.keepers; ++p) lives[p] = p == terms_.self ? standing_.life : sources_[p].life;
    return begin(lives, lives);
  }
  if (full < majority(terms_.keepers)) return;
  if (!recovering_ || s.lives[terms_.self] > standing_.life) recover();
}

void Keeper::begin(std::vector<Life> lives, std::vector<Life> founders) {
  standing_.full = true;
  standing_.lives = std::move(lives);
  standing_.lives[terms_.self] = standing_.life;
  standing_.founders = std::move(founders);
  standing_changed_ = true;
  ask_at_ = 0;
}

// A life past every one that a full keeper has noted; whoever answered for the one before is asked anew.
void Keeper::recover() {
  Life most = standing_.life;
  for (const Source& s : sources_)
    if (s.answered && s.full) most = std::max(most, s.lives[terms_.self]);
  recovering_ = true;
  standing_.life = after(most, standing_.life);
  standing_.lives[terms_.self] = standing_.life;
  standing_changed_ = true;
  for (Peer p = 0; p < terms_.keepers; ++p) {
    sources_[p].fetched = false;
    sources_[p].have.clear();
    if (sources_[p].answered && sources_[p].full) fetch(p);
  }
}

void Keeper::fetch(Peer from) {
  Message m;
  m.say = Say::kFetch;
  m.op = standing_.life;
  m.key = sources_[from].have;
  say(from, std::move(m));
}

void Keeper::hear_state(Peer from, const Message& m) {
  Source& s = sources_[from];
  if (standing_.full || !recovering_ || m.op != standing_.life || m.lives.size() != terms_.keepers ||
      s.fetched)
    return;
  // It has itself lost its memory since: what came of it before counts no longer.
  if (m.life != s.life) return;
  // A page that was asked for twice comes twice: only what goes on from what is here moves the place.
  for (const auto& [key, theirs] : m.entries) {
    Slot& mine = slots_[key];
    mine.promised = std::max(mine.promised, theirs.promised);
    if (theirs.held > mine.held) {
      bytes_ += theirs.fact.value.size() - mine.fact.value.size();
      mine.held = theirs.held;
      mine.fact = theirs.fact;
    }
    s.have = std::max(s.have, key);
  }
  for (Peer p = 0; p < terms_.keepers; ++p)
    if (p != terms_.self) note(p, m.lives[p]);
  if (m.more) return fetch(from);
  s.fetched = true;
  uint32_t whole = 0;
  for (const Source& each : sources_) whole += each.fetched;
  if (whole < majority(terms_.keepers)) return;
  for (const auto& [key, slot] : slots_) {
    dirty_[key] = true;
    if (slot.fact.version > 0) touch(key);
  }
  std::vector<Life> founders = s.founders;
  recovering_ = false;
  begin(standing_.lives, std::move(founders));
}

void Keeper::due(Ms now) {
  if (!standing_.full && now >= ask_at_) {
    ask_at_ = now + terms_.ask_again;
    for (Peer p = 0; p < terms_.keepers; ++p) {
      if (p == terms_.self) continue;
      Message m;
      m.say = Say::kStanding;
      m.op = standing_.life;
      say(p, std::move(m));
      if (recovering_ && sources_[p].full && !sources_[p].fetched) fetch(p);
    }
  }
  const bool all = urgent_ || (told_at_ > 0 && now >= told_at_ + terms_.look_every);
  if (all) urgent_ = false, told_at_ = 0;
  for (auto at = lookers_.begin(); at != lookers_.end();) {
    const bool news = all && order_.upper_bound(at->second.since) != order_.end();
    if (!news && now < at->second.at + terms_.look_longest) {
      ++at;
      continue;
    }
    tell(at->first, at->second);
    at = lookers_.erase(at);
  }
}

Ms Keeper::next_due() const {
  Ms next = standing_.full ? 0 : std::max(ask_at_, 1.0);
  const auto sooner = [&next](Ms at) {
    if (next == 0 || at < next) next = at;
  };
  for (const auto& [peer, looker] : lookers_) sooner(looker.at + terms_.look_longest);
  if (!lookers_.empty() && urgent_) sooner(1);
  if (!lookers_.empty() && told_at_ > 0) sooner(told_at_ + terms_.look_every);
  return next;
}

Step Keeper::take() {
  Step step;
  if (standing_changed_) step.standing = standing_;
  standing_changed_ = false;
  for (const auto& [key, dirty] : dirty_) step.writes.emplace_back(key, slots_[key]);
  dirty_.clear();
  step.sends.swap(sends_);
  return step;
}

void Keeper::unwritten(Step step) {
  standing_changed_ |= step.standing.has_value();
  for (const auto& [key, slot] : step.writes) dirty_[key] = true;
}

std::string Keeper::digest() const {
  Digest d;
  d.add(standing_);
  for (const auto& [key, slot] : slots_) d.add(key).add(slot);
  d.add(recovering_);
  if (!standing_.full)
    for (const Source& s : sources_)
      d.add(s.answered).add(s.full).add(s.fetched).add(s.life).add(s.lives).add(s.founders).add(s.have);
  return d.text();
}

}  // namespace firvalve::record
