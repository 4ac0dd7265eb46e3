#!/usr/bin/env bash
# Runs every check: formatting, vet, the pinned linter, build, and all tests
# with the race detector.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l $(git ls-files '*.go' ':!*.pb.go'))
if [ -n "$unformatted" ]; then
  echo "gofmt would change: $unformatted" >&2
  exit 1
fi
go vet ./...
(cd tools && go build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck)
bin/staticcheck ./...
go build -o bin/ ./cmd/...
go test -race -count=1 -timeout 8m "$@" ./...
