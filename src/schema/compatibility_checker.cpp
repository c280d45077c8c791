#include "schema/compatibility_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "schema/compatibility_rules.h"
#include "schema/field_values.h"
#include "schema/schema_validation.h"

namespace firvalve::schema {

namespace {

// The meanings that field numbers, field names and choices have had in any version, retired versions
// included.
struct Meanings {
  std::map<uint32_t, std::string> name_of_number;
  std::map<std::string, uint32_t> number_of_name;
  std::map<std::pair<uint32_t, int64_t>, std::string> name_of_choice;  // by field number and choice number
};

Meanings collect_meanings(const Topic& topic) {
  Meanings meanings;
  for (const Version& version : topic.versions)
    for (const Field& field : version.schema.fields) {
      meanings.name_of_number.emplace(field.number, field.name);
      meanings.number_of_name.emplace(field.name, field.number);
      for (const auto& [value, name] : field.choices)
        meanings.name_of_choice.emplace(std::pair(field.number, value), name);
    }
  return meanings;
}

void check_choice_meanings(const Meanings& meanings, const Field& field, std::vector<Violation>& out) {
  for (const auto& [value, name] : field.choices) {
    const auto known = meanings.name_of_choice.find({field.number, value});
    if (known != meanings.name_of_choice.end() && known->second != name)
      out.push_back({Rule::kChoiceReused,
                     field.number,
                     fmt::format("{}: {} has always been {}", describe(field), value, known->second),
                     {},
                     {fmt::format("give {} a value that no version has used", name)}});
  }
}

// Numbers, names and choices keep their meaning for ever, even without readers: stored messages and old
// programs depend on it.
void check_meanings(const Topic& topic, const Schema& proposed, std::vector<Violation>& out) {
  const Meanings meanings = collect_meanings(topic);
  for (const Field& field : proposed.fields) {
    const auto number = meanings.name_of_number.find(field.number);
    if (number != meanings.name_of_number.end() && number->second != field.name)
      out.push_back({Rule::kNumberReused,
                     field.number,
                     fmt::format("{} has always been {}", field.number, number->second),
                     {},
                     {fmt::format("give {} a number that no version has used", field.name)}});
    const auto name = meanings.number_of_name.find(field.name);
    if (name != meanings.number_of_name.end() && name->second != field.number)
      out.push_back({Rule::kNameReused,
                     field.number,
                     fmt::format("{} has always been field {}", field.name, name->second),
                     {},
                     {fmt::format("give field {} a name that no version has used", field.number)}});
    check_choice_meanings(meanings, field, out);
  }
}

// Returns the versions in which a subscriber can be served, newest first: versions that it declared, that are
// not retired, and that have every field that it reads.
std::vector<const Version*> find_servable_versions(const Topic& topic, const Declaration& declaration) {
  std::vector<const Version*> out;
  for (auto number = declaration.versions.rbegin(); number != declaration.versions.rend(); ++number) {
    const Version* const version = topic.find(*number);
    if (!version || version->state == State::kRetired) continue;
    if (std::all_of(declaration.reads.begin(), declaration.reads.end(),
                    [&](const uint32_t field) { return version->schema.find(field) != nullptr; }))
      out.push_back(version);
  }
  return out;
}

// Adds the reasons why messages published under `from` cannot be delivered to the subscriber in any of the
// versions. One compatible version is enough; if there is none, the reasons are those of the newest version.
void check_subscriber(const Schema& from, const std::vector<const Version*>& versions,
                      const Declaration& declaration, std::vector<Violation>& out) {
  std::vector<Violation> newest_violations;
  for (const Version* const version : versions) {
    std::vector<Violation> found = find_incompatibilities(from, version->schema, declaration);
    if (found.empty()) return;
    if (version != versions.front()) continue;
    for (Violation& violation : found)
      violation.readers = {{declaration.subscriber, declaration.site, version->number}};
    newest_violations = std::move(found);
  }
  for (const Violation& violation : newest_violations) add_violation(out, violation);
}

// Checks fields that the proposed schema adds as required, or makes required: publishers of a live older
// version may not provide a value for them.
void check_added_requirements(const Version& live, const Schema& proposed, std::vector<Violation>& out) {
  for (const Field& field : proposed.fields) {
    if (!field.required || field.default_value) continue;
    const Field* const existing = live.schema.find(field.number);
    if (existing && (existing->required || existing->default_value)) continue;
    add_violation(out, {Rule::kRequiredAdded,
                        field.number,
                        fmt::format("{} is required, and version {} is still published without it",
                                    describe(field), live.number),
                        {},
                        {fmt::format("add {} with a preset or not required", field.name),
                         fmt::format("or let version {} be deprecated first", live.number)}});
  }
}

// Whether the declaration names a version that is not retired and satisfies the condition.
template <class Condition>
bool declares_version_where(const Topic& topic, const Declaration& declaration, Condition&& condition) {
  return std::any_of(topic.versions.begin(), topic.versions.end(), [&](const Version& version) {
    return version.state != State::kRetired && declaration.versions.count(version.number) &&
           condition(version);
  });
}

}  // namespace

Verdict check_new_version(const Topic& topic, const Schema& proposed) {
  std::vector<Violation> all = find_schema_errors(proposed);
  if (!all.empty()) return make_verdict(std::move(all));  // the other checks need a valid schema
  check_meanings(topic, proposed, all);
  for (const Declaration& declaration : topic.declarations)
    check_subscriber(proposed, find_servable_versions(topic, declaration), declaration, all);
  for (const Version& version : topic.versions)
    if (version.state == State::kLive) check_added_requirements(version, proposed, all);
  return make_verdict(std::move(all));
}

Verdict check_retirement(const Topic& topic, uint32_t version) {
  const Version* const retired = topic.find(version);
  if (!retired || retired->state == State::kRetired)
    return {{{Rule::kNoSuchVersion, 0, fmt::format("there is no version {}", version), {}, {}}}};
  std::vector<Violation> all;
  for (const Declaration& declaration : topic.declarations) {
    if (!declaration.versions.count(version)) continue;
    const std::vector<const Version*> versions = find_servable_versions(topic, declaration);
    if (std::any_of(versions.begin(), versions.end(),
                    [&](const Version* const other) { return other->number != version; }))
      continue;
    add_violation(
        all, {Rule::kVersionInUse,
              0,
              fmt::format("version {} is the only one that some speak", version),
              {{declaration.subscriber, declaration.site, version}},
              {"let the subscribers named declare a later version, or wait until their declarations end"}});
  }
  return make_verdict(std::move(all));
}

Verdict check_declaration(const Topic& topic, const Declaration& declaration) {
  if (!declares_version_where(topic, declaration, [](const Version&) { return true; }))
    return {{{Rule::kNoSuchVersion, 0, "none of the versions named is there", {}, {}}}};
  std::vector<Violation> all;
  for (const uint32_t field : declaration.reads)
    if (!declares_version_where(topic, declaration, [field](const Version& version) {
          return version.schema.find(field) != nullptr;
        }))
      all.push_back(
          {Rule::kNoSuchField, field, fmt::format("no version named has a field {}", field), {}, {}});
  const std::vector<const Version*> versions = find_servable_versions(topic, declaration);
  if (all.empty() && versions.empty())
    all.push_back({Rule::kNoSuchField, 0, "no one version named has all that is read", {}, {}});
  // The subscriber must be able to read the messages of every live version.
  for (const Version& live : topic.versions)
    if (live.state == State::kLive) check_subscriber(live.schema, versions, declaration, all);
  return make_verdict(std::move(all));
}

}  // namespace firvalve::schema
