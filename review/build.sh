#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The stand-ins of the cases are Python programs of this folder, so there is nothing to build: this checks that they
# can be read, and that the host's program has been built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]*/*.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
import tomllib  # Python 3.11, which Debian 12 has
CHECK
test -x ../target/src/app/sailtillerd/sailtillerd || { echo "build the host first: deploy/system.toml" >&2; exit 1; }
