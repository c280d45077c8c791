#include "schema/topic_change.h"

#include <fmt/format.h>

#include <algorithm>

#include "schema/compatibility_checker.h"

namespace firvalve::schema {

namespace {

void reject(AppliedChange& out, Rule rule, std::string description) {
  out.verdict.violations.push_back({rule, 0, std::move(description), {}, {}});
}

void apply_proposal(const Topic& before, const Change& change, AppliedChange& out) {
  // Proposing the schema of a live version again returns that version, so that a client that lost the answer
  // can safely retry.
  for (const Version& version : before.versions)
    if (version.state == State::kLive && version.schema == change.schema) {
      out.version = version.number;
      return;
    }
  if (before.versions.size() >= kMaxVersions || change.schema.fields.size() > kMaxFields)
    return reject(out, Rule::kMalformed,
                  fmt::format("{} versions of {} fields are the most", kMaxVersions, kMaxFields));
  out.verdict = check_new_version(before, change.schema);
  if (!out.verdict.is_compatible()) return;
  out.version = before.versions.empty() ? 1 : before.versions.back().number + 1;
  out.after.versions.push_back({out.version, State::kLive, change.schema});
}

void set_version_state(const Change& change, State state, AppliedChange& out) {
  std::vector<Version>& versions = out.after.versions;
  const auto changed = std::find_if(versions.begin(), versions.end(), [&](const Version& version) {
    return version.number == change.version && version.state != State::kRetired;
  });
  if (changed == versions.end())
    return reject(out, Rule::kNoSuchVersion, fmt::format("there is no version {}", change.version));
  out.version = change.version;
  changed->state = state;
}

void apply_retirement(const Topic& before, const Change& change, AppliedChange& out) {
  out.verdict = check_retirement(before, change.version);
  if (out.verdict.is_compatible()) set_version_state(change, State::kRetired, out);
}

void apply_declaration(const Topic& before, const Change& change, AppliedChange& out) {
  if (before.declarations.size() >= kMaxDeclarations)
    return reject(out, Rule::kMalformed, fmt::format("{} declarations are the most", kMaxDeclarations));
  out.verdict = check_declaration(before, change.declaration);
  if (!out.verdict.is_compatible()) return;
  std::vector<Declaration>& all = out.after.declarations;
  const auto position = std::lower_bound(
      all.begin(), all.end(), change.declaration,
      [](const Declaration& left, const Declaration& right) { return left.subscriber < right.subscriber; });
  const bool is_renewal = position != all.end() && position->subscriber == change.declaration.subscriber;
  Declaration declaration = change.declaration;
  declaration.renewals = is_renewal ? position->renewals + 1 : 1;
  if (is_renewal)
    *position = std::move(declaration);
  else
    all.insert(position, std::move(declaration));
}

void apply_withdrawal(const Change& change, AppliedChange& out) {
  std::erase_if(out.after.declarations, [&](const Declaration& declaration) {
    return declaration.subscriber == change.declaration.subscriber;
  });
}

void apply_expiry(const Change& change, AppliedChange& out) {
  std::erase_if(out.after.declarations, [&](const Declaration& declaration) {
    return declaration.subscriber == change.declaration.subscriber &&
           declaration.renewals == change.declaration.renewals;
  });
}

}  // namespace

std::string find_missing_parameter(const Change& change) {
  using Kind = Change::Kind;
  switch (change.kind) {
    case Kind::kPropose:
      return change.schema.fields.empty() ? "schema is missing, or has no fields" : "";
    case Kind::kDeprecate:
    case Kind::kRetire:
      return change.version == 0 ? "version is missing" : "";
    case Kind::kDeclare:
      if (change.declaration.subscriber.empty()) return "subscriber is missing";
      return change.declaration.versions.empty() ? "versions are missing" : "";
    case Kind::kWithdraw:
      return change.declaration.subscriber.empty() ? "subscriber is missing" : "";
    case Kind::kExpire:
    case Kind::kRead:
      break;
  }
  return "";
}

AppliedChange apply(const Topic& before, const Change& change) {
  AppliedChange out;
  out.after = before;
  using Kind = Change::Kind;
  switch (change.kind) {
    case Kind::kPropose:
      apply_proposal(before, change, out);
      break;
    case Kind::kDeprecate:
      set_version_state(change, State::kDeprecated, out);
      break;
    case Kind::kRetire:
      apply_retirement(before, change, out);
      break;
    case Kind::kDeclare:
      apply_declaration(before, change, out);
      break;
    case Kind::kWithdraw:
      apply_withdrawal(change, out);
      break;
    case Kind::kExpire:
      apply_expiry(change, out);
      break;
    case Kind::kRead:
      break;
  }
  out.has_changed = !(out.after == before);
  return out;
}

}  // namespace firvalve::schema
