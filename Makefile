# Build, test and measure siskingw. Needs Go only.

GO ?= go
TEST_TIMEOUT ?= 9m
SOAK_TIME ?= 10m

.PHONY: build test race soak lint fmt demo generate

build:
	$(GO) build -o bin/ ./cmd/...

test: build
	$(GO) test -timeout $(TEST_TIMEOUT) ./...

race: build
	$(GO) test -race -timeout 20m ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool -modfile=tools/go.mod staticcheck ./...

fmt:
	gofmt -w $$(git ls-files '*.go')

# Only needed after a change to a .proto file; the generated code is committed.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/peerpb/peer.proto store/etcd/etcdpb/etcd.proto
