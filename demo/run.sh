#!/usr/bin/env bash
# Builds the programs and runs a complete system on loopback: the stand-in for
# the platform, targets in two failure domains, four entry instances and a
# caller. All started processes are terminated when the script exits.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
mkdir -p demo/run
# Key files must not be readable by other users. Git does not store this mode,
# so the key is copied with mode 600.
install -m 600 demo/demo-only-keys/operator.key demo/run/operator.key
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap cleanup EXIT

start() {
  local name=$1
  shift
  "$@" >"demo/run/$name.log" 2>&1 &
  pids+=($!)
}

start platform bin/jacinth-platform --address 127.0.0.1:17000 --instances demo/instances.json --document demo/policy.json --key demo/run/operator.key
port=17100
for domain in a b; do
  for kind in catalogue:5 enrolment:3; do
    for number in 1 2; do
      name="${kind%%:*}-$domain$number"
      start "$name" bin/jacinth-target --name "$name" --address "127.0.0.1:$port" --slots "${kind##*:}" --service 20ms
      port=$((port + 1))
    done
  done
done
for file in demo/settings/*.json; do
  start "$(basename "$file" .json)" bin/jacinthd --settings "$file"
done

wait_ready() {
  for _ in $(seq 1 100); do
    if (exec 3<>/dev/tcp/127.0.0.1/"$1") 2>/dev/null &&
      [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/ready")" = 200 ]; then
      return 0
    fi
    sleep 0.1
  done
  echo "the instance with operator port $1 is not ready" >&2
  return 1
}
wait_version() {
  for _ in $(seq 1 100); do
    if curl -s "http://127.0.0.1:$1/status" | grep -q "\"version\":$2,"; then
      return 0
    fi
    sleep 0.1
  done
  echo "the instance with operator port $1 does not have version $2" >&2
  return 1
}
for port in 17400 17401 17402 17403; do wait_ready "$port"; done
bin/jacinth-load --bootstrap 127.0.0.1:17200 --requests "${REQUESTS:-400}" --concurrency 8

sed 's/"lookupTtlMs": 1000/"lookupTtlMs": 900/' demo/policy.json >demo/run/policy-2.json
publish_flags=(--platform 127.0.0.1:17000 --key demo/run/operator.key --in-force-at 127.0.0.1:17400)
bin/jacinthctl publish "${publish_flags[@]}" demo/run/policy-2.json
for port in 17400 17401 17402 17403; do wait_version "$port" 2; done
bin/jacinthctl drain "${publish_flags[@]}" --target catalogue-a1
for port in 17400 17401 17402 17403; do wait_version "$port" 3; done
bin/jacinthctl status --platform 127.0.0.1:17000 127.0.0.1:1740{0,1,2,3}
