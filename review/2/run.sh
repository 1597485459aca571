#!/usr/bin/env bash
# Engines leave orders unanswered and carry them out late while new weights are named. TROUBLE=0 leaves that out.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig ] || { echo "review/build.sh has not been run"; exit 2; }
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec target/review/rig -case late-orders -record review/2/record.txt -trouble="$trouble"
