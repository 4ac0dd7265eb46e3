#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jacinth-node ] && [ -x target/review/casekit ] || exit 2
exec target/review/casekit crashing-request review/4
