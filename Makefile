.PHONY: build run test check

build:
	go build -o bin/ochrebay ./cmd/ochrebay

run: build
	scripts/run-small

check:
	scripts/check

test: build
	scripts/check
	go test -timeout 540s ./...
