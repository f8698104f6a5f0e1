#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Measures relaying through one host over sockets against calling the engine stand-in directly, in one run, and
# prints one line of JSON for each measurement. Needs a build with benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/testbed.sh

start_standin log log
start_standin hosts hosts
start_standin engine_a engine --layers 8
start_standin engine_b engine --layers 8
make_keys
sed -e "s/ENGINE_A/$engine_a/; s/ENGINE_B/$engine_b/; s/KEY_DIGEST/$digest/" bench/bundle.json >"$work/bundle.json"
start_host bench-host 18180
activate "$work/bundle.json" 127.0.0.1:18181 >&2

ticks_a_second=$(getconf CLK_TCK)
cpu_ticks() { awk '{print $14 + $15}' "/proc/$host_pid/stat"; }
memory_kb() { awk '/^VmRSS/ {print $2}' "/proc/$host_pid/status"; }

# measure NAME STREAMS REQUESTS FLAGS: runs the load tool and adds what the host's process used.
measure() {
  local name=$1 streams=$2 requests=$3; shift 3
  local before after result
  before=$(cpu_ticks)
  result=$(build/bench/relay_load --streams "$streams" --requests "$requests" --tokens 50 "$@")
  after=$(cpu_ticks)
  printf '{"name": "%s", "streams": %s, "tokens": %s, "host_cpu_seconds": %s, "host_memory_kb": %s, "load": %s}\n' \
    "$name" "$streams" "$((requests * 50))" \
    "$(awk -v a="$before" -v b="$after" -v t="$ticks_a_second" 'BEGIN {print (b - a) / t}')" "$(memory_kb)" "$result"
}

through=(--target 127.0.0.1:18180 --key "$key")
measure direct 1 40 --target "$engine_a" --direct --layers 8
measure one-stage 1 40 "${through[@]}" --model one-stage
measure two-stages 1 40 "${through[@]}" --model two-stages
measure direct 100 1000 --target "$engine_a" --direct --layers 8
measure one-stage 100 1000 "${through[@]}" --model one-stage
measure two-stages 100 1000 "${through[@]}" --model two-stages
measure two-stages 2000 4000 "${through[@]}" --model two-stages
