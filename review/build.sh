#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It needs the build of the deploy file and no
# network beyond what that build needed.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/testdata/casekit
