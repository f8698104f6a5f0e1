#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Installs what is missing, builds, and shows the main job: stand-ins of the platform and of two engines that hold
# half of a model each, one entry host, a bundle that is signed, published and activated, and a streamed answer.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DSAILTILLER_BENCH=OFF >/dev/null
cmake --build build --target sailtillerd sailtiller sailtiller_standin

work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

standin=build/tests/standins/sailtiller_standin
cli=build/src/app/sailtiller/sailtiller
daemon=build/src/app/sailtillerd/sailtillerd

# Starts a stand-in on a free port and puts its address into the variable named first.
start_standin() {
  local name=$1; shift
  "$standin" "$@" --listen 127.0.0.1:0 >"$work/$name" &
  pids+=($!)
  for _ in $(seq 100); do [ -s "$work/$name" ] && break; sleep 0.05; done
  printf -v "$name" '%s' "$(sed -n 's/listening on //p' "$work/$name")"
}

start_standin log log
start_standin hosts hosts
start_standin engine_a engine --layers 8 --step-us 20000 --prefill-us 60000
start_standin engine_b engine --layers 8 --step-us 20000 --prefill-us 60000
start_standin blobs service

"$cli" key generate "$work/operator"
caller=$("$cli" key caller)
key=$(awk '/^key/ {print $2}' <<<"$caller")
digest=$(awk '/^digest/ {print $2}' <<<"$caller")
sed -e "s/ENGINE_A/$engine_a/; s/ENGINE_B/$engine_b/; s/BLOBS/$blobs/; s/KEY_DIGEST/$digest/" \
  examples/bundle.json >"$work/bundle.json"

export SAILTILLER_LOG_ADDRESS=$log SAILTILLER_DEPLOYMENT=demo SAILTILLER_TRUSTED_KEY=$work/operator.pub
"$daemon" --host-id host-1 --data-hall hall-a --host-list-address "$hosts" \
  --listen 127.0.0.1:18080 --admin-listen 127.0.0.1:18081 --stop-grace-ms 0 2>"$work/daemon.log" &
pids+=($!)

echo "== the bundle is checked, signed, published and activated"
"$cli" bundle check "$work/bundle.json"
"$cli" bundle sign "$work/bundle.json" --key "$work/operator" --out "$work/sign-off"
"$cli" bundle publish "$work/bundle.json"
"$cli" bundle activate "$work/bundle.json" --key "$work/operator" --sign-off "$work/sign-off" \
  --operator demo --reason "first bundle" --host 127.0.0.1:18081

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
