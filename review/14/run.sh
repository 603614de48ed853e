#!/usr/bin/env bash
# Plays the case frozen-host; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
ulimit -n 4100 || exit 2
exec target/review-3/standin-3 frozen-host review/14 >/dev/null
