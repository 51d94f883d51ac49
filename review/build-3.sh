#!/bin/sh
# Builds the stand-ins of the third review into target/. The programs of the project must have been built by the
# command of the deploy file before; that of the project's stand-in of the platform is built here again.
set -eu
cd "$(dirname "$0")/.."
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in review/_standin-3/*.txt; do
	cp "$f" "$src/$(basename "$f" .txt)"
done
root=$PWD
go build -ldflags=-linkmode=external -o target/ ./cmd/toucanplatform
(cd "$src" && GOFLAGS=-mod=mod GOWORK=off go build -o "$root/target/review3" .)
