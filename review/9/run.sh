#!/bin/bash
# Plays the case that claim.txt describes. With TROUBLE=0 the store serves all machines.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bronzereach ] || [ ! -x target/review/stage ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec timeout -k 5 110 target/review/stage config review/9/record.txt
