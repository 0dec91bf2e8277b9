#!/usr/bin/env bash
# Builds the stand-ins and the case programs of review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" review/standins-3/platform.cc -o target/review-3/platform &
for source in review/1[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" -o "target/review-3/case-$number" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit "$status"
