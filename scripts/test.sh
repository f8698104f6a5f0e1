#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs what is missing, then runs the formatter, the check for names of the wire, the build with -Werror, the tests,
# the tests under the sanitizers, and clang-tidy. Any finding ends it with a non-zero code. Tests that KNOWN-RED.txt
# names fail for a known fault: they are run by themselves and printed, and one that passes has to leave the list.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '== %s\n' "$*"; }

known_red=KNOWN-RED.txt
most_known_red=3
# Of these suites any number may be listed: each way of sending has a line of its own.
uncounted_known_red='^caller_crowds\.'

# The names that a line begins with, joined for a filter of GoogleTest.
known_red_tests() { [ ! -s "$known_red" ] || cut -d: -f1 "$known_red" | paste -sd:; }

# Tests with real processes wait most of the time; more at once would be load for their time limits.
tests_at_once=3

# Runs the tests of a build, all but those that are known to fail.
run_tests() { GTEST_FILTER="-$(known_red_tests)" ctest --test-dir "$1" -j "$tests_at_once" --output-on-failure; }

# Runs in which a test with real processes may pass by chance although its fault is there.
known_red_runs=3

# True if the test of the build fails in one of the runs.
fails_once() {
  local run
  for ((run = 0; run < known_red_runs; ++run)); do
    GTEST_FILTER="$1" ctest --test-dir "$2" >/dev/null || return 0
  done
  return 1
}

check_known_red() {
  [ -s "$known_red" ] || return 0
  [ "$(grep -vc "$uncounted_known_red" "$known_red")" -le "$most_known_red" ] || { echo "$known_red holds over $most_known_red lines" >&2; exit 1; }
  cat "$known_red"
  local name
  while IFS=: read -r name _ || [ -n "$name" ]; do
    # A pattern would pass over tests that nobody named.
    [[ "$name" =~ ^[A-Za-z0-9_/]+\.[A-Za-z0-9_/]+$ ]] || { echo "$name in $known_red is no test's name" >&2; exit 1; }
    if ! fails_once "$name" "$1"; then
      echo "$name passes, or is not there: take it off $known_red" >&2
      exit 1
    fi
  done <"$known_red"
}

step "packages"
scripts/setup.sh

step "format"
git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

step "names of the platform's wire"
scripts/check_wire_names.sh

step "build"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSAILTILLER_BENCH=ON >/dev/null
cmake --build build

step "tests"
run_tests build

step "tests that are known to fail"
check_known_red build

step "tests under the sanitizers"
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DSAILTILLER_SANITIZE=ON -DSAILTILLER_BENCH=OFF >/dev/null
cmake --build build-sanitize
run_tests build-sanitize

step "clang-tidy"
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --warnings-as-errors='*' 2>/dev/null

step "all checks passed"
