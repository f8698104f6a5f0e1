#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs what is missing, builds, and shows the main job: stand-ins of the platform and of two engines that hold
# half of a model each, one entry host, a bundle that is signed, published and activated, and a streamed answer.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target sailtillerd sailtiller sailtiller_standin

. scripts/testbed.sh

start_standin log log
start_standin hosts hosts
start_standin engine_a engine --layers 8 --step-us 20000 --prefill-us 60000
start_standin engine_b engine --layers 8 --step-us 20000 --prefill-us 60000
start_standin blobs service

make_keys
sed -e "s/ENGINE_A/$engine_a/; s/ENGINE_B/$engine_b/; s/BLOBS/$blobs/; s/KEY_DIGEST/$digest/" \
  examples/bundle.json >"$work/bundle.json"

start_host host-1 18080

echo "== the bundle is checked, signed, published and activated"
"$cli" bundle check "$work/bundle.json"
activate "$work/bundle.json" 127.0.0.1:18081

echo "== a streamed chat completion over two engines"
curl -sS -N -D "$work/headers" http://127.0.0.1:18080/v1/chat/completions \
  -H "authorization: Bearer $key" -H 'content-type: application/json' \
  -d '{"model":"dial-reader","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"What changed?"}]}'

echo "== a plain service"
curl -sS http://127.0.0.1:18080/blobs/sha256 -H "authorization: Bearer $key"
echo
echo "== why it went where it went"
request=$(awk 'tolower($1) == "x-request-id:" {print $2}' "$work/headers" | tr -d '\r')
"$cli" explain "$request" --host 127.0.0.1:18081
