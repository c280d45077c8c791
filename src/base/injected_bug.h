// Bugs that tests inject into consensus, leases and schemas (mutation testing), to see that the invariant
// checks find them. In every program that serves, is_injected() is false at compile time and nothing of it is
// left; the tests' own build of the same sources (FIRVALVE_INJECTED_BUGS) can switch one on.
#pragma once

#include <cstdint>

namespace firvalve {

enum class InjectedBug : uint8_t {
  kNone,
  kForgetfulAcceptor,   // a replica that lost its storage votes at once
  kSkipPromiseCheck,    // an acceptor accepts a ballot below the one it has promised
  kIgnoreIncarnations,  // responses of a replica's earlier incarnation count beside those of its present one
  kSkipConflictWriteBack,   // a conflict is reported before the value that was read is committed
  kLeaseFromResponse,       // a holder counts its lease from the response, not from before the proposal
  kSkipTakeoverWait,        // a candidate acquires a lease without waiting for the end of the holder's
  kRecordIntentAfterStart,  // an action outside the cluster is recorded once it has started, not before
  kCheckStaleDeclarations,  // a change of versions is committed on declarations it was not checked against
  kSkipFencingCheck,        // a receiver serves requests of an older epoch
};

#ifdef FIRVALVE_INJECTED_BUGS
inline thread_local InjectedBug injected_bug = InjectedBug::kNone;
inline bool is_injected(InjectedBug bug) { return injected_bug == bug; }
#else
constexpr bool is_injected(InjectedBug) { return false; }
#endif

}  // namespace firvalve
