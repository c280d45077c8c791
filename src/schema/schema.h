// What a bulletin's notices look like, and what may become of that. Values and rules alone: no I/O, no clock.
//
// A bulletin has versions of its schema. A notice is published under one of them; whoever subscribes declares
// which versions it speaks and which fields it reads, and gets each notice in a version that it speaks, or it
// is not served at all. So a new version may stand only where every declaration in force can still be given
// what it reads: the checker (check.h) says so, or tells every breach.
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

// A field's value in a notice; of a choice its number.
using Value = std::variant<bool, int64_t, double, std::string>;

struct Field {
  uint32_t number = 0;  // from 1; for ever this field's, whatever becomes of it
  std::string name;     // the same
  Type type = Type::kText;
  std::string unit;  // of a number: "MB", "ms", "cabins"; empty: none
  bool required = false;
  std::optional<Value> preset;             // what stands for it where it is not told
  std::optional<double> least, most;       // of a number; of a text `most` is its length in bytes
  std::map<int64_t, std::string> choices;  // of a choice: names by number
  bool operator==(const Field&) const = default;
};

struct Schema {
  std::vector<Field> fields;  // by number, ascending
  std::vector<uint32_t> key;  // fields whose values name what a notice is about; a later one stands for it
  std::string order =
      "number";  // what readers may rely on: "number" (one order for all) or "key" (for each key)
  const Field* find(uint32_t number) const;
  bool operator==(const Schema&) const = default;
};

enum class State : uint8_t { kLive, kDeprecated, kGone };

struct Version {
  uint32_t number = 0;  // from 1
  State state = State::kLive;
  Schema schema;
  bool operator==(const Version&) const = default;
};

// What one subscriber relies on.
struct Declaration {
  std::string subscriber, site;
  std::set<uint32_t> versions;  // that it speaks
  std::set<uint32_t> reads;     // numbers of fields
  std::set<uint32_t> leans;     // those of them whose preset it relies on where they are not told
  bool passes_unknown = false;  // a choice's value that it does not know is passed over, not an error
  uint64_t holds_ms = 0;        // without a sign of it, so long
  uint64_t renewed = 0;         // counts its signs
  bool operator==(const Declaration&) const = default;
};

struct Topic {
  std::vector<Version> versions;          // by number, ascending; those that are gone stay
  std::vector<Declaration> declarations;  // by subscriber, ascending
  const Version* find(uint32_t number) const;
  bool operator==(const Topic&) const = default;
};

// A notice's content under a version.
using Content = std::map<uint32_t, Value>;  // by field number

}  // namespace firvalve::schema
