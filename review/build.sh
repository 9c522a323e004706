#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs no more than the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/*/case.cpp; do
  n=$(basename "$(dirname "$it")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$it" -o "target/review/case-$n"
done
