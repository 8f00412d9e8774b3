#!/usr/bin/env bash
# Builds the programs of the review cases, with their stand-ins, into build/review. Needs the C++ compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview -o "build/review/case$number" "$source" &
done
wait
for source in review/[0-9]/case.cpp; do
  test -x "build/review/case$(basename "$(dirname "$source")")"
done
