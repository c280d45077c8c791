// All ways that things can come about, up to a bound: a search over states, the nearest first, that looks at
// each state once. The machines in a state are the real ones, copied; what can happen next is listed by the
// state, one move after the other.
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

// What is kept of a state that was seen: 128 bits of its digest. Two that differ are taken for one with a
// chance of under 1 in 10^20 at a hundred million states.
struct Seen {
  uint64_t low = 0, high = 0;
  explicit Seen(const std::string& digest) {
    const XXH128_hash_t h = XXH3_128bits(digest.data(), digest.size());
    low = h.low64, high = h.high64;
  }
  bool operator==(const Seen&) const = default;
};
struct SeenHash {
  size_t operator()(const Seen& s) const { return s.low; }
};

struct Explored {
  size_t states = 0;   // that differ
  size_t depth = 0;    // moves to the farthest of them
  bool whole = false;  // every state within the bounds was looked at
  std::optional<std::string> breach;
  std::vector<std::string> trace;  // the shortest way to it
};

// State: copyable; moves() -> std::vector<Move>; apply(move); told(move) -> std::string; digest() ->
// std::string; breach() -> std::optional<std::string>.
template <class State>
Explored explore(const State& first, size_t states_most) {
  using Move = typename decltype(first.moves())::value_type;
  struct Way {
    size_t from = 0;
    Move move{};
  };
  Explored out;
  std::vector<Way> ways{{}};
  std::deque<std::pair<size_t, State>> next{{0, first}};
  std::unordered_set<Seen, SeenHash> seen{Seen(first.digest())};
  std::vector<uint32_t> depths{0};
  out.whole = true;
  while (!next.empty()) {
    const size_t number = next.front().first;
    const State state = std::move(next.front().second);
    next.pop_front();
    for (const Move& move : state.moves()) {
      State then = state;
      then.apply(move);
      const std::optional<std::string> breach = then.breach();
      if (!breach && !seen.insert(Seen(then.digest())).second) continue;
      ways.push_back({number, move});
      depths.push_back(depths[number] + 1);
      out.depth = depths.back();
      if (breach) {
        out.breach = breach;
        std::vector<Move> moves;
        for (size_t at = ways.size() - 1; at != 0; at = ways[at].from) moves.push_back(ways[at].move);
        State again = first;
        for (auto m = moves.rbegin(); m != moves.rend(); ++m) {
          out.trace.push_back(again.told(*m));
          again.apply(*m);
        }
        out.states = seen.size();
        return out;
      }
      if (seen.size() >= states_most) {
        out.whole = false;
        out.states = seen.size();
        return out;
      }
      next.emplace_back(ways.size() - 1, std::move(then));
    }
  }
  out.states = seen.size();
  return out;
}

// Where the whole is too large to find something deep: walks drawn from a seed, each to an end or to `depth`
// moves. The first that breaks a rule is cut down move by move for as long as it still does. A move is known
// again by what told() says of it.
template <class State>
Explored wander(const State& first, uint64_t seed, size_t walks, size_t depth) {
  Explored out;
  uint64_t at = seed;
  const auto draw = [&at](size_t below) {  // splitmix
    uint64_t z = (at += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return static_cast<size_t>((z ^ (z >> 31)) % below);
  };
  const auto play = [&first](const std::vector<std::string>& told) -> std::optional<std::string> {
    State s = first;
    for (const std::string& line : told) {
      bool done = false;
      for (const auto& move : s.moves()) {
        if (s.told(move) != line) continue;
        s.apply(move);
        done = true;
        break;
      }
      if (!done) continue;  // what it needed has been left out
      if (auto breach = s.breach()) return breach;
    }
    return {};
  };
  for (size_t walk = 0; walk < walks; ++walk) {
    State s = first;
    std::vector<std::string> told;
    for (size_t step = 0; step < depth; ++step) {
      const auto moves = s.moves();
      if (moves.empty()) break;
      const auto& move = moves[draw(moves.size())];
      told.push_back(s.told(move));
      s.apply(move);
      ++out.states;
      out.depth = std::max(out.depth, step + 1);
      if (!s.breach()) continue;
      for (size_t i = 0; i < told.size();) {
        std::vector<std::string> fewer = told;
        fewer.erase(fewer.begin() + static_cast<long>(i));
        if (play(fewer))
          told = std::move(fewer), i = 0;
        else
          ++i;
      }
      out.trace = told;
      out.breach = play(told);
      return out;
    }
  }
  return out;
}

}  // namespace firvalve::simulation
