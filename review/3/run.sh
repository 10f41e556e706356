#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2
# if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/lab ] || [ ! -x target/bronzereach ]; then
	echo "build with the deploy file's command and review/build.sh first"
	exit 2
fi
exec target/review/lab -case restartDrain -record review/3/record.txt
