#include "core/settings.h"

#include <algorithm>

namespace firvalve {

using rapidjson::Value;

namespace {

enum class Unit { kPlain, kTime };

struct Rename {
  const char* ours;
  const char* wire;  // a path through the settings
  Unit unit = Unit::kPlain;
};

const Rename kNames[] = {
    {"zone", "zone"},
    {"gateways", "peers_total"},
    {"gateway number", "index"},
    {"over-share worth", "over_share_worth"},
    {"may cancel", "ceilings.cancel"},
    {"may probe", "ceilings.probes"},
    {"may message", "ceilings.peers"},
    {"may advise", "ceilings.retry_after"},
    {"may send twice at once", "ceilings.second_copies"},
    {"longest advice", "ceilings.max_retry_after", Unit::kTime},
    {"sends at most", "ceilings.try_limit"},
    {"commands at most", "ceilings.open_cap"},
    {"connect time-out", "ceilings.dial_timeout", Unit::kTime},
    {"tick", "tick", Unit::kTime},
    {"idle close", "ceilings.conn_idle", Unit::kTime},
    {"repeats marked", "client_habits.marks_retry"},
    {"goal whole", "goal.whole"},
    {"goal worst profile", "goal.worst_class"},
    {"goal worst customer", "goal.worst_tenant"},
    {"goal worst stretch", "goal.worst_window"},
    {"price crossing", "fees.cross_zone"},
    {"price late", "fees.late_fail"},
    {"price waste", "fees.waste"},
    {"price probe", "fees.probe"},
    {"price message", "fees.peer"},
    {"reports", "report.how"},
    {"answer grace", "rules.grace_to_answer", Unit::kTime},
    {"drain grace", "rules.stop_sending_within", Unit::kTime},
    {"cold share", "rules.cold_from"},
    {"warm-up", "rules.warm_up", Unit::kTime},
    {"fall multiple", "rules.overload_factor"},
    {"fall window", "rules.overload_for", Unit::kTime},
    {"key rest", "rules.key_quiet", Unit::kTime},
    {"further sends free", "rules.extra_free"},
    {"further sends share", "rules.extra_ratio"},
    {"further sends window", "rules.look_back", Unit::kTime},
    {"answers tell cost", "specifics.bills"},
    {"grants heeded", "specifics.grants_count"},
    {"grant share at most", "specifics.most_grant"},
    {"note period", "specifics.note_period", Unit::kTime},
    {"priorities heeded", "specifics.takes_priority"},
    {"on shortage", "specifics.on_shortage"},
};
const Rename kProfileNames[] = {
    {"name", "name"},
    {"benefit", "credit"},
    {"late share", "late_share"},
    {"latency target", "slo", Unit::kTime},
    {"target stretch", "aim_stretch"},
    {"client timeout", "deadline", Unit::kTime},
    {"repeat window", "window", Unit::kTime},
    {"group", "dedup_scope"},
    {"in order", "keep_order"},
};
const Rename kCustomerNames[] = {{"name", "name"}, {"quota", "quota_per_s"}, {"share", "share"}};

const Value* walk(const Value& from, const std::string& path) {
  const Value* at = &from;
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

// Puts a value under our name; numbers and flags as numbers, lists numbered from 0.
void put(Settings& settings, const std::string& name, const Value& v, Unit unit) {
  if (v.IsBool()) {
    settings[name] = v.GetBool() ? 1.0 : 0.0;
  } else if (v.IsNumber()) {
    settings[name] = unit == Unit::kTime ? v.GetDouble() / 1e6 : v.GetDouble();
  } else if (v.IsString()) {
    settings[name] = std::string(v.GetString(), v.GetStringLength());
  } else if (v.IsArray()) {
    for (rapidjson::SizeType i = 0; i < v.Size(); ++i)
      put(settings, name + "." + std::to_string(i), v[i], unit);
  }
}

void put_item(Settings& settings, const std::string& name, const Value& json, const char* list, int item) {
  const Value* v = walk(json, list);
  if (v && v->IsArray() && static_cast<int>(v->Size()) > item) put(settings, name, (*v)[item], Unit::kPlain);
}

}  // namespace

Settings parse_settings(const Value& json) {
  Settings all;
  for (const Rename& r : kNames)
    if (const Value* v = walk(json, r.wire)) put(all, r.ours, *v, r.unit);
  if (const Value* kinds = walk(json, "shapes"); kinds && kinds->IsArray()) {
    for (int i = 0; i < static_cast<int>(kinds->Size()); ++i) {
      if (!(*kinds)[i].IsString()) continue;
      put_item(all, std::string("cores.") + (*kinds)[i].GetString(), json, "specifics.cores_by_kind", i);
      put_item(all, std::string("memory.") + (*kinds)[i].GetString(), json, "specifics.memory_by_kind_mb", i);
    }
  }
  if (const Value* profiles = walk(json, "profiles"); profiles && profiles->IsArray()) {
    for (int i = 0; i < static_cast<int>(profiles->Size()); ++i) {
      const Value& p = (*profiles)[i];
      const std::string at = "profile." + std::to_string(i) + ".";
      for (const Rename& r : kProfileNames)
        if (const Value* v = walk(p, r.wire)) put(all, at + r.ours, *v, r.unit);
      if (const Value* v = walk(p, "azs_allowed")) put(all, at + "zone", *v, Unit::kPlain);
      if (const Value* v = walk(p, "allowed_on")) put(all, at + "machine", *v, Unit::kPlain);
      if (const Value* v = walk(p, "semantics"); v && v->IsString()) {
        const std::string effect = v->GetString();
        all[at + "effect"] = std::string(effect == "idempotent"     ? "replayable"
                                         : effect == "deduplicated" ? "uniqued"
                                                                    : "non-replayable");
      }
      put_item(all, at + "threads", json, "specifics.class_threads", i);
      put_item(all, at + "load", json, "specifics.holds_tables", i);
      put_item(all, at + "waits", json, "specifics.class_waits", i);
    }
  }
  if (const Value* customers = walk(json, "tenants"); customers && customers->IsArray()) {
    for (int i = 0; i < static_cast<int>(customers->Size()); ++i)
      for (const Rename& r : kCustomerNames)
        if (const Value* v = walk((*customers)[i], r.wire))
          put(all, "customer." + std::to_string(i) + "." + r.ours, *v, r.unit);
  }
  return all;
}

std::vector<std::string> names_of(const Settings& a, const std::string& list) {
  std::vector<std::string> names;
  for (;;) {
    const auto at = a.find(list + "." + std::to_string(names.size()) + ".name");
    if (at == a.end() || !std::holds_alternative<std::string>(at->second)) return names;
    names.push_back(std::get<std::string>(at->second));
  }
}

}  // namespace firvalve
