#!/usr/bin/env bash
# Plays the case of claim.txt. 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x target/review/standin ] || [ ! -x "${run%% *}" ]; then
	echo "first the build of deploy/service.toml, then review/build.sh" >&2
	exit 2
fi
# shellcheck disable=SC2086 # the program and its arguments
exec target/review/standin zero-amount "$here/record.txt" $run
