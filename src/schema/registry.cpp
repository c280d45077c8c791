#include "schema/registry.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/injected_bug.h"

namespace firvalve::schema {

Applied apply(const Topic& before, const Change& c) {
  Applied out;
  out.after = before;
  using Kind = Change::Kind;
  const auto refuse = [&out](Rule rule, std::string what) {
    out.verdict.breaches.push_back({rule, 0, std::move(what), {}, {}});
  };
  switch (c.kind) {
    case Kind::kRead:
      return out;
    case Kind::kPropose: {
      // The same schema asked for again is what stands, so that an answer that was lost can be asked for.
      for (const Version& v : before.versions)
        if (v.state == State::kLive && v.schema == c.schema) {
          out.version = v.number;
          return out;
        }
      if (before.versions.size() >= kVersionsMost || c.schema.fields.size() > kFieldsMost) {
        refuse(Rule::kMalformed,
               fmt::format("{} versions of {} fields are the most", kVersionsMost, kFieldsMost));
        return out;
      }
      out.verdict = check_new(before, c.schema);
      if (!out.verdict.good()) return out;
      out.version = before.versions.empty() ? 1 : before.versions.back().number + 1;
      out.after.versions.push_back({out.version, State::kLive, c.schema});
      break;
    }
    case Kind::kDeprecate:
    case Kind::kRetire: {
      if (c.kind == Kind::kRetire) out.verdict = check_retire(before, c.version);
      Version* v = nullptr;
      for (Version& each : out.after.versions)
        if (each.number == c.version && each.state != State::kGone) v = &each;
      if (!v && out.verdict.good())
        refuse(Rule::kNoSuchVersion, fmt::format("there is no version {}", c.version));
      if (!out.verdict.good()) return out;
      out.version = c.version;
      v->state = c.kind == Kind::kRetire ? State::kGone : State::kDeprecated;
      break;
    }
    case Kind::kDeclare: {
      if (before.declarations.size() >= kDeclarationsMost) {
        refuse(Rule::kMalformed, fmt::format("{} declarations are the most", kDeclarationsMost));
        return out;
      }
      out.verdict = check_declaration(before, c.declaration);
      if (!out.verdict.good()) return out;
      auto& all = out.after.declarations;
      const auto at = std::lower_bound(
          all.begin(), all.end(), c.declaration,
          [](const Declaration& a, const Declaration& b) { return a.subscriber < b.subscriber; });
      const bool there = at != all.end() && at->subscriber == c.declaration.subscriber;
      Declaration made = c.declaration;
      made.renewed = there ? at->renewed + 1 : 1;
      if (there)
        *at = std::move(made);
      else
        all.insert(at, std::move(made));
      break;
    }
    case Kind::kWithdraw:
    case Kind::kLapse:
      std::erase_if(out.after.declarations, [&](const Declaration& d) {
        return d.subscriber == c.declaration.subscriber &&
               (c.kind == Kind::kWithdraw || d.renewed == c.declaration.renewed);
      });
      break;
  }
  out.changed = !(out.after == before);
  return out;
}

std::string missing(const Change& c) {
  using Kind = Change::Kind;
  if (c.kind == Kind::kPropose && c.schema.fields.empty()) return "schema is missing, or has no fields";
  if ((c.kind == Kind::kDeprecate || c.kind == Kind::kRetire) && c.version == 0) return "version is missing";
  const bool declares = c.kind == Kind::kDeclare || c.kind == Kind::kWithdraw;
  if (declares && c.declaration.subscriber.empty()) return "subscriber is missing";
  if (c.kind == Kind::kDeclare && c.declaration.versions.empty()) return "versions are missing";
  return "";
}

uint64_t Registry::ask(Ms, Change change, Ms until) {
  const uint64_t number = ++last_;
  Open& o = open_[number];
  o.change = std::move(change);
  o.until = until;
  read(o);
  return number;
}

void Registry::read(Open& o) {
  consensus::Proposal w;
  w.key = key_of(o.change.bulletin);
  w.deadline = time_point_of<BootClock>(o.until);
  o.id = 0;
  wishes_.push_back(std::move(w));
}

void Registry::finish(uint64_t number, End::Kind kind) {
  const auto at = open_.find(number);
  Open& o = at->second;
  ends_.push_back({number, kind, std::move(o.applied), o.change.bulletin, o.change.kind});
  open_.erase(at);
}

void Registry::on_result(Ms, const consensus::ProposalResult& end) {
  // A reading answers all that wait for one of that key: what it tells was so after each of them asked, or is
  // found out to be older when the change is agreed on top of it.
  std::vector<uint64_t> numbers;
  for (const auto& [number, o] : open_)
    if (end.proposal.key == key_of(o.change.bulletin) && o.id == end.proposal.id) numbers.push_back(number);
  for (const uint64_t number : numbers) {
    Open& o = open_[number];
    using Kind = consensus::ProposalResult::Kind;
    if (end.kind == Kind::kNoQuorum) {
      finish(number, End::Kind::kNoMajority);
      continue;
    }
    if (end.kind == Kind::kUnknown) {
      finish(number, End::Kind::kUnknown);
      continue;
    }
    if (end.kind == Kind::kCommitted) {
      finish(number, End::Kind::kAgreed);
      continue;
    }
    // Read, or another came first: checked against what stands now, and agreed on top of just that.
    std::string why;
    const auto bulletin = end.current.version == 0 ? Topic{} : read_bulletin(end.current.value, why);
    if (!bulletin) {
      finish(number, End::Kind::kUnreadable);
      continue;
    }
    const bool stale = is_injected(InjectedBug::kCheckStaleDeclarations) && o.applied.changed;
    if (stale) {
      // The is_injected flaw: what was checked before is put on top of what stands now.
      const Topic checked = o.applied.after;
      o.applied.after = *bulletin;
      for (const Version& v : checked.versions)
        if (!o.applied.after.find(v.number)) o.applied.after.versions.push_back(v);
      for (const Declaration& d : checked.declarations)
        if (std::none_of(bulletin->declarations.begin(), bulletin->declarations.end(),
                         [&](const Declaration& e) { return e.subscriber == d.subscriber; }))
          o.applied.after.declarations.push_back(d);
    } else {
      o.applied = apply(*bulletin, o.change);
    }
    if (!o.applied.verdict.good()) {
      finish(number, End::Kind::kRefused);
      continue;
    }
    if (!o.applied.changed) {
      finish(number, End::Kind::kAgreed);
      continue;
    }
    consensus::Proposal w;
    uint64_t z = life_ + ++ids_ * 0x9e3779b97f4a7c15ull;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    w.id = o.id = (z ^ (z >> 31)) | 1;
    w.key = end.proposal.key;
    w.expected_change = end.current.change_id;
    w.value = written(o.applied.after);
    w.is_urgent = true;
    w.deadline = time_point_of<BootClock>(o.until);
    wishes_.push_back(std::move(w));
  }
}

}  // namespace firvalve::schema
