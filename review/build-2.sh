#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2. Needs the compiler of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/standins.cc -o target/review-2/standins.o
for case in review/{6,7,8,9,10}/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" "$case" target/review-2/standins.o -o "target/review-2/case-$number"
done
