# The one entry point: make build, test, lint, fmt, demo, bench, policy, capacity, fuzz.
GOFUMPT = mvdan.cc/gofumpt@v0.12.0
REVIVE = github.com/mgechev/revive@v1.17.0

.PHONY: build test race lint fmt demo bench generate clean

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 -timeout 20m ./...

lint:
	go vet ./...
	test -z "$$(go run $(GOFUMPT) -l $$(git ls-files '*.go' | grep -vE '\.(pb|connect)\.go$$'))"
	go run $(REVIVE) -set_exit_status -formatter friendly ./...

fmt:
	go run $(GOFUMPT) -w $$(git ls-files '*.go' | grep -vE '\.(pb|connect)\.go$$')

demo: build
	scripts/demo.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Needs buf, protoc-gen-go and protoc-gen-connect-go on the path; the output is committed.
generate:
	buf generate

clean:
	rm -rf bin
