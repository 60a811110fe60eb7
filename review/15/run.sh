#!/usr/bin/env bash
# Needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-3/standin ] || exit 2
exec ../../target/review-3/standin odd-entry . ../../target/release/berylpind
