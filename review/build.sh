#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file, with the packages that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
g++ -std=c++20 -O1 -DBOOST_ERROR_CODE_HEADER_ONLY review/stand-ins.cc -o review/build/stand-ins -pthread
