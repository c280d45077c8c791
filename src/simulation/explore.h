// Model checking of small state machines: an exhaustive breadth-first search over all orders of moves, up to
// a bound, and random walks for state spaces that are too large for it. A state holds copies of the real
// state machines and lists the moves that are possible next.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace firvalve::simulation {

// Fingerprint of a visited state: a 128-bit hash of its digest. At a hundred million states the probability
// that two different states collide is below 1 in 10^20.
struct StateFingerprint {
  uint64_t low = 0, high = 0;
  explicit StateFingerprint(const std::string& digest) {
    const XXH128_hash_t hash = XXH3_128bits(digest.data(), digest.size());
    low = hash.low64, high = hash.high64;
  }
  bool operator==(const StateFingerprint&) const = default;
};
struct StateFingerprintHash {
  size_t operator()(const StateFingerprint& fingerprint) const { return fingerprint.low; }
};

// Result of explore() or of random_walks().
struct SearchResult {
  size_t states = 0;         // explore(): distinct states; random_walks(): moves applied
  size_t depth = 0;          // moves from the initial state to the farthest one
  bool is_complete = false;  // every reachable state was visited
  std::optional<std::string> violation;
  std::vector<std::string> trace;  // moves that lead to the violation
};

// Breadth-first search from `first`, so that a violation is reported with a shortest trace. Each distinct
// state is expanded once; the search stops at the first violation or at `max_states` distinct states.
//
// State is copyable and has moves() -> std::vector<Move>; apply(move); describe(move) -> std::string;
// digest() -> std::string; find_violation() -> std::optional<std::string>.
template <class State>
SearchResult explore(const State& first, size_t max_states) {
  using Move = typename decltype(first.moves())::value_type;
  struct Step {
    size_t parent = 0;
    Move move{};
  };
  SearchResult out;
  std::vector<Step> steps{{}};
  std::deque<std::pair<size_t, State>> next{{0, first}};
  std::unordered_set<StateFingerprint, StateFingerprintHash> visited{StateFingerprint(first.digest())};
  std::vector<uint32_t> depths{0};
  out.is_complete = true;
  while (!next.empty()) {
    const size_t number = next.front().first;
    const State state = std::move(next.front().second);
    next.pop_front();
    for (const Move& move : state.moves()) {
      State successor = state;
      successor.apply(move);
      const std::optional<std::string> violation = successor.find_violation();
      if (!violation && !visited.insert(StateFingerprint(successor.digest())).second) continue;
      steps.push_back({number, move});
      depths.push_back(depths[number] + 1);
      out.depth = depths.back();
      if (violation) {
        out.violation = violation;
        std::vector<Move> moves;
        for (size_t at = steps.size() - 1; at != 0; at = steps[at].parent) moves.push_back(steps[at].move);
        State replay = first;
        for (auto move = moves.rbegin(); move != moves.rend(); ++move) {
          out.trace.push_back(replay.describe(*move));
          replay.apply(*move);
        }
        out.states = visited.size();
        return out;
      }
      if (visited.size() >= max_states) {
        out.is_complete = false;
        out.states = visited.size();
        return out;
      }
      next.emplace_back(steps.size() - 1, std::move(successor));
    }
  }
  out.states = visited.size();
  return out;
}

// Random walks, for violations too deep for an exhaustive search. Each of the `walks` walks, drawn from
// `seed`, ends after `depth` moves or when no move is possible. The trace of the first violation is
// minimised: moves are left out one by one as long as a violation remains. On replay a move is recognised by
// its describe() text.
template <class State>
SearchResult random_walks(const State& first, uint64_t seed, size_t walks, size_t depth) {
  SearchResult out;
  uint64_t generator = seed;
  const auto draw = [&generator](size_t below) {  // SplitMix64
    uint64_t z = (generator += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return static_cast<size_t>((z ^ (z >> 31)) % below);
  };
  const auto replay = [&first](const std::vector<std::string>& trace) -> std::optional<std::string> {
    State state = first;
    for (const std::string& line : trace) {
      bool is_applied = false;
      for (const auto& move : state.moves()) {
        if (state.describe(move) != line) continue;
        state.apply(move);
        is_applied = true;
        break;
      }
      if (!is_applied) continue;  // depended on a move that was left out
      if (auto violation = state.find_violation()) return violation;
    }
    return {};
  };
  for (size_t walk = 0; walk < walks; ++walk) {
    State state = first;
    std::vector<std::string> trace;
    for (size_t step = 0; step < depth; ++step) {
      const auto moves = state.moves();
      if (moves.empty()) break;
      const auto& move = moves[draw(moves.size())];
      trace.push_back(state.describe(move));
      state.apply(move);
      ++out.states;
      out.depth = std::max(out.depth, step + 1);
      if (!state.find_violation()) continue;
      for (size_t i = 0; i < trace.size();) {
        std::vector<std::string> shorter = trace;
        shorter.erase(shorter.begin() + static_cast<long>(i));
        if (replay(shorter))
          trace = std::move(shorter), i = 0;
        else
          ++i;
      }
      out.trace = trace;
      out.violation = replay(trace);
      return out;
    }
  }
  return out;
}

}  // namespace firvalve::simulation
