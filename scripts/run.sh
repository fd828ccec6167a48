#!/usr/bin/env bash
# Starts the stand-in platform, two entries, and six endpoints of unequal speed
# with their agents in three failure domains, all on loopback; submits a sample
# job and prints its answer. The system then runs until Ctrl-C. With --smoke the
# script uses free ports, submits a job of 120 tasks, checks the answer and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT
trap 'exit 130' INT TERM

smoke=no
base=7100
tasks=12
if [ "${1:-}" = "--smoke" ]; then
	smoke=yes
	base=$(free_base)
	tasks=120
fi

echo "building"
build_programs

export CAROB_OPERATOR_TOKEN=demo-operator
export CAROB_TOKEN=demo-token
export CAROB_ENTRY="http://$host:$((base + 21))"
export CAROB_API="http://$host:$((base + 1))"
start_system 2 "$base"
apply_catalogue examples/demo.yaml 0

submit() {
	carobctl job submit --key "sample-1" --service booking.check --tasks "$tasks" --job-timeout 60s --wait
}

echo "submitting a job of $tasks tasks"
submit >"$dir/answer.json" 2>"$dir/submit.err" || fail "the job failed: $(cat "$dir/submit.err")"
cat "$dir/answer.json"

if [ "$smoke" = yes ]; then
	# A resubmission through the other entry returns the same answer.
	CAROB_API="http://$host:$((base + 2))" submit >"$dir/again.json" || fail "the resubmission failed"
	cmp "$dir/answer.json" "$dir/again.json" || fail "the two answers differ"
	grep -q '"outcome":"complete"' "$dir/answer.json" || fail "the job is not complete"
	[ "$(grep -o '"phase":"done"' "$dir/answer.json" | wc -l)" = "$tasks" ] || fail "tasks are missing"
	echo "smoke: a job of $tasks tasks is complete, and its resubmission got the same answer"
	exit 0
fi

cat <<END

callers' API   http://$host:$((base + 1)) and http://$host:$((base + 2)), token $CAROB_TOKEN
operators' API http://$host:$((base + 21)) and http://$host:$((base + 22)), token $CAROB_OPERATOR_TOKEN
logs           $dir/*.log
stop with Ctrl-C
END
wait
