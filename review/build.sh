#!/usr/bin/env bash
# Builds the project as its deploy file says, and the stand-ins of the scripted cases, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o target/review-standin ./review/_standin
