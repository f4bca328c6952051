#!/bin/sh
# Builds the stand-ins of the scripted cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/kit"
go build -o ../../target/review-kit .
