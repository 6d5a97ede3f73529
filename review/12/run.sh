#!/usr/bin/env bash
# Shows that a target that left while the entry that reads the store was away stays in use. See claim.txt.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/amaranthturn ] && [ -x target/review-fleet ] || { echo "build first"; exit 2; }
exec target/review-fleet reader review/12/record.txt "${TROUBLE:-1}"
