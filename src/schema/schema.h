// What the messages of a topic look like. Values alone: no I/O, no clock.
//
// A topic has versions of its schema. A message is published under one of them; each subscriber declares
// which versions it speaks and which fields it reads, and gets each message in a version that it speaks, or
// is not served at all. So a new version may stand only where every declaration in force can still be given
// what it reads: the compatibility checker decides, and names every violation.
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

// A field's value in a message; of a choice its number.
using Value = std::variant<bool, int64_t, double, std::string>;

struct Field {
  uint32_t number = 0;  // from 1; stays this field's for ever, whatever becomes of it
  std::string name;     // the same
  Type type = Type::kText;
  std::string unit;  // of a number: "MB", "ms", "cabins"; empty: none
  bool required = false;
  std::optional<Value> preset;             // its default: stands for it where a message has no value
  std::optional<double> least, most;       // of a number; of a text, of its length in bytes
  std::map<int64_t, std::string> choices;  // of a choice: names by number
  bool operator==(const Field&) const = default;
};

struct Schema {
  std::vector<Field> fields;  // by number, ascending
  std::vector<uint32_t> key;  // numbers of fields; of messages with the same values in them the last counts
  std::string order = "number";  // that readers may rely on: "number" (one for all) or "key" (for each key)
  const Field* find(uint32_t number) const;  // null: there is none
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
  std::set<uint32_t> versions;           // that it speaks
  std::set<uint32_t> reads;              // numbers of fields
  std::set<uint32_t> relies_on_presets;  // those of them whose preset it relies on where there is no value
  bool ignores_unknown_choices = false;  // a choice's value that it does not know is no error
  uint64_t expires_after_ms = 0;         // without a renewal; 0: it never expires
  uint64_t renewals = 0;                 // counts its declarations
  bool operator==(const Declaration&) const = default;
};

struct Topic {
  std::vector<Version> versions;               // by number, ascending; retired ones stay
  std::vector<Declaration> declarations;       // by subscriber, ascending
  const Version* find(uint32_t number) const;  // null: there is none
  bool operator==(const Topic&) const = default;
};

// A message's values under a version, by field number.
using Content = std::map<uint32_t, Value>;

}  // namespace firvalve::schema
