#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0
# held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/galenadyked ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then disruption=without; else disruption=with; fi
exec target/review-standin regress review/5 "$disruption"
