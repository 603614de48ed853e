#!/usr/bin/env bash
# Builds the programs and runs one deployment on loopback: stand-ins for the platform and the backend servers,
# nine hosts, and the caller program. See README.md.
set -euo pipefail
cd "$(dirname "$0")"

usage() {
  cat <<'HELP'
Usage: ./demo.sh [--deployment registry|consorcio] [--duration 20s] [--json]
  --deployment  whose sizes of today to run (default: registry)
  --duration    end after this time with a report; without it run until an interrupt
  --json        print only the report as JSON
Exit status: 0, or 1 if the report shows a violated guarantee, or 2 if the demonstration could not run.
HELP
}

deployment=registry duration="" json=""
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=${2:-}; shift 2 ;;
    --duration) duration=${2:-}; shift 2 ;;
    --json) json=--json; shift ;;
    -h | --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done
files=deployments/$deployment
[ -f "$files/platform.json" ] || { echo "unknown deployment: $deployment" >&2; exit 2; }

say() { [ -n "$json" ] || echo "$@"; }
run=run/$deployment
mkdir -p bin "$run"
go build -o bin ./cmd/vanillatally ./cmd/standin ./cmd/caller

pids=() caller_pid=""
stop() {
  trap - EXIT INT TERM
  # The caller stops first and reports. Only processes that this script started are signalled.
  [ -z "$caller_pid" ] || { kill -TERM "$caller_pid" 2>/dev/null && wait "$caller_pid" 2>/dev/null; }
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[$i]}" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}

platform=$(sed -n 's/^platform = "http:\/\/\(.*\)"/\1/p' "$files/load.toml")
start platform bin/standin --list "$files/platform.json" platform --address "$platform"
for id in $(bin/standin --list "$files/platform.json" ids); do
  start "$id" bin/standin --list "$files/platform.json" server --id "$id"
done
for settings in "$files"/host-*.toml; do
  start "$(basename "$settings" .toml)" bin/vanillatally host --settings "$settings"
done

operator=$(sed -n 's/^operator-address = "\(.*\)"/\1/p' "$files/host-1.toml")
export VANILLATALLY_CREDENTIAL=demonstration-operator
applied=""
for _ in $(seq 60); do
  if bin/vanillatally --address "$operator" apply --file "$files/configuration.toml" --expect 0 >"$run/apply.log" 2>&1; then
    applied=yes
    break
  fi
  grep -q -e '^pending' -e '^conflict' "$run/apply.log" && applied=yes && break
  sleep 0.5
done
[ -n "$applied" ] || { echo "the configuration could not be applied:" >&2; cat "$run/apply.log" >&2; exit 2; }
say "$(cat "$run/apply.log")"

for settings in "$files"/host-*.toml; do
  address=$(sed -n 's/^operator-address = "\(.*\)"/\1/p' "$settings")
  for _ in $(seq 60); do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}" && printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3 && grep -q '^ready' <&3) 2>/dev/null; then break; fi
    sleep 0.25
  done
  say "$(basename "$settings" .toml): callers $(sed -n 's/^caller-address = "\(.*\)"/\1/p' "$settings"), operators $address"
done
caller=$(sed -n 's/^caller-address = "\(.*\)"/\1/p' "$files/host-1.toml")
route=$(sed -n 's/^route = "\(.*\)"/\1/p' "$files/load.toml" | head -1)
path=$(sed -n 's/^path = "\(.*\)"/\1/p' "$files/load.toml" | head -1)
key=$(sed -n 's/^key = "\(.*\)"/\1/p' "$files/load.toml" | head -1)
say "look-up:  curl 'http://$caller/v1/lookup?route=$route&address=127.0.0.1'"
say "request:  curl -H 'Authorization: Bearer $key' http://$caller$path/1"
say "operator: VANILLATALLY_CREDENTIAL=$VANILLATALLY_CREDENTIAL bin/vanillatally --address $operator status"

# The caller runs in the background, because a trap waits for a program in the foreground to end.
limit=()
[ -z "$duration" ] && say "sending the teams' traffic; interrupt to stop" || limit=(--duration "$duration")
bin/caller --profile "$files/load.toml" "${limit[@]}" $json &
caller_pid=$!
pids+=("$caller_pid")
status=0
wait "$caller_pid" || status=$?
exit "$status"
