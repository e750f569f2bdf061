#!/usr/bin/env bash
# Builds the project's program with the build command of the deploy file, and the stand-ins of the
# review, which use the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
cd review/stand
GOFLAGS=-mod=mod GOPROXY=off go test -c -o ../bin/stand .
