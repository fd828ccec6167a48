#!/usr/bin/env bash
# Plays quick scores of the deployments that must hold. Needs the users' kit: KIT is the folder
# that holds the site files, and BENCH the bench's program. Usage:
# KIT=DIR BENCH=PROGRAM scripts/regress.sh [all]; "all" adds the sites played before a landing only.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d "${KIT:-}" ] || [ ! -x "${BENCH:-}" ]; then
	echo "regress: set KIT to the folder of the site files and BENCH to the bench's program" >&2
	exit 2
fi
sites=(
	further/rivaltz-ops
	further-grown/rivaltz-ops-grown
	shifted/hkbosz-sched-now-grown
	grown/hkbosz-sched-grown
	grown/merchkoop-prod-grown
	large/hkbosz-sched-large
)
if [ "${1:-}" = all ]; then
	sites+=(sites/hkbosz-sched sites/merchkoop-prod)
fi
for site in "${sites[@]}"; do
	"$BENCH" score "$KIT/$site.toml" --quick --jobs "${JOBS:-3}" --why "regression: $site"
done
