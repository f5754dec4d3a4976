#!/usr/bin/env bash
# Plays the case of this folder; claim.txt tells what it shows. TROUBLE=0 leaves the disruption out.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/gannetwelld ] || [ ! -x target/review2 ]; then
	echo "build the programs of deploy/system.toml and run review/build-2.sh first" >&2
	exit 2
fi
exec target/review2 reroute review/5
