#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-fleet ./review/fleet
