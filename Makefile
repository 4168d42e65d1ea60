# The two commands of the README: make demo and make test.

GO ?= go
BIN := bin

.PHONY: build demo test generate

build:
	$(GO) build -o $(BIN)/ ./cmd/...

demo: build
	$(BIN)/rwdemo

test:
	$(GO) vet ./...
	$(GO) test ./...

generate:
	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. internal/rwwire/rwwire.proto
