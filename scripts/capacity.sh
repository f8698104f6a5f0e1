#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs the benchmarks and rewrites the measured table and the arithmetic of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSAILTILLER_BENCH=ON >/dev/null
cmake --build build
results=build/capacity
mkdir -p "$results"
build/bench/bench_sizes >"$results/sizes.json"
build/bench/bench_slopes --benchmark_min_time=0.3 --benchmark_format=json >"$results/slopes.json"
build/bench/bench_peer >"$results/peer.json"
build/bench/bench_inforce >"$results/inforce.json"
scripts/bench_relay.sh >"$results/relay.jsonl"
python3 scripts/capacity_page.py "$results" docs/CAPACITY.md
