#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/fulmarbend ] || [ ! -x target/rig3 ]; then
	echo "build as deploy/system.toml says, then run review/build-3.sh" >&2
	exit 2
fi
exec target/rig3 -program target/fulmarbend -case release -record review/13/record.txt
