#!/usr/bin/env bash
# Builds what the scripts in review/4 to review/8 start beside the program of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -pthread review/stand-ins-2.cc -o target/review-2/stand-ins-2
