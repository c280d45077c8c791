#include <iostream>

#include "simulator_adapter/simulator_adapter.h"

int main() {
  std::ios::sync_with_stdio(false);
  firvalve::drill::SimulatorAdapter drill;
  std::string line;
  for (int64_t number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << drill.answer(std::move(line)) << '\n' << std::flush;
    } catch (const firvalve::drill::Malformed& e) {
      std::cerr << "firvalve-simulator-adapter: line " << number << ": " << e.what() << '\n';
      return 1;
    }
  }
  return 0;
}
