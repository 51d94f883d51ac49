#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: the project's stand-in of the store, and one
# program with the clients, servers and the balancer of all cases (review/_standin-2, without dependencies).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -ldflags=-linkmode=external -o target/ ./cmd/toucanplatform
cd review/_standin-2
go build -buildvcs=false -o ../../target/review-2/cases .
