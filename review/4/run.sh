#!/bin/sh
# Case 4 of the second review, see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
for program in "$root/target/firwood" "$root/target/review-2/cases"; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2
		exit 2
	fi
done
exec "$root/target/review-2/cases" halves "$root" "$here"
