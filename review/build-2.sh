#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The stand-ins of cases 6 to 10 are Python programs that need its standard library alone, 3.9 or newer: there
# is nothing to compile. This checks that the interpreter is there and accepts each file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in common-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
