#!/usr/bin/env bash
# Builds the program, with the command of the deploy file, and the stand-ins of the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
for case in review/[0-9]*/main.go; do
  n=$(basename "$(dirname "$case")")
  go build -tags review -o "target/review-$n" "./review/$n"
done
