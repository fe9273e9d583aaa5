#!/usr/bin/env bash
# Format, vet, the build that deploy/service.toml names, and all tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal wire)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
go test -race -count=1 -timeout 10m ./...
