#!/usr/bin/env bash
# Runs case 4; see claim.txt. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption. It needs the build of the
# deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
rig=target/review-2/rig
[ -x "$rig" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec timeout --preserve-status -k 3 116 "$rig" pipeline review/4/record.txt
