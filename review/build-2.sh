#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 under target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/testdata/rig2
