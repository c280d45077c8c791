// Flaws that tests plant in the machines which agree on things, to see that the checks on them bite. In every
// program that serves, is_injected() is false at compile time and nothing of it is left; the tests' own build
// of the same sources (FIRVALVE_INJECTED_BUGS) can switch one on.
#pragma once

#include <cstdint>

namespace firvalve {

enum class InjectedBug : uint8_t {
  kNone,
  kForgetfulKeeper,       // a keeper that lost its memory takes part at once
  kNoPromise,             // a keeper accepts what is older than its promise
  kLivesIgnored,          // answers of a keeper's earlier life are counted with those of its present one
  kConflictUnfinished,    // a conflict is told before what was seen has been settled
  kLeaseFromAnswer,       // a holder counts its lease from the answer, not from before it asked
  kNoWait,                // who wants a duty claims it without waiting for the holder's lease to end
  kIntentAfterSend,       // an act that leaves the fleet is noted once it has begun, not before
  kCheckBeforeAgreement,  // a change of versions is agreed on top of declarations that it was not checked
                          // against
  kNoEpochCheck,          // whoever receives an act takes an older epoch's, too
};

#ifdef FIRVALVE_INJECTED_BUGS
inline thread_local InjectedBug injected_bug = InjectedBug::kNone;
inline bool is_injected(InjectedBug flaw) { return injected_bug == flaw; }
#else
constexpr bool is_injected(InjectedBug) { return false; }
#endif

}  // namespace firvalve
