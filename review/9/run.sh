#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves out the disruption. It needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/toucanfall ] && [ -x target/review-2/cases ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
RECORD=review/9/record.txt exec target/review-2/cases long-stream-at-stop
