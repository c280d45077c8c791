// Schemas of topics: their versions, and the declarations of the subscribers that read them. Plain values; no
// I/O and no clock.
//
// A topic has versions of its schema, and each message is published under one of them. Each subscriber
// declares which versions it can read and which fields it reads. It gets each message converted to a version
// that it can read; messages that cannot be converted are not delivered to it. A new version is therefore
// accepted only if every current declaration can still be served; see compatibility_checker.h.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace firvalve::schema {

enum class Type : uint8_t { kBool, kInt32, kInt64, kFloat32, kFloat64, kText, kChoice };

// The value of a field in a message. A choice is stored as its number.
using Value = std::variant<bool, int64_t, double, std::string>;

struct Field {
  uint32_t number = 0;  // from 1; never reused for another field, even after the field is removed
  std::string name;     // never reused for another field
  Type type = Type::kText;
  std::string unit;  // of numeric fields, for example "MB" or "ms"; empty: no unit
  bool required = false;
  std::optional<Value> default_value;      // used where a message has no value; `preset` in JSON
  std::optional<double> min, max;          // of a number; for text, of its length in bytes
  std::map<int64_t, std::string> choices;  // kChoice: names by number
  bool operator==(const Field&) const = default;
};

struct Schema {
  std::vector<Field> fields;  // sorted by number
  std::vector<uint32_t> key;  // numbers of the key fields; a message replaces earlier ones with the same key
  std::string order = "number";  // order that readers can rely on: "number" (total) or "key" (per key only)
  const Field* find(uint32_t number) const;  // null if there is no such field
  bool operator==(const Schema&) const = default;
};

enum class State : uint8_t { kLive, kDeprecated, kRetired };

struct Version {
  uint32_t number = 0;  // from 1
  State state = State::kLive;
  Schema schema;
  bool operator==(const Version&) const = default;
};

// What one subscriber relies on.
struct Declaration {
  std::string subscriber, site;
  std::set<uint32_t> versions;            // version numbers that it can read
  std::set<uint32_t> reads;               // numbers of the fields that it reads
  std::set<uint32_t> relies_on_defaults;  // fields among them whose default it uses for missing values
  bool ignores_unknown_choices = false;   // true: an unknown choice is not an error for it
  uint64_t expires_after_ms = 0;          // lifetime without a renewal; 0: never expires
  uint64_t renewals = 0;                  // how often it was declared, the first time included
  bool operator==(const Declaration&) const = default;
};

struct Topic {
  std::vector<Version> versions;               // sorted by number, retired versions included
  std::vector<Declaration> declarations;       // sorted by subscriber
  const Version* find(uint32_t number) const;  // null if there is no such version
  bool operator==(const Topic&) const = default;
};

// The values of a message's fields, by field number.
using FieldValues = std::map<uint32_t, Value>;

}  // namespace firvalve::schema
