#!/usr/bin/env bash
# Fails where a name of the users' platform stands outside platform/ and deploy/.
set -uo pipefail
cd "$(dirname "$0")/.."
pattern='"Toucanfall-|"Server-(Leaving|Limit)|log-(append|read|newest|join|leave|commit|owners|trim)|"Store-Era|keyed\.(op|servers|status)|TOUCANFALL_NODE_FILE|/api/(ready|order|report|hold|kv)|"(PathPrefix|WeightedServices|ApiKeys|RatePerS|KvCapacity|LoadsPerS|ColdRemainingMs|ColdPerS|AllowedRegions|Precondition|TtlMs)"|(Pin|Hold|Kv)-(From|Fetch|Ms)'
if git grep -nE "$pattern" -- '*.go' ':!platform'; then
	echo "names of the platform belong into platform/" >&2
	exit 1
fi
