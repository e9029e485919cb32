#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption. Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/router.jar ] && [ -d target/review-3 ] || { echo "build first: deploy/build, review/build-3.sh" >&2; exit 2; }
exec timeout -k 5 110 java -Xmx128m -XX:TieredStopAtLevel=1 -cp target/review-3 StoppedStreams review/11/record.txt
