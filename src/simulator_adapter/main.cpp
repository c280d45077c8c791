// Reads batches of events from standard input, one per line, and writes one line of decisions for each. Exits
// with status 1 at a malformed line.
#include <cstdint>
#include <iostream>

#include "simulator_adapter/simulator_adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  firvalve::simulator::SimulatorAdapter adapter;
  std::string line;
  for (int64_t line_number = 1; std::getline(std::cin, line); ++line_number) {
    try {
      std::cout << adapter.handle_batch(std::move(line)) << '\n' << std::flush;
    } catch (const firvalve::simulator::MalformedInput& error) {
      std::cerr << "firvalve-simulator-adapter: line " << line_number << ": " << error.what() << '\n';
      return 1;
    }
  }
  return 0;
}
