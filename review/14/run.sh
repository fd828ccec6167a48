#!/usr/bin/env bash
# Plays the case that claim.txt states. TROUBLE=0 leaves its disruption out. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/carobd ] || [ ! -x target/stand3 ]; then
	echo "build first: the line build of deploy/system.toml, then review/build-3.sh" >&2
	exit 2
fi
exec target/stand3 pending review/14/record.txt
