#!/usr/bin/env bash
# Regenerates the committed Go code from peer.proto. Requires protoc; the plugins
# are pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
(cd ../../tools && go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$plugins:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
