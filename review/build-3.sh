#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15 into target/review-3/. The program itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/kit3"
mkdir -p ../../target/review-3
GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-3/kit3 .
