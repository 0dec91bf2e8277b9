#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build. The daemon is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build/$(basename "$source" .cc)"
done
