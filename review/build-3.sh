#!/bin/sh
# Builds the stand-ins of the cases of the third review, folders 7 to 11. The programs under review are built by
# the deploy file's build line.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review3-standin ./review/_standin3
