# The two commands of the README: make demo and make test.

GO ?= go
BIN := bin
TOOLS := $(CURDIR)/$(BIN)/tools
LINT_VERSION := v2.15.0

.PHONY: build demo test unit prove breaks lint bench measure slopes fuzz generate spin

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/rwdemo

test: build lint unit prove
	$(BIN)/rwdemo

unit:
	$(GO) vet ./...
	$(GO) test ./...
	$(GO) test -race ./internal/rwonce ./internal/rwslot ./internal/rwserve

prove: spin
	scripts/prove.sh

spin:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin >/dev/null)

breaks:
	scripts/breaks.sh

lint: $(TOOLS)/golangci-lint
	$(TOOLS)/golangci-lint run --allow-parallel-runners ./...

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

bench: build
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...
	$(BIN)/rwmeasure path

measure: build
	$(BIN)/rwmeasure

slopes: build
	$(BIN)/rwmeasure --slopes

fuzz:
	$(GO) test -fuzz FuzzCompletion -fuzztime 30s ./internal/rwgateway
	$(GO) test -fuzz FuzzParse -fuzztime 30s ./internal/rwcursor
	$(GO) test -fuzz FuzzUnpack -fuzztime 30s ./internal/rwwire
	$(GO) test -fuzz FuzzMerge -fuzztime 30s ./internal/rwtree
	$(GO) test -fuzz FuzzStream -fuzztime 30s ./internal/rwengine

generate:
	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. internal/rwwire/rwwire.proto
