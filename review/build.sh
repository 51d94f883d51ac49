#!/usr/bin/env bash
# Builds the stand-ins of the cases as target/review/standin. The sources end in .txt, so that the checks of
# the repository's own code (names, format, linters) and its default test run pass them over.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
src=$(mktemp -d)
trap 'rm -rf "$src"' EXIT
for f in review/*.go.txt review/go.mod.txt; do
	cp "$f" "$src/$(basename "$f" .txt)"
done
mkdir -p target/review
cd "$src"
go build -buildvcs=false -o "$root/target/review/standin" .
