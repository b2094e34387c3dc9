#!/usr/bin/env bash
# Builds the program of the stand-ins and cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/testdata/standin
