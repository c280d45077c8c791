// The keys of Settings. These names are internal: the deploy file and the simulator's protocol have other
// names for the same settings (core/settings.cpp maps between them).
//
// Times are in milliseconds; a flag is set if its number is above 0. List elements are numbered from 0:
// "key.0", "key.1" and so on. The keys of a profile or a tenant follow its list index, as in
// "profile.0.name".
#pragma once

namespace firvalve::setting {

// ---- Gateway

inline constexpr char kZone[] = "zone";
inline constexpr char kGatewayCount[] = "gateways";
inline constexpr char kGatewayNumber[] = "gateway number";
inline constexpr char kOverShareWeight[] = "over-share worth";
inline constexpr char kMayCancel[] = "may cancel";
inline constexpr char kMayProbe[] = "may probe";
inline constexpr char kMayMessagePeers[] = "may message";
inline constexpr char kMayAdviseRetry[] = "may advise";
inline constexpr char kMayHedge[] = "may send twice at once";
inline constexpr char kMaxRetryAfter[] = "longest advice";
inline constexpr char kMaxAttempts[] = "sends at most";
inline constexpr char kMaxCommands[] = "commands at most";
inline constexpr char kConnectTimeout[] = "connect time-out";
inline constexpr char kTick[] = "tick";
inline constexpr char kIdleClose[] = "idle close";
inline constexpr char kRetriesAreMarked[] = "repeats marked";
inline constexpr char kGoalOverall[] = "goal whole";
inline constexpr char kGoalWorstProfile[] = "goal worst profile";
inline constexpr char kGoalWorstTenant[] = "goal worst customer";
inline constexpr char kGoalWorstWindow[] = "goal worst stretch";
inline constexpr char kPriceCrossZone[] = "price crossing";
inline constexpr char kPriceLate[] = "price late";
inline constexpr char kPriceWaste[] = "price waste";
inline constexpr char kPriceProbe[] = "price probe";
inline constexpr char kPricePeerMessage[] = "price message";
inline constexpr char kLoadReport[] = "reports";
inline constexpr char kAnswerGrace[] = "answer grace";
inline constexpr char kDrainGrace[] = "drain grace";
inline constexpr char kSlowStartShare[] = "cold share";
inline constexpr char kWarmUp[] = "warm-up";
inline constexpr char kOverloadFactor[] = "fall multiple";
inline constexpr char kOverloadWindow[] = "fall window";
inline constexpr char kOrderingKeyCooldown[] = "key rest";
inline constexpr char kFreeRetries[] = "further sends free";
inline constexpr char kRetryShare[] = "further sends share";
inline constexpr char kRetryWindow[] = "further sends window";
inline constexpr char kAnswersReportCost[] = "answers tell cost";
inline constexpr char kHonoursMemoryGrants[] = "grants heeded";
inline constexpr char kMaxGrantShare[] = "grant share at most";
inline constexpr char kStatusPeriod[] = "note period";
inline constexpr char kHonoursPriorities[] = "priorities heeded";
inline constexpr char kOnShortage[] = "on shortage";

// ---- Per machine type: prefixes that the name of the type follows

inline constexpr char kCoresPrefix[] = "cores.";
inline constexpr char kMemoryPrefix[] = "memory.";  // MB

// ---- Lists

inline constexpr char kProfiles[] = "profile";
inline constexpr char kTenants[] = "customer";

namespace profile {

inline constexpr char kName[] = "name";
inline constexpr char kBenefit[] = "benefit";
inline constexpr char kLateShare[] = "late share";
inline constexpr char kLatencyTarget[] = "latency target";
inline constexpr char kTargetSlowdown[] = "target stretch";
inline constexpr char kClientTimeout[] = "client timeout";
inline constexpr char kDeduplicationWindow[] = "repeat window";
inline constexpr char kDeduplicationScope[] = "group";
inline constexpr char kIsOrdered[] = "in order";
inline constexpr char kZones[] = "zone";
inline constexpr char kMachineTypes[] = "machine";
inline constexpr char kEffect[] = "effect";
inline constexpr char kThreads[] = "threads";
inline constexpr char kIsLoad[] = "load";
inline constexpr char kWaitsForLoads[] = "waits";

}  // namespace profile

namespace tenant {

inline constexpr char kName[] = "name";
inline constexpr char kQuota[] = "quota";
inline constexpr char kShare[] = "share";

}  // namespace tenant

}  // namespace firvalve::setting
