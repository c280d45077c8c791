#include "consensus/acceptor.h"

#include <algorithm>

#include "base/injected_bug.h"
#include "consensus/digest.h"

namespace firvalve::consensus {

namespace {

// A life is a count and a draw: the count lets a later one be greater, the draw keeps two first ones apart.
constexpr int kDrawBits = 40;
constexpr Incarnation drawn(uint64_t chance) { return chance & ((Incarnation{1} << kDrawBits) - 1); }
constexpr Incarnation after(Incarnation life, uint64_t chance) {
  return (((life >> kDrawBits) + 1) << kDrawBits) | drawn(chance);
}

}  // namespace

bool Register::made(uint64_t id) const {
  return change == id || std::find(before.begin(), before.end(), id) != before.end();
}

Acceptor::Acceptor(const AcceptorOptions& options, uint64_t chance)
    : options_(options), sources_(options.keepers) {
  standing_.life = drawn(chance) | 1;
  standing_.lives.assign(options.keepers, 0);
  standing_.founders.assign(options.keepers, 0);
  standing_.lives[options.self] = standing_.life;
  standing_changed_ = true;
  if (options.keepers == 1 || is_injected(InjectedBug::kForgetfulKeeper)) standing_.full = true;
}

Acceptor::Acceptor(const AcceptorOptions& options, ReplicaMetadata standing,
                   std::map<std::string, AcceptorSlot> slots)
    : options_(options), standing_(std::move(standing)), slots_(std::move(slots)), sources_(options.keepers) {
  standing_.lives.resize(options.keepers);
  standing_.founders.resize(options.keepers);
  for (const auto& [key, slot] : slots_) {
    bytes_ += slot.fact.value.size();
    if (slot.fact.version > 0) touch(key);
  }
  // Who had begun to recover was answered for a life that may be noted already: it takes the next one.
  recovering_ = false;
}

Message Acceptor::answer(const Message& m, MessageType say) const {
  Message out;
  out.say = say;
  out.op = m.op;
  out.life = standing_.life;
  if (say == MessageType::kPromise || say == MessageType::kAccepted || say == MessageType::kStandingIs ||
      say == MessageType::kState)
    out.lives = standing_.lives;
  return out;
}

// Null: there is no room for another key.
AcceptorSlot* Acceptor::slot(const std::string& key) {
  const auto at = slots_.find(key);
  if (at != slots_.end()) return &at->second;
  if (slots_.size() >= options_.facts_most || key.size() > kKeyMost) return nullptr;
  return &slots_[key];
}

void Acceptor::touch(const std::string& key) {
  uint64_t& at = ordered_[key];
  if (at != 0) order_.erase(at);
  at = ++last_;
  order_[at] = key;
}

void Acceptor::note(PeerId keeper, Incarnation life) {
  if (standing_.lives[keeper] >= life) return;
  standing_.lives[keeper] = life;
  standing_changed_ = true;
}

void Acceptor::hold(Ms now, const std::string& key, AcceptorSlot& slot, const Message& m) {
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

void Acceptor::handle(Ms now, PeerId from, const Message& m) {
  const bool keeper = from < options_.keepers && from != options_.self;
  switch (m.say) {
    case MessageType::kStanding: {
      if (!keeper) return;
      Message out = answer(m, MessageType::kStandingIs);
      out.full = standing_.full;
      out.founders = standing_.founders;
      return say(from, std::move(out));
    }
    case MessageType::kStandingIs:
      if (keeper) hear_standing(from, m);
      return;
    case MessageType::kState:
      if (keeper) hear_state(from, m);
      return;
    default:
      break;
  }
  if (!standing_.full) return;
  switch (m.say) {
    case MessageType::kPrepare: {
      AcceptorSlot* const s = slot(m.key);
      if (!s || m.ballot < s->promised) {
        Message out = answer(m, MessageType::kRefused);
        if (s) out.ballot = s->promised;
        out.full = !s;
        return say(from, std::move(out));
      }
      if (s->promised != m.ballot) dirty_[m.key] = true;
      s->promised = m.ballot;
      Message out = answer(m, MessageType::kPromise);
      out.ballot = m.ballot;
      out.held = s->held;
      out.fact = s->fact;
      return say(from, std::move(out));
    }
    case MessageType::kAccept: {
      AcceptorSlot* const s = slot(m.key);
      const bool grows = s && m.fact.value.size() > s->fact.value.size() &&
                         bytes_ + m.fact.value.size() - s->fact.value.size() > options_.bytes_most;
      const bool large = grows || m.fact.value.size() > kValueMost || m.fact.before.size() > kRemembered;
      if (!s || large || (m.ballot < s->promised && !is_injected(InjectedBug::kNoPromise))) {
        Message out = answer(m, MessageType::kRefused);
        if (s) out.ballot = s->promised;
        out.full = !s || large;
        return say(from, std::move(out));
      }
      // The same once more changes nothing and is answered again.
      if (s->held != m.ballot) hold(now, m.key, *s, m);
      Message out = answer(m, MessageType::kAccepted);
      out.ballot = m.ballot;
      return say(from, std::move(out));
    }
    case MessageType::kLook: {
      Watcher looker{m.op, m.life == standing_.life ? m.since : 0, now};
      if (order_.upper_bound(looker.since) != order_.end() || m.life != standing_.life)
        return tell(from, looker);
      lookers_[from] = looker;
      return;
    }
    case MessageType::kFetch: {
      if (!keeper) return;
      if (m.op < standing_.lives[from]) {  // a later life of it is noted here: it has to go past that
        Message out = answer(m, MessageType::kStandingIs);
        out.full = true;
        out.founders = standing_.founders;
        return say(from, std::move(out));
      }
      note(from, m.op);
      Message out = answer(m, MessageType::kState);
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

bool Acceptor::fits(const Message& m, size_t entries_bytes) const {
  return m.entries.size() < options_.page && entries_bytes < options_.page_bytes;
}

void Acceptor::tell(PeerId to, const Watcher& looker) {
  Message out;
  out.say = MessageType::kChanges;
  out.op = looker.op;
  out.life = standing_.life;
  out.since = looker.since;
  auto at = order_.upper_bound(looker.since);
  for (size_t bytes = 0; at != order_.end() && fits(out, bytes); ++at) {
    const AcceptorSlot& slot = slots_[at->second];
    bytes += slot.fact.value.size();
    out.entries.emplace_back(at->second, slot);
    out.since = at->first;
  }
  out.more = at != order_.end();
  say(to, std::move(out));
}

// Without a memory: what the others are decides what it may do.
void Acceptor::hear_standing(PeerId from, const Message& m) {
  if (standing_.full || m.op != standing_.life || m.lives.size() != options_.keepers ||
      m.founders.size() != options_.keepers)
    return;
  Source& s = sources_[from];
  const bool same = s.answered && s.life == m.life;
  s.answered = true;
  s.full = m.full;
  s.life = m.life;
  s.lives = m.lives;
  s.founders = m.founders;
  if (!same) s.fetched = false, s.have.clear();
  if (s.full && !recovering_ && s.founders[options_.self] == standing_.life)
    return begin(s.lives, s.founders);
  uint32_t fresh = 0, full = 0;
  for (PeerId p = 0; p < options_.keepers; ++p) {
    if (p == options_.self || !sources_[p].answered) continue;
    sources_[p].full ? ++full : ++fresh;
  }
  if (fresh + 1 == options_.keepers && !recovering_) {
    std::vector<Incarnation> lives(options_.keepers);
    for (PeerId p = 0; p < options_.keepers; ++p)
      lives[p] = p == options_.self ? standing_.life : sources_[p].life;
    return begin(lives, lives);
  }
  if (full < majority(options_.keepers)) return;
  if (!recovering_ || s.lives[options_.self] > standing_.life) recover();
}

void Acceptor::begin(std::vector<Incarnation> lives, std::vector<Incarnation> founders) {
  standing_.full = true;
  standing_.lives = std::move(lives);
  standing_.lives[options_.self] = standing_.life;
  standing_.founders = std::move(founders);
  standing_changed_ = true;
  ask_at_ = 0;
}

// A life past every one that a full keeper has noted; whoever answered for the one before is asked anew.
void Acceptor::recover() {
  Incarnation most = standing_.life;
  for (const Source& s : sources_)
    if (s.answered && s.full) most = std::max(most, s.lives[options_.self]);
  recovering_ = true;
  standing_.life = after(most, standing_.life);
  standing_.lives[options_.self] = standing_.life;
  standing_changed_ = true;
  for (PeerId p = 0; p < options_.keepers; ++p) {
    sources_[p].fetched = false;
    sources_[p].have.clear();
    if (sources_[p].answered && sources_[p].full) fetch(p);
  }
}

void Acceptor::fetch(PeerId from) {
  Message m;
  m.say = MessageType::kFetch;
  m.op = standing_.life;
  m.key = sources_[from].have;
  say(from, std::move(m));
}

void Acceptor::hear_state(PeerId from, const Message& m) {
  Source& s = sources_[from];
  if (standing_.full || !recovering_ || m.op != standing_.life || m.lives.size() != options_.keepers ||
      s.fetched)
    return;
  // It has itself lost its memory since: what came of it before counts no longer.
  if (m.life != s.life) return;
  // A page that was asked for twice comes twice: only what goes on from what is here moves the place.
  for (const auto& [key, theirs] : m.entries) {
    AcceptorSlot& mine = slots_[key];
    mine.promised = std::max(mine.promised, theirs.promised);
    if (theirs.held > mine.held) {
      bytes_ += theirs.fact.value.size() - mine.fact.value.size();
      mine.held = theirs.held;
      mine.fact = theirs.fact;
    }
    s.have = std::max(s.have, key);
  }
  for (PeerId p = 0; p < options_.keepers; ++p)
    if (p != options_.self) note(p, m.lives[p]);
  if (m.more) return fetch(from);
  s.fetched = true;
  uint32_t whole = 0;
  for (const Source& each : sources_) whole += each.fetched;
  if (whole < majority(options_.keepers)) return;
  for (const auto& [key, slot] : slots_) {
    dirty_[key] = true;
    if (slot.fact.version > 0) touch(key);
  }
  std::vector<Incarnation> founders = s.founders;
  recovering_ = false;
  begin(standing_.lives, std::move(founders));
}

void Acceptor::due(Ms now) {
  if (!standing_.full && now >= ask_at_) {
    ask_at_ = now + options_.ask_again;
    for (PeerId p = 0; p < options_.keepers; ++p) {
      if (p == options_.self) continue;
      Message m;
      m.say = MessageType::kStanding;
      m.op = standing_.life;
      say(p, std::move(m));
      if (recovering_ && sources_[p].full && !sources_[p].fetched) fetch(p);
    }
  }
  const bool all = urgent_ || (told_at_ > 0 && now >= told_at_ + options_.look_every);
  if (all) urgent_ = false, told_at_ = 0;
  for (auto at = lookers_.begin(); at != lookers_.end();) {
    const bool news = all && order_.upper_bound(at->second.since) != order_.end();
    if (!news && now < at->second.at + options_.look_longest) {
      ++at;
      continue;
    }
    tell(at->first, at->second);
    at = lookers_.erase(at);
  }
}

Ms Acceptor::next_due() const {
  Ms next = standing_.full ? 0 : std::max(ask_at_, 1.0);
  const auto sooner = [&next](Ms at) {
    if (next == 0 || at < next) next = at;
  };
  for (const auto& [peer, looker] : lookers_) sooner(looker.at + options_.look_longest);
  if (!lookers_.empty() && urgent_) sooner(1);
  if (!lookers_.empty() && told_at_ > 0) sooner(told_at_ + options_.look_every);
  return next;
}

Step Acceptor::take() {
  Step step;
  if (standing_changed_) step.standing = standing_;
  standing_changed_ = false;
  for (const auto& [key, dirty] : dirty_) step.writes.emplace_back(key, slots_[key]);
  dirty_.clear();
  step.sends.swap(sends_);
  return step;
}

void Acceptor::unwritten(Step step) {
  standing_changed_ |= step.standing.has_value();
  for (const auto& [key, slot] : step.writes) dirty_[key] = true;
}

std::string Acceptor::digest() const {
  Digest d;
  d.add(standing_);
  for (const auto& [key, slot] : slots_) d.add(key).add(slot);
  d.add(recovering_);
  if (!standing_.full)
    for (const Source& s : sources_)
      d.add(s.answered).add(s.full).add(s.fetched).add(s.life).add(s.lives).add(s.founders).add(s.have);
  return d.text();
}

}  // namespace firvalve::consensus
