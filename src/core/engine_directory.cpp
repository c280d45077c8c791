#include "core/engine_directory.h"

#include <utility>

namespace firvalve {
namespace {

// Parameters of the 32-bit FNV-1a hash.
constexpr uint32_t kFnvOffsetBasis = 2166136261u, kFnvPrime = 16777619u;

uint32_t preferred_number(const std::string& name) {
  const std::string digits = name.substr(name.rfind('-') + 1);
  if (digits.size() == 8 && digits.find_first_not_of("0123456789abcdef") == std::string::npos)
    return static_cast<uint32_t>(std::stoul(digits, nullptr, 16));
  uint32_t hash = kFnvOffsetBasis;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

}  // namespace

EngineId EngineDirectory::number_of(const std::string& name) {
  last_removal_.erase(name);
  const auto known = numbers_.find(name);
  if (known != numbers_.end()) return known->second;
  uint32_t number = preferred_number(name);
  while (!numbers_in_use_.insert(EngineId{number}).second) ++number;
  return numbers_[name] = EngineId{number};
}

void EngineDirectory::remove(EngineId engine, const std::string& name) {
  names_.erase(engine);
  retire_number(name);
}

void EngineDirectory::retire_number(const std::string& name) {
  last_removal_[name] = ++removal_count_;
  removals_.push_back({name, removal_count_});
  while (removals_.size() > kMaxRemoved) {
    const Removal oldest = std::move(removals_.front());
    removals_.pop_front();
    const auto last = last_removal_.find(oldest.name);
    if (last == last_removal_.end() || last->second != oldest.number) continue;  // listed again since
    last_removal_.erase(last);
    release_number(oldest.name);
  }
}

void EngineDirectory::release_number(const std::string& name) {
  const auto known = numbers_.find(name);
  if (known == numbers_.end()) return;
  numbers_in_use_.erase(known->second);
  numbers_.erase(known);
}

std::string_view EngineDirectory::name_of(EngineId engine) const {
  const auto at = names_.find(engine);
  return at == names_.end() ? std::string_view() : at->second;
}

}  // namespace firvalve
