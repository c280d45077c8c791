// Bugs that tests inject into consensus, leases and schemas (mutation testing), to verify that the invariant
// checks detect them. In production programs is_injected() is constant false, so the compiler removes every
// injected bug. The test build of the same sources (FIRVALVE_INJECTED_BUGS) can switch one on at a time.
#pragma once

#include <cstdint>

namespace firvalve {

enum class InjectedBug : uint8_t {
  kNone,
  kForgetfulAcceptor,       // a replica that lost its storage votes at once
  kSkipPromiseCheck,        // an acceptor accepts a ballot below the one it has promised
  kIgnoreIncarnations,      // responses of a replica's earlier incarnations are counted, too
  kSkipConflictWriteBack,   // a conflict is reported before the value read is committed
  kLeaseFromResponse,       // a holder measures its lease from the response, not from before the proposal
  kSkipTakeoverWait,        // a candidate acquires a lease without waiting for the holder's lease to expire
  kRecordIntentAfterStart,  // an external action is recorded after it has started, not before
  kCheckStaleDeclarations,  // a version change is committed on declarations it was not checked against
  kSkipFencingCheck,        // a receiver serves requests with an older epoch
};

#ifdef FIRVALVE_INJECTED_BUGS
inline thread_local InjectedBug injected_bug = InjectedBug::kNone;
inline bool is_injected(InjectedBug bug) { return injected_bug == bug; }
#else
constexpr bool is_injected(InjectedBug) { return false; }
#endif

}  // namespace firvalve
