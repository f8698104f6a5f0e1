#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Names that only the users' platform speaks belong to platform/ (and to tests of it): finds them under src/.
set -euo pipefail
cd "$(dirname "$0")/.."

names='x-attempt-id|x-deadline-ms|x-token-usage|x-prompt-prefix|x-response-signature|x-not-executed'
names+='|x-target-instance|x-instance-id|x-tenant|x-model|length-hint|at-server|expect-version'
names+='|log-(append|read|newest|join|leave|commit|owners|trim)|keyed\.(op|servers|status)|/api/(order|report|readyz)'
names+='|target-version|traffic-split|path-prefix|target-latency-ms|max-attempts|gap_aim_ms|kv-token-bytes'
names+='|server-limit|expected-revision|repath|read_x|act_bytes|pipe_mbps|draining'

if git ls-files src | xargs grep -niE "\"[^\"]*($names)[^\"]*\""; then
  echo "names of the platform's wire stand under src/; decode them in platform/" >&2
  exit 1
fi
