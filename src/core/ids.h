// Strong types for the numbers of calls and attempts, so that the two cannot be confused.
#pragma once

#include <cstdint>

namespace firvalve {

// A client's call, numbered from 1 by the front end that received it. Unique within a process.
enum class CallId : uint64_t {};
// One attempt of a command on an engine, numbered from 1 by the core. Never reused within a process.
enum class AttemptId : uint64_t {};

constexpr uint64_t to_number(CallId call) { return static_cast<uint64_t>(call); }
constexpr uint64_t to_number(AttemptId attempt) { return static_cast<uint64_t>(attempt); }

// The number that follows `last`.
constexpr CallId next_after(CallId last) { return CallId{to_number(last) + 1}; }
constexpr AttemptId next_after(AttemptId last) { return AttemptId{to_number(last) + 1}; }

}  // namespace firvalve
