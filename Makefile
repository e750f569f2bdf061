# SEEDS is how many seeds of each deployment make test simulates.
SEEDS = 500

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
	bin/ochrebay simulate --seeds 1..$(SEEDS) --deployment small
	bin/ochrebay simulate --seeds 1..$(SEEDS) --deployment vantul
	bin/ochrebay simulate --seeds 1..$(SEEDS) --deployment court
