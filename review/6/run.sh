#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fulmarbend ] && [ -x target/review-2/rig2 ] || { echo "could not run: not built"; exit 2; }
exec target/review-2/rig2 kept-hold review/6/record.txt
