#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -s target/router.jar ] && [ -s target/review/FailedContinuation.class ] || exit 2
timeout -k 5 115 java -Xmx256m -cp target/review FailedContinuation review/5/record.txt &
program=$!
trap 'kill "$program"; wait "$program"; exit 2' TERM INT
wait "$program"
case $? in
  0) exit 0 ;;
  111) exit 1 ;;
  *) exit 2 ;;
esac
