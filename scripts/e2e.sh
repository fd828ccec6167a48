#!/usr/bin/env bash
# Runs three entries, six endpoints and their agents as separate programs under
# load. Meanwhile it kills an entry and an agent, stops one of each with SIGTERM,
# takes a failure domain out of service and back, and makes the log unavailable.
# The result depends on the endpoints' own records of starts, not on timing: no
# task starts twice, and every job gets a complete answer or a refusal that agrees
# with the records.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
trap stop_all EXIT
trap 'exit 130' INT TERM

base=$(free_base)
echo "building"
build_programs
go build -o "$dir/bin/bench" ./cmd/bench

export CAROB_OPERATOR_TOKEN=demo-operator
export CAROB_TOKEN=demo-token
export CAROB_ENTRY="http://$host:$((base + 23))"
start_system 3 "$base"
sed 's/^  - entry-2$/  - entry-2\n  - entry-3/' examples/demo.yaml >"$dir/catalogue.yaml"
apply_catalogue "$dir/catalogue.yaml" 0

load_args=(--clients 12 --tasks 20 --duration 45s)
for i in 1 2 3; do load_args+=(--entry "http://$host:$((base + i))"); done
for i in 1 2 3 4 5 6; do load_args+=(--endpoint "http://$host:$((base + 30 + i))"); done
bench load "${load_args[@]}" >"$dir/load.json" 2>"$dir/load.err" &
load_pid=$!

step() {
	echo "e2e: $1"
}

# restart NAME FUNCTION ARGUMENTS... starts a stopped program again.
restart() {
	local name=$1
	shift
	wait_for_exit "$name"
	"$@"
}

sleep 5
step "kill the agent of endpoint 2"
stop agent-2 KILL
sleep 3
restart agent-2 start_agent 2 3 "$base"
step "kill entry 1"
stop entry-1 KILL
sleep 6
restart entry-1 start_entry 1 3 "$base"
step "stop the agent of endpoint 5 with SIGTERM"
stop agent-5 TERM
restart agent-5 start_agent 5 3 "$base"
step "take domain bud-1 out"
carobctl domain out bud-1
sleep 4
step "take domain bud-1 in"
carobctl domain in bud-1
step "stop entry 2 with SIGTERM"
stop entry-2 TERM
restart entry-2 start_entry 2 3 "$base"
sleep 3
step "log down for 5 s"
set_log_faults "$base" '{"outage": true}'
sleep 5
set_log_faults "$base" '{"delay_ms": 3}'
step "end of the load"
if ! wait "$load_pid"; then
	cat "$dir/load.json" "$dir/load.err"
	fail "e2e: the answers and the record of starts disagree"
fi
cat "$dir/load.json"
echo "e2e: no task started twice, and every answer agrees with the record of starts"
