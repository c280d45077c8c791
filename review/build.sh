#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases into build-review/. It needs the compiler and RapidJSON, which the
# deploy file's build needs as well, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for case in review/[1-3]/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/common "$case" -o "build-review/case-$number" &
done
wait
for case in review/[1-3]/case.cpp; do
  [[ -x "build-review/case-$(basename "$(dirname "$case")")" ]]
done
