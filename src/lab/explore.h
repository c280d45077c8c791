// All ways that things can come about, up to a bound: a search over states, the nearest first, that looks at
// each state once. The machines in a state are the real ones, copied; what can happen next is listed by the
// state, one move after the other.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace firvalve::lab {

struct Explored {
  size_t states = 0;  // that differ
  size_t depth = 0;   // moves to the farthest of them
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
  std::unordered_set<std::string> seen{first.digest()};
  std::vector<uint32_t> depths{0};
  out.whole = true;
  while (!next.empty()) {
    const auto [number, state] = std::move(next.front());
    next.pop_front();
    for (const Move& move : state.moves()) {
      State then = state;
      then.apply(move);
      const std::optional<std::string> breach = then.breach();
      if (!breach && !seen.insert(then.digest()).second) continue;
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

}  // namespace firvalve::lab
