#!/bin/sh
# Shows DRAIN: see claim.txt. TROUBLE=0 runs it without the disruption.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/galenadyked ] && [ -x target/review-2/standin ] || {
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
}
exec target/review-2/standin late "$folder"
