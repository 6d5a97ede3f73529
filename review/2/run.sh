#!/usr/bin/env bash
# Runs the case once, after review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin silent review/2/record.txt
