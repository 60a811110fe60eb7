#!/usr/bin/env bash
# Runs the case once; needs the builds of deploy/system.toml and of review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/review-2 stale_reads review/9
