# SPDX-License-Identifier: Apache-2.0
# Sourced by the demonstration and the benchmarks: starts stand-ins and hosts on loopback, and ends them at exit.
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

# start_standin NAME ROLE [FLAGS]: starts a stand-in on a free port and puts its address into the variable NAME.
start_standin() {
  local name=$1; shift
  "$standin" "$@" --listen 127.0.0.1:0 >"$work/$name" &
  pids+=($!)
  for _ in $(seq 100); do [ -s "$work/$name" ] && break; sleep 0.05; done
  printf -v "$name" '%s' "$(sed -n 's/listening on //p' "$work/$name")"
}

# start_host ID PORT: starts a host for callers at PORT and for operators at PORT + 1; its process is in host_pid.
start_host() {
  "$daemon" --host-id "$1" --data-hall hall-a --host-list-address "$hosts" \
    --listen "127.0.0.1:$2" --admin-listen "127.0.0.1:$(($2 + 1))" --stop-grace-ms 0 >"$work/$1.log" 2>&1 &
  host_pid=$!
  pids+=("$host_pid")
}

# make_keys: an operator's key pair, and a caller's key in the variable key with its digest in digest.
make_keys() {
  "$cli" key generate "$work/operator" >/dev/null
  local caller
  caller=$("$cli" key caller)
  key=$(awk '/^key/ {print $2}' <<<"$caller")
  digest=$(awk '/^digest/ {print $2}' <<<"$caller")
  export SAILTILLER_LOG_ADDRESS=$log SAILTILLER_DEPLOYMENT=demo SAILTILLER_TRUSTED_KEY=$work/operator.pub
}

# activate FILE ADMIN-ADDRESS: signs, publishes and activates a bundle and waits until it is in force.
activate() {
  rm -f "$work/sign-off"
  "$cli" bundle sign "$1" --key "$work/operator" --out "$work/sign-off"
  "$cli" bundle publish "$1"
  "$cli" bundle activate "$1" --key "$work/operator" --sign-off "$work/sign-off" \
    --operator demo --reason "first bundle" --host "$2"
}
