#!/bin/sh
# Builds the stand-ins that the cases of the second review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-2/review_tool \
    review/standins-2/review_tool.cc
