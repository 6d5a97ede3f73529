#!/usr/bin/env bash
# Builds the stand-ins of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/standin ./review/standin
