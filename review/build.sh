#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs what the project's
# own build needs: a C++20 compiler and jsoncpp.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -isystem /usr/include/jsoncpp \
    "$source" -o "review/bin/case-$number" -ljsoncpp -pthread
done
