# Commands for developers; README.md explains the two main ones.
.PHONY: demo test check build

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	go run ./test/demo --bin bin

check:
	./.ci/check

test:
	go test -race ./internal/... ./test/imports/...
	go test ./test/propagation/...
	go test -count=1 -timeout 30m ./test/e2e/...
