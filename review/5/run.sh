#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] && [ -x target/release/berylpind ] || exit 2
target/review/case-5 "$PWD/review/5"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
