#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 11 and later into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
options=(-std=c++20 -O2 -Wall -Wextra -pthread -Ireview/harness-3)
shared=()
for it in record http instance deployment memory_limit trial; do
  g++ "${options[@]}" -c "review/harness-3/$it.cpp" -o "$out/$it.o"
  shared+=("$out/$it.o")
done
for it in review/harness-3/case_*.cpp; do
  name=$(basename "$it" .cpp)
  g++ "${options[@]}" "$it" "${shared[@]}" -o "$out/$name"
done
