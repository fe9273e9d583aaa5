#!/bin/sh
# Builds the stand-ins of the second review's cases (review/4 to review/8) to target/review-2/cases. It needs Go,
# no network and no other module. The controllers are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/cases .
