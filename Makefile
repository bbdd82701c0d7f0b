# The one entry point: make build, test, lint, fmt, demo, bench, policy, fuzz, soak.
GOFUMPT = mvdan.cc/gofumpt@v0.12.0
REVIVE = github.com/mgechev/revive@v1.17.0

.PHONY: build test lint fmt demo bench policy fuzz soak generate clean

build:
	go build -o bin/ ./cmd/...

test:
	go run ./scripts/tests -race

lint:
	go vet ./...
	test -z "$$(go run $(GOFUMPT) -l $$(git ls-files '*.go' | grep -vE '\.(pb|connect)\.go$$'))"
	go run $(REVIVE) -set_exit_status -formatter friendly ./...

fmt:
	go run $(GOFUMPT) -w $$(git ls-files '*.go' | grep -vE '\.(pb|connect)\.go$$')

demo: build
	scripts/demo.sh

bench: build
	go test -run '^$$' -bench . -benchmem ./state/... ./coordination/...
	go run ./bench/overhead

# Needs buf, protoc-gen-go and protoc-gen-connect-go on the path; the output is committed.
generate:
	buf generate

# New seeds; a failure prints its seed and is kept under testdata/rapid.
fuzz:
	PRIMROSE_FUZZ=1 go test -count=1 ./state/... ./coordination/... ./proof -rapid.checks=5000 -run "Memory|Replica|Effective|Checked|Order|Tables|Plan|Departure|Announcements"
	PRIMROSE_FUZZ=1 go test -count=1 ./proof -run Life -rapid.checks=20

# Random faults against real daemons, seeds of their own; about two minutes.
soak: build
	bin/primrose-soak --seeds 30 --jobs 8

# Policy in virtual time; docs/POLICY.md holds its tables.
policy:
	go run ./bench/policy

clean:
	rm -rf bin
