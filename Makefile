MODULES := core platform node ctl testbed
GOBIN := $(shell go env GOPATH)/bin
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(GOBIN)/golangci-lint
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2
GENERATORS := $(GOBIN)/buf $(GOBIN)/protoc-gen-go $(GOBIN)/protoc-gen-go-grpc
export CGO_ENABLED := 1

.PHONY: build test lint fmt-check demo bench gen soak fuzz

build:
	go build -o bin/galenadyked ./node/cmd/galenadyked
	go build -o bin/galenadyke ./ctl/cmd/galenadyke
	go build -o bin/ ./testbed/cmd/...

test: build
	go test work
	GALENADYKE_ABUSE=1 go test -count=1 ./testbed/abuse
	@if grep -q '^ *Skipped: ' KNOWN-RED.txt 2>/dev/null; then echo "Known failures that were skipped:"; grep '^ *Skipped: ' KNOWN-RED.txt; fi

lint: $(GOLANGCI)
	$(GOLANGCI) run $(addsuffix /...,$(addprefix ./,$(MODULES)))

$(GOLANGCI):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

fmt-check:
	@test -z "$$(gofmt -l $(MODULES))" || { gofmt -l $(MODULES); exit 1; }

demo: build
	bin/testbed-demo

bench: build
	go test -run '^$$' -bench . -benchmem work

gen: $(GENERATORS)
	cd node/peer && PATH="$(GOBIN):$$PATH" buf generate
	cd node/gateway && PATH="$(GOBIN):$$PATH" buf generate --path gateway.proto
	go run ./node/cmd/galenadyked metrics > docs/METRICS.md

$(GOBIN)/buf:
	go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)

$(GOBIN)/protoc-gen-go:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)

$(GOBIN)/protoc-gen-go-grpc:
	go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)

SEED ?= 1
SEEDS ?= 1
MINUTES ?= 1
soak: build
	bin/testbed-soak -seed $(SEED) -seeds $(SEEDS) -minutes $(MINUTES)

# Fuzzes each decoder and reader for FUZZTIME, and the inputs of the gateway's core.
FUZZTIME ?= 1m
fuzz:
	go test ./core/gateway -run TestNoInputPanics -rapid.checks=100000
	go test ./core/objects -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	go test ./core/trace -run '^$$' -fuzz FuzzRead -fuzztime $(FUZZTIME)
	go test ./platform -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	go test ./node/backend -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	go test ./node/peer -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZTIME)
	go test ./node/gateway -run '^$$' -fuzz FuzzReply -fuzztime $(FUZZTIME)
	go test ./node/gateway -run '^$$' -fuzz FuzzPeerMessages -fuzztime $(FUZZTIME)
