// Changes of topics, agreed by consensus. No I/O and no clock.
//
// A topic is one register. Each change reads it, is checked against exactly what it read, and is agreed only
// on top of that: where another change comes first, it is read and checked anew. So nothing is agreed that
// was checked against declarations other than those in force.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "consensus/proposer.h"
#include "schema/topic_change.h"

namespace firvalve::schema {

class Registry {
 public:
  // `incarnation`: of this process, nobody else's; ids of changes come from it.
  explicit Registry(uint64_t incarnation) : incarnation_(incarnation) {}

  static constexpr const char* kKeyPrefix = "bulletin ";
  static std::string key_of(const std::string& topic) { return kKeyPrefix + topic; }

  struct Result {
    enum class Kind : uint8_t {
      kAgreed,      // it stands, or was read
      kRejected,    // by the verdict
      kNoQuorum,    // it was not made
      kUnknown,     // it may yet stand
      kUnreadable,  // what stands under the topic's key is none; nothing was changed
    };
    uint64_t change = 0;  // as submit() numbered it
    Kind kind = Kind::kUnknown;
    AppliedChange applied;
    std::string topic;
    Change::Kind requested = Change::Kind::kRead;
  };

  // The number of the change; its result comes by take_results().
  uint64_t submit(Change change, consensus::BootTime deadline);
  // Results of proposals that are not this registry's are ignored.
  void handle_result(const consensus::ProposalResult& result);
  std::vector<consensus::Proposal> take_proposals() { return std::exchange(proposals_, {}); }
  std::vector<Result> take_results() { return std::exchange(results_, {}); }

 private:
  struct Pending {
    Change change;
    consensus::BootTime deadline;
    consensus::ChangeId proposal = 0;  // its id; 0: it reads
    AppliedChange applied;
  };

  void propose_read(Pending& pending);
  void propose_change(Pending& pending, const consensus::ProposalResult& result);
  void handle_current(uint64_t number, const consensus::ProposalResult& result);
  void finish(uint64_t number, Result::Kind kind);
  uint64_t next_proposal_id();

  uint64_t incarnation_, last_change_ = 0, proposal_ids_ = 0;
  std::map<uint64_t, Pending> pending_;  // by the number of the change
  std::vector<consensus::Proposal> proposals_;
  std::vector<Result> results_;
};

}  // namespace firvalve::schema
