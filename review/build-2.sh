#!/usr/bin/env bash
# Builds the cases of the second review, with their stand-ins, into build-review-2/. Needs a C++20 compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for number in 6 7 8 9 10; do
  [[ -f review/$number/case.cpp ]] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "review/$number/case.cpp"
done
