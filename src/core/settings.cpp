// The table that maps the operators' JSON paths to internal setting keys, and the parser that applies it.
#include "core/settings.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "policy/setting_keys.h"

namespace firvalve {

using rapidjson::Value;

namespace {

constexpr double kNanosecondsPerMs = 1e6;

enum class Unit { kNone, kNanoseconds };

struct SettingName {
  const char* key;   // internal
  const char* path;  // in the operators' JSON: member names joined by dots
  Unit unit = Unit::kNone;
};

constexpr SettingName kGatewaySettings[] = {
    {setting::kZone, "zone"},
    {setting::kGatewayCount, "peers_total"},
    {setting::kGatewayNumber, "index"},
    {setting::kOverShareWeight, "over_share_worth"},
    {setting::kMayCancel, "ceilings.cancel"},
    {setting::kMayProbe, "ceilings.probes"},
    {setting::kMayMessagePeers, "ceilings.peers"},
    {setting::kMayAdviseRetry, "ceilings.retry_after"},
    {setting::kMayHedge, "ceilings.second_copies"},
    {setting::kMaxRetryAfter, "ceilings.max_retry_after", Unit::kNanoseconds},
    {setting::kMaxAttempts, "ceilings.try_limit"},
    {setting::kMaxCommands, "ceilings.open_cap"},
    {setting::kConnectTimeout, "ceilings.dial_timeout", Unit::kNanoseconds},
    {setting::kTick, "tick", Unit::kNanoseconds},
    {setting::kIdleClose, "ceilings.conn_idle", Unit::kNanoseconds},
    {setting::kRetriesAreMarked, "client_habits.marks_retry"},
    {setting::kGoalOverall, "goal.whole"},
    {setting::kGoalWorstProfile, "goal.worst_class"},
    {setting::kGoalWorstTenant, "goal.worst_tenant"},
    {setting::kGoalWorstWindow, "goal.worst_window"},
    {setting::kPriceCrossZone, "fees.cross_zone"},
    {setting::kPriceLate, "fees.late_fail"},
    {setting::kPriceWaste, "fees.waste"},
    {setting::kPriceProbe, "fees.probe"},
    {setting::kPricePeerMessage, "fees.peer"},
    {setting::kLoadReport, "report.how"},
    {setting::kAnswerGrace, "rules.grace_to_answer", Unit::kNanoseconds},
    {setting::kDrainGrace, "rules.stop_sending_within", Unit::kNanoseconds},
    {setting::kSlowStartShare, "rules.cold_from"},
    {setting::kWarmUp, "rules.warm_up", Unit::kNanoseconds},
    {setting::kOverloadFactor, "rules.overload_factor"},
    {setting::kOverloadWindow, "rules.overload_for", Unit::kNanoseconds},
    {setting::kOrderingKeyCooldown, "rules.key_quiet", Unit::kNanoseconds},
    {setting::kFreeRetries, "rules.extra_free"},
    {setting::kRetryShare, "rules.extra_ratio"},
    {setting::kRetryWindow, "rules.look_back", Unit::kNanoseconds},
    {setting::kAnswersReportCost, "specifics.bills"},
    {setting::kHonoursMemoryGrants, "specifics.grants_count"},
    {setting::kMaxGrantShare, "specifics.most_grant"},
    {setting::kStatusPeriod, "specifics.note_period", Unit::kNanoseconds},
    {setting::kHonoursPriorities, "specifics.takes_priority"},
    {setting::kOnShortage, "specifics.on_shortage"},
};

constexpr SettingName kProfileSettings[] = {
    {setting::profile::kName, "name"},
    {setting::profile::kBenefit, "credit"},
    {setting::profile::kLateShare, "late_share"},
    {setting::profile::kLatencyTarget, "slo", Unit::kNanoseconds},
    {setting::profile::kTargetSlowdown, "aim_stretch"},
    {setting::profile::kClientTimeout, "deadline", Unit::kNanoseconds},
    {setting::profile::kDeduplicationWindow, "window", Unit::kNanoseconds},
    {setting::profile::kDeduplicationScope, "dedup_scope"},
    {setting::profile::kIsOrdered, "keep_order"},
    {setting::profile::kZones, "azs_allowed"},
    {setting::profile::kMachineTypes, "allowed_on"},
};

constexpr SettingName kTenantSettings[] = {
    {setting::tenant::kName, "name"},
    {setting::tenant::kQuota, "quota_per_s"},
    {setting::tenant::kShare, "share"},
};

// Lists with one entry per profile, in the order of the profiles.
constexpr SettingName kSettingsByProfile[] = {
    {setting::profile::kThreads, "specifics.class_threads"},
    {setting::profile::kIsLoad, "specifics.holds_tables"},
    {setting::profile::kWaitsForLoads, "specifics.class_waits"},
};

// Lists with one entry per machine type.
constexpr SettingName kSettingsByMachine[] = {
    {setting::kCoresPrefix, "specifics.cores_by_kind"},
    {setting::kMemoryPrefix, "specifics.memory_by_kind_mb"},
};

// The effect of a profile whose semantics is not in kEffects.
constexpr std::string_view kDefaultEffect = "non-replayable";
// The operators' names of a profile's semantics, and the internal names of the effects.
constexpr std::pair<std::string_view, std::string_view> kEffects[] = {{"idempotent", "replayable"},
                                                                      {"deduplicated", "uniqued"}};

// Returns null if there is no such member, or if a value along the path is not an object.
const Value* find_path(const Value& root, const std::string& path) {
  const Value* at = &root;
  for (size_t begin = 0; begin <= path.size();) {
    const size_t dot = std::min(path.find('.', begin), path.size());
    if (!at->IsObject()) return nullptr;
    const auto found = at->FindMember(path.substr(begin, dot - begin).c_str());
    if (found == at->MemberEnd()) return nullptr;
    at = &found->value;
    begin = dot + 1;
  }
  return at;
}

// The number of entries; 0 if `list` is null or not a list.
rapidjson::SizeType list_size(const Value* list) { return list && list->IsArray() ? list->Size() : 0; }

// Stores a Boolean as 0 or 1, and each entry of a list under `key`.0, `key`.1, ... Ignores values of other
// types.
void store(Settings& settings, const std::string& key, const Value& value, Unit unit) {
  if (value.IsBool()) {
    settings[key] = value.GetBool() ? 1.0 : 0.0;
  } else if (value.IsNumber()) {
    settings[key] = unit == Unit::kNanoseconds ? value.GetDouble() / kNanosecondsPerMs : value.GetDouble();
  } else if (value.IsString()) {
    settings[key] = std::string(value.GetString(), value.GetStringLength());
  } else if (value.IsArray()) {
    for (rapidjson::SizeType i = 0; i < value.Size(); ++i)
      store(settings, key + "." + std::to_string(i), value[i], unit);
  }
}

template <size_t kCount>
void store_members(Settings& settings, const std::string& prefix, const Value& json,
                   const SettingName (&names)[kCount]) {
  for (const SettingName& name : names)
    if (const Value* value = find_path(json, name.path))
      store(settings, prefix + name.key, *value, name.unit);
}

void store_entry(Settings& settings, const std::string& key, const Value* list, rapidjson::SizeType entry) {
  if (entry < list_size(list)) store(settings, key, (*list)[entry], Unit::kNone);
}

void store_machines(Settings& settings, const Value& json) {
  const Value* machines = find_path(json, "shapes");
  for (rapidjson::SizeType i = 0; i < list_size(machines); ++i) {
    const Value& machine = (*machines)[i];
    if (!machine.IsString()) continue;
    for (const SettingName& name : kSettingsByMachine)
      store_entry(settings, std::string(name.key) + machine.GetString(), find_path(json, name.path), i);
  }
}

void store_effect(Settings& settings, const std::string& prefix, const Value& profile) {
  const Value* semantics = find_path(profile, "semantics");
  if (!semantics || !semantics->IsString()) return;
  std::string_view effect = kDefaultEffect;
  for (const auto& [semantics_name, effect_name] : kEffects)
    if (semantics_name == semantics->GetString()) effect = effect_name;
  settings[prefix + setting::profile::kEffect] = std::string(effect);
}

std::string prefix_of(const char* list, size_t entry) {
  return std::string(list) + "." + std::to_string(entry) + ".";
}

void store_profiles(Settings& settings, const Value& json) {
  const Value* profiles = find_path(json, "profiles");
  for (rapidjson::SizeType i = 0; i < list_size(profiles); ++i) {
    const std::string prefix = prefix_of(setting::kProfiles, i);
    store_members(settings, prefix, (*profiles)[i], kProfileSettings);
    store_effect(settings, prefix, (*profiles)[i]);
    for (const SettingName& name : kSettingsByProfile)
      store_entry(settings, prefix + name.key, find_path(json, name.path), i);
  }
}

void store_tenants(Settings& settings, const Value& json) {
  const Value* tenants = find_path(json, "tenants");
  for (rapidjson::SizeType i = 0; i < list_size(tenants); ++i)
    store_members(settings, prefix_of(setting::kTenants, i), (*tenants)[i], kTenantSettings);
}

}  // namespace

Settings parse_settings(const Value& json) {
  Settings settings;
  store_members(settings, "", json, kGatewaySettings);
  store_machines(settings, json);
  store_profiles(settings, json);
  store_tenants(settings, json);
  return settings;
}

std::vector<std::string> names_of(const Settings& settings, const std::string& list) {
  std::vector<std::string> names;
  for (;;) {
    const auto at = settings.find(prefix_of(list.c_str(), names.size()) + setting::profile::kName);
    if (at == settings.end() || !std::holds_alternative<std::string>(at->second)) return names;
    names.push_back(std::get<std::string>(at->second));
  }
}

}  // namespace firvalve
