#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file
# (it links the library that this build leaves in target/).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
cd "$root"
flags=(-std=c++20 -O1 -I. -Isrc -Itest -isystem /usr/include/jsoncpp)
sources=(test/standin/server.cc emulator/store.cc emulator/storeport.cc
  emulator/nodeprocess.cc emulator/lines.cc review/standin-2/rig.cc review/standin-2/world.cc
  review/standin-2/engines.cc)
objects=()
pids=()
for source in "${sources[@]}"; do
  object=$out/$(basename "${source%.cc}").o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
libraries=(target/libhold.a -ljsonrpccpp-server -ljsonrpccpp-common -ljsoncpp
  -lPocoNetSSL -lPocoNet -lPocoCrypto -lPocoFoundation -lssl -lcrypto
  -lprometheus-cpp-core -llog4cplus -lboost_program_options -lpthread)
pids=()
for main in review/standin-2/case-*.cc review/standin-2/recover.cc; do
  g++ "${flags[@]}" -Ireview/standin-2 "$main" "${objects[@]}" \
    "${libraries[@]}" -o "$out/$(basename "${main%.cc}")" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
