#!/bin/sh
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case couldn't run. With TROUBLE=0 the store doesn't come back from a copy.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/sardinebank && test -x target/review-3/cases || exit 2
exec target/review-3/cases evacuated review/12
