// Changes of a bulletin's versions and declarations, agreed in the record. No I/O and no clock.
//
// A bulletin is one fact. Each change reads it, is checked against exactly what it read, and is agreed only
// on top of that: where another change comes first, it is read and checked anew. So nothing is agreed that
// was checked against declarations that were not those in force.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "consensus/proposer.h"
#include "schema/check.h"

namespace firvalve::schema {

struct Change {
  enum class Kind : uint8_t {
    kPropose,    // schema
    kDeprecate,  // version: nobody is to publish it any more
    kRetire,     // version: it is gone
    kDeclare,    // declaration
    kWithdraw,   // declaration.subscriber: it reads no longer
    kLapse,      // the same, where its count of signs is still declaration.renewed
    kRead,       // nothing: what stands is told
  };
  Kind kind = Kind::kRead;
  std::string bulletin;
  Schema schema;
  uint32_t version = 0;
  Declaration declaration;
};

// What a change makes of a bulletin, or why it may not be.
struct Applied {
  Topic after;
  Verdict verdict;
  uint32_t version = 0;  // that was made, or stands already just so
  bool changed = false;
};
Applied apply(const Topic& before, const Change& change);

// The form in which bulletins stand in the record, and parts of it come from clients: JSON. None: it cannot
// be read; `why` says where.
std::string written(const Topic& bulletin);
std::optional<Topic> read_bulletin(const std::string& json, std::string& why);
std::optional<Schema> read_schema(const std::string& json, std::string& why);
std::optional<Declaration> read_declaration(const std::string& json, std::string& why);
// All that a client tells of one: `schema`, `version`, and a declaration's own fields. Its kind is the
// method's.
std::optional<Change> read_change(const std::string& json, std::string& why);
std::string missing(const Change& change);    // what its kind wants and is not told; empty: nothing
std::string written(const Verdict& verdict);  // a JSON list of breaches

constexpr size_t kVersionsMost = 256, kFieldsMost = 1024, kDeclarationsMost = 8192;

class Registry {
 public:
  explicit Registry(uint64_t life) : life_(life) {}
  static constexpr const char* kPrefix = "bulletin ";
  static std::string key_of(const std::string& bulletin) { return kPrefix + bulletin; }

  struct End {
    enum class Kind : uint8_t { kAgreed, kRefused, kNoMajority, kUnknown, kUnreadable };
    uint64_t change = 0;  // as ask() numbered it
    Kind kind = Kind::kUnknown;
    Applied applied;
    std::string bulletin;
    Change::Kind asked = Change::Kind::kRead;
  };

  uint64_t ask(Ms now, Change change, Ms until);
  // Ends of wishes of other keys or ids are passed over.
  void on_result(Ms now, const consensus::ProposalResult& end);
  std::vector<consensus::Proposal> take_proposals() { return std::exchange(wishes_, {}); }
  std::vector<End> take_ends() { return std::exchange(ends_, {}); }
  size_t open() const { return open_.size(); }

 private:
  struct Open {
    Change change;
    Ms until = 0;
    uint64_t id = 0;  // of the present wish; 0: it reads
    Applied applied;
  };
  void read(Open& o);
  void finish(uint64_t number, End::Kind kind);

  uint64_t life_, last_ = 0, ids_ = 0;
  std::map<uint64_t, Open> open_;
  std::vector<consensus::Proposal> wishes_;
  std::vector<End> ends_;
};

}  // namespace firvalve::schema
