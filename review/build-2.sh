#!/usr/bin/env bash
# Builds the programs of the cases of the second review into target/review-2/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/kit2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/ ./...
