#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs what is missing, then runs the formatter, the check for names of the wire, the build with -Werror, the tests,
# the tests under the sanitizers, and clang-tidy. Any finding ends it with a non-zero code.
set -euo pipefail
cd "$(dirname "$0")/.."

step() { printf '== %s\n' "$*"; }

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
ctest --test-dir build --output-on-failure

step "tests under the sanitizers"
cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DSAILTILLER_SANITIZE=ON -DSAILTILLER_BENCH=OFF >/dev/null
cmake --build build-sanitize
ctest --test-dir build-sanitize --output-on-failure

step "clang-tidy"
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet --warnings-as-errors='*' 2>/dev/null

step "all checks passed"
