#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file
# (it links the library that this build leaves in target/).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
cd "$root"
flags=(-std=c++20 -O1 -I. -Isrc -Itest -isystem /usr/include/jsoncpp)
# The project's own stand-in of the store, and this review's.
sources=(test/standin/server.cc emulator/store.cc emulator/storeport.cc
  emulator/nodeprocess.cc emulator/lines.cc review/standin-2/rig.cpp
  review/standin-2/world.cpp review/standin-2/engines.cpp)
libraries=(target/libhold.a -ljsonrpccpp-server -ljsonrpccpp-common -ljsoncpp
  -lPocoNetSSL -lPocoNet -lPocoCrypto -lPocoFoundation -lssl -lcrypto
  -lprometheus-cpp-core -llog4cplus -lboost_program_options -lpthread)

wait_for() {
  for pid in "$@"; do
    wait "$pid"
  done
}

objects=()
pids=()
for source in "${sources[@]}"; do
  object=$out/$(basename "${source%.*}").o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
wait_for "${pids[@]}"
pids=()
for main in review/standin-2/case-*.cpp review/standin-2/{recover,era}.cpp; do
  g++ "${flags[@]}" -Ireview/standin-2 "$main" "${objects[@]}" \
    "${libraries[@]}" -o "$out/$(basename "${main%.cpp}")" &
  pids+=($!)
done
wait_for "${pids[@]}"
