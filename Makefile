.PHONY: build test lint run demo system-demo

build:
	mkdir -p bin
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go vet -tags check $(INTERLEAVED)

# Packages with tests that run all interleavings of a few goroutines (internal/check).
INTERLEAVED = ./internal/check ./internal/seam ./internal/latest ./internal/driver ./internal/fleet/limit/rights ./internal/fleet/limit/hold

test: lint build
	go test -tags check -count=1 -run 'Interleav|Finds|Alike' $(INTERLEAVED)
	go test -race -count=1 ./...

run: build
	ROUTER_CONFIG=$${ROUTER_CONFIG:-deploy/example.json} exec bin/granitewing

# The newcomer's one command: an emulated fleet, three real dispatchers and 20 s of load, audited.
system-demo: build
	bin/granitewing-demo bin/granitewing-system

demo: build
	bin/gwlab demo
