#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Runs many random schedules of bundles: scripts/schedules.sh [NUMBER], 100,000 without one, shared by all processors.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target tst_bundle_schedules
number=${1:-100000}
workers=$(nproc)
seed=$(date +%s)
echo "seeds $seed to $((seed + workers - 1)), $number schedules"
pids=()
for worker in $(seq 0 $((workers - 1))); do
  RC_PARAMS="seed=$((seed + worker)) max_success=$((number / workers)) max_size=60" \
    build/tests/auto/fleet/tst_bundle_schedules >"build/schedules-$worker.log" 2>&1 &
  pids+=($!)
done
failed=0
for pid in "${pids[@]}"; do wait "$pid" || failed=1; done
grep -h "passed\|Falsifiable\|Assertion" build/schedules-*.log || true
exit "$failed"
