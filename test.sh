#!/usr/bin/env bash
# Runs all checks: formatting, source rules, go vet, the pinned linter, the build
# and all tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files '*.go' ':!*.pb.go'))
if [ -n "$unformatted" ]; then
  echo "gofmt would change: $unformatted" >&2
  exit 1
fi
# Only platform/ may refer to the platform's names. Stand-ins and tests are exempt
# because they encode them.
outside=$(git grep -nE '"/-/(resolve|ready|kv-)|"(expectRev|seedNodes|routeKind|homeRegions|coldLeft|ttl_time|tenants|apiKeys|ratePerS)"|"op/(config|evacuate)|X-Jacinthstall-|X-Api-Key|JACINTHSTALL_NODE_FILE' -- '*.go' ':!platform' ':!standin' ':!*_test.go' || true)
if [ -n "$outside" ]; then
  echo "names of the platform outside platform/:" >&2
  echo "$outside" >&2
  exit 1
fi
# Ages and intervals must use the monotonic clock: the wall clock may be
# adjusted at any time.
dated=$(git grep -nE '\.Unix(Nano|Milli|Micro)?\(\)' -- balance gateway gossip mirror node forward steering ':!*_test.go' || true)
if [ -n "$dated" ]; then
  echo "time of day in a decision:" >&2
  echo "$dated" >&2
  exit 1
fi
go vet ./...
(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
bin/staticcheck ./...
go build -o bin/ ./cmd/...
# Tests that KNOWN-RED.txt lists as failing always are passed over by name.
skipped=
if [ -e KNOWN-RED.txt ]; then
  skipped=$(awk '$1 == "test" { sub(/.*\./, "", $2); name = $2 } $1 == "fails" && $2 == "always" { print name }' KNOWN-RED.txt | paste -sd '|')
fi
go test -race -count=1 -timeout 8m ${skipped:+-skip "^($skipped)\$"} "$@" ./...
# The race detector changes memory allocation, so these tests run without it.
go test -count=1 -run 'Alloc|Memory|Bounds|Figures' ./events ./lookup ./internal/capacity ./configsync/configtest
# The models of 195 instances have one goroutine and take ten times as long with it.
go test -count=1 -run 'RateLimit|ColdRate' ./balance
# The stand-in encodes megabytes within the time limits of calls.
go test -count=1 -run 'SlowLink' ./platform
if [ -e KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
fi
