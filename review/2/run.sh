#!/usr/bin/env bash
# Plays the case: ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/fennelarch ] || [ ! -x review/bin/cases ]; then
	echo "build the project and review/build.sh first"
	exit 2
fi
exec review/bin/cases store-effect review/2/record.txt
