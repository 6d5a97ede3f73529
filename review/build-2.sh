#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, into target/review/.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/loopback ./review/loopback
