#!/usr/bin/env bash
# Builds what the scripts in review/4 and later start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_standin2
