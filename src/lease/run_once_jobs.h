// Loads that run once under a name, however many gateways are asked for them by however many clients: what to
// do with each that asks. No I/O and no clock.
//
// Whoever is asked wants the duty merge:NAME. Its holder writes into the claim that the load is begun, and
// only once that stands does it begin: so a later holder never begins it again, whatever became of the first
// one. Where the load is proved never to have run (it was refused before any send), the claim says so again,
// and the next that waits may try. Everybody who asked is told the end: the rows, that it failed, or that it
// may have run. A name is used up for ever; another night wants another name.
//
// It guards against a load that runs twice. It harms where a holder dies between its note and its first send:
// the load has not run, and nobody will run it under that name.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_manager.h"

namespace firvalve::lease {

struct RunOnceJob {
  enum class Stage : uint8_t { kNone, kBegun, kAnswered, kFailed, kUnknown };
  Stage stage = Stage::kNone;
  uint64_t run = 0;        // of kBegun: no other attempt's
  uint64_t statement = 0;  // its hash: the same name stands for the same statement
  std::string rows;        // of kAnswered, where they are few
  bool operator==(const RunOnceJob&) const = default;
};
std::string written(const RunOnceJob& merge);
RunOnceJob read_merge(std::string_view bytes);  // of no or foreign bytes: kUnknown, never kNone

constexpr size_t kMergeRowsMost = 4096;  // bytes of rows kept in the record; longer ones go to who ran it

class RunOnceJobs {
 public:
  using Call = uint64_t;
  enum class End : uint8_t { kAnswered, kFailed, kNeverRan };
  struct Action {
    enum class Kind : uint8_t {
      kStart,   // run it for this call
      kAnswer,  // rows
      kFail,    // why; it may have run
      kShed,    // it never ran
      kRefuse,  // why: nothing of it is to be had under this name
    };
    Kind kind = Kind::kStart;
    std::string name;
    Call call = 0;
    std::string text;  // rows, or why
    Ms advice = 0;     // of kShed
  };

  RunOnceJobs(LeaseManager& duties, uint64_t life) : duties_(duties), life_(life) {}
  // The same, over a copy of its duties.
  RunOnceJobs(const RunOnceJobs& of, LeaseManager& duties)
      : duties_(duties),
        life_(of.life_),
        runs_(of.runs_),
        names_(of.names_),
        never_begun_(of.never_begun_),
        actions_(of.actions_) {}

  static std::string duty_of(const std::string& name) { return "merge:" + name; }

  void ask(Ms now, const std::string& name, Call call, uint64_t statement, Ms until);
  void gone(Ms now, Call call);  // its client waits no longer; what has begun goes on
  void handle(Ms now, const Event& event);
  void run_ended(Ms now, const std::string& name, End end, std::string rows, Ms advice = 0);
  // This gateway ends: what it has not begun it does not begin, and who waits here for it is told at once.
  void leave();
  void due(Ms now);
  Ms next_due() const;  // 0: nothing
  bool idle() const { return names_.empty(); }
  bool runs() const;  // something has begun here and is not at its end
  std::vector<Action> take_actions() { return std::exchange(actions_, {}); }
  std::string digest() const;

 private:
  enum class Step : uint8_t { kSeeks, kBegins, kRuns, kTells };
  struct Waiting {
    Call call = 0;
    uint64_t statement = 0;
    Ms until = 0;
  };
  struct Name {
    Step step = Step::kSeeks;
    std::vector<Waiting> calls;
    uint64_t run = 0;
    Call runs_for = 0;
    RunOnceJob end;
    bool owes = false;  // that end does not stand in the record yet
  };
  using Names = std::map<std::string, Name>;

  void go_on(Ms now, Names::iterator at);
  void answer_all(Names::iterator at, const RunOnceJob& end);
  void done(Ms now, Names::iterator at);
  void tell(Ms now, Names::iterator at);

  LeaseManager& duties_;
  uint64_t life_ = 0, runs_ = 0;
  Names names_;
  bool leaving_ = false;
  std::set<uint64_t> never_begun_;  // runs of this process whose note may stand and that were never begun
  std::vector<Action> actions_;
};

}  // namespace firvalve::lease
