#!/usr/bin/env bash
# Format, vet, linters, the build that deploy/service.toml names, and all tests.
# Tests listed in KNOWN-RED.txt may fail; see internal/ci/knownred.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal wire)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
# Names, doc comments, length and complexity; revive.toml has the bounds. Generated code is left out, and so
# is what measurements leave below target/, which revive would walk into.
go tool revive -config revive.toml -set_exit_status -exclude ./internal/peer/fb/... ./cmd/... ./internal/... ./wire/...
# Errors are compared with errors.Is and errors.As, and wrapped with %w.
go tool go-errorlint ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
# Three runs: all tests with the race detector; everything in simulated time once more, with replicas of the leader's
# allocation table; and a large fleet with replicas, as is the default. The race detector can't follow the goroutines of
# thousands of fake workers.
go run ./internal/ci/runtests \
	-race -count=1 -timeout 10m ./... \
	--next -count=1 -timeout 10m ./internal/sim -standby \
	--next -count=1 -timeout 10m ./internal/sim -run TestLargeFleet -fleet-sizes 4000 -standby
