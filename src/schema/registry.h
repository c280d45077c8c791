// Changes topics by consensus. No I/O and no clock.
//
// Each topic is stored in one consensus register. A change reads the register, is checked against the value
// read, and is committed by compare-and-set on that value. If another change was committed in between, the
// change is checked again against the new value. So no change is committed that was checked against outdated
// declarations.
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
  // `incarnation`: unique to this run of the process; the ids of its proposals are derived from it.
  explicit Registry(uint64_t incarnation) : incarnation_(incarnation) {}

  static constexpr const char* kKeyPrefix = "bulletin ";
  static std::string key_of(const std::string& topic) { return kKeyPrefix + topic; }

  struct Result {
    enum class Kind : uint8_t {
      kAgreed,      // the change was committed or had no effect, or the read completed
      kRejected,    // the verdict has violations
      kNoQuorum,    // the change was not made
      kUnknown,     // the change may still be committed
      kUnreadable,  // the stored topic could not be decoded; nothing was changed
    };
    uint64_t change_number = 0;  // as returned by submit()
    Kind kind = Kind::kUnknown;
    AppliedChange applied;
    std::string topic;
    Change::Kind requested = Change::Kind::kRead;
  };

  // Starts a change and returns its number. Its result is returned later by take_results().
  uint64_t submit(Change change, consensus::BootTime deadline);
  // Ignores results of proposals that are not from this registry.
  void handle_result(const consensus::ProposalResult& result);
  std::vector<consensus::Proposal> take_proposals() { return std::exchange(proposals_, {}); }
  std::vector<Result> take_results() { return std::exchange(results_, {}); }

 private:
  struct Pending {
    Change change;
    consensus::BootTime deadline;
    consensus::ChangeId proposal_id = 0;  // of the proposal in flight; 0: a read is in flight
    AppliedChange applied;
  };

  void propose_read(Pending& pending);
  void propose_change(Pending& pending, const consensus::ProposalResult& result);
  void handle_current(uint64_t number, const consensus::ProposalResult& result);
  void finish(uint64_t number, Result::Kind kind);
  uint64_t next_proposal_id();

  uint64_t incarnation_, last_change_number_ = 0, proposal_count_ = 0;
  std::map<uint64_t, Pending> pending_;  // by change number
  std::vector<consensus::Proposal> proposals_;
  std::vector<Result> results_;
};

}  // namespace firvalve::schema
