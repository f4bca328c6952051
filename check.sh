#!/usr/bin/env bash
# The one check: formatter, linter, vet, purity of the decisions, build and tests.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"

tool() {
  go tool -modfile=tools/go.mod "$@"
}

echo "== gofumpt"
unformatted=$(git ls-files -co --exclude-standard "*.go" | grep -v testdata | xargs -r go tool -modfile=tools/go.mod gofumpt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted:"
  echo "$unformatted"
  exit 1
fi

echo "== revive"
tool revive -config revive.toml -set_exit_status ./...

echo "== vet"
go vet ./...

echo "== build"
go build ./...

echo "== known red (KNOWN-RED.txt)"
grep -v '^#' KNOWN-RED.txt || echo "none"

echo "== tests"
go test ./...
