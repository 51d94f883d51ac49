GO ?= go
TOOL := $(GO) tool -modfile=tools/go.mod

.PHONY: build demo operating test lint names vet docs docs-check unit measure soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	script/demo.sh
	script/platform-demo.sh

# operating runs the commands of docs/OPERATING.md.
operating: build
	script/operating.sh

# test runs all checks.
test: lint vet build docs-check unit

lint: names
	@unformatted=$$($(TOOL) goimports -local toucanfall -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml -set_exit_status ./...
	$(TOOL) godot ./
	$(TOOL) errcheck -exclude .errcheck-excludes ./...

# names keeps the words of the users' platform in its adapter.
names:
	script/names.sh

vet:
	$(GO) vet ./...

# docs writes the pages that are made from the code.
docs:
	$(GO) run ./internal/docgen -write

docs-check:
	$(GO) run ./internal/docgen

# unit runs all tests with the race detector and passes over the entries of
# KNOWN-RED.txt, which it prints.
unit:
	script/unit.sh

# measure prints the tables of docs/MEASURES.md.
measure:
	$(GO) run ./cmd/toucanmeasure

# soak runs the randomised tests for longer than make test does, each time with
# another seed.
soak:
	TOUCAN_CHECKS=1000 TOUCAN_SEED=$$(date +%s) TOUCAN_TIMEOUT=4h script/unit.sh
