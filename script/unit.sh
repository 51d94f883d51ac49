#!/usr/bin/env bash
# Runs all tests with fixed seeds. A test that KNOWN-RED.txt lists may fail: it
# is printed and passed over. Any other failure, and a listed test that passes,
# ends with a non-zero exit code.
#
# A line of KNOWN-RED.txt is: TEST | COMMAND | SEED | SEEN | ISSUE
set -uo pipefail
cd "$(dirname "$0")/.."

red=""
if [ -f KNOWN-RED.txt ]; then
	red=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | grep . | paste -sd'|' -)
fi
flags=(-race -timeout 20m -rapid.seed=1 -rapid.nofailfile)
packages=$(go list ./...)
# The flags of rapid exist only in test binaries that import it.
rapid=$(go list -f '{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$.ImportPath}}{{end}}{{end}}' ./... | grep . | sort -u)
plain=$(comm -23 <(sort <<<"$packages") <(sort <<<"$rapid"))
code=0
if [ -n "$rapid" ]; then
	# shellcheck disable=SC2086
	go test "${flags[@]}" ${red:+-skip "^($red)$"} $rapid || code=1
fi
# shellcheck disable=SC2086
go test -race -timeout 20m ${red:+-skip "^($red)$"} $plain || code=1
if [ -n "$red" ]; then
	echo "known red, passed over:"
	grep -v '^#' KNOWN-RED.txt | grep .
fi
exit $code
