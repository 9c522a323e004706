#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Needs g++ and the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
common=(review/harness-2/{recorder,http,deployment,instance,scenario}.cpp)
for it in weights failing_instance large_bodies short_fields leaving_after_restart; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$it" "review/harness-2/$it.cpp" "${common[@]}"
done
