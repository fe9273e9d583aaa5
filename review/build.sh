#!/usr/bin/env bash
# Builds the program that plays the cases: the stand-ins for the state service, the cloud and the workers, and the users.
# It needs the standard library alone. The controllers are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
