#!/bin/bash
# Builds the programs that the scripts of review/11, 12, 13 and 15 start, beside
# the build of the deploy file. They hold every stand-in.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in odd_case quota_case drill_case gone_case; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        -o "target/review-3/$name" "review/support-3/$name.cpp" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
