#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts: the project's store stand-in and
# the backends and clients of review/testdata/kit3, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-kit3 ./review/testdata/kit3
