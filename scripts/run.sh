#!/usr/bin/env bash
# Starts the stand-in platform, two entries, and six endpoints of unequal speed
# with their agents in three failure domains, all on loopback; submits a sample
# job and prints its answer. Then it serves until Ctrl-C. With --smoke it uses
# free ports, submits a job of 120 tasks, checks the answer and exits.
set -euo pipefail
cd "$(dirname "$0")/.."

smoke=no
base=7100
if [ "${1:-}" = "--smoke" ]; then
	smoke=yes
fi

dir=$(mktemp -d)
pids=()

stop_all() {
	local pid
	trap - EXIT INT TERM
	# Started last, stopped first: agents drain while their entries still run.
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[$i]}" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

port_in_use() {
	(exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

free_base() {
	local candidate p used
	for _ in $(seq 50); do
		candidate=$((20000 + RANDOM % 300 * 100))
		used=no
		for p in 0 1 2 11 12 21 22 31 32 33 34 35 36 41 42 43 44 45 46; do
			if port_in_use $((candidate + p)); then used=yes; fi
		done
		if [ "$used" = no ]; then
			echo "$candidate"
			return
		fi
	done
	echo "no free ports found" >&2
	exit 1
}

start() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pids+=($!)
}

fail() {
	echo "$1" >&2
	tail -n 5 "$dir"/*.log >&2 || true
	exit 1
}

if [ "$smoke" = yes ]; then
	base=$(free_base)
fi

echo "building"
mkdir -p "$dir/bin"
for program in entryd agentd carobctl standin; do
	go build -o "$dir/bin/$program" "./cmd/$program"
done
PATH="$dir/bin:$PATH"

host=127.0.0.1
export CAROB_OPERATOR_TOKEN=demo-operator
operator_hash=$(carobctl hash demo-operator)
log_addr="$host:$base"
inner_1="$host:$((base + 11))"
inner_2="$host:$((base + 12))"

start log standin log --listen "$host:$base"
start entry-1 entryd --name entry-1 --domain bud-1 --listen "$host:$((base + 1))" \
	--inner-listen "$inner_1" --admin-listen "$host:$((base + 21))" \
	--peers "entry-2=$inner_2" --log-addr "$log_addr" --operator-token-sha256 "$operator_hash"
start entry-2 entryd --name entry-2 --domain bud-2 --listen "$host:$((base + 2))" \
	--inner-listen "$inner_2" --admin-listen "$host:$((base + 22))" \
	--peers "entry-1=$inner_1" --log-addr "$log_addr" --operator-token-sha256 "$operator_hash"

speeds=(1 0.5 2 1 0.7 1.5)
for i in 1 2 3 4 5 6; do
	domain="bud-$(((i - 1) % 3 + 1))"
	start "endpoint-$i" standin endpoint --name "ep-$i" --listen "$host:$((base + 30 + i))" \
		--speed "${speeds[$((i - 1))]}" --run-time 100ms --seed "$i"
	start "agent-$i" agentd --id "ep-$i" --domain "$domain" --rack "rack-$i" \
		--listen "$host:$((base + 40 + i))" --endpoint-url "http://$host:$((base + 30 + i))" \
		--services booking.check,booking.confirm --slots 8 --entries "$inner_1,$inner_2"
done

export CAROB_ENTRY="http://$host:$((base + 21))"
export CAROB_API="http://$host:$((base + 1))"
export CAROB_TOKEN=demo-token
applied=no
for _ in $(seq 100); do
	if carobctl apply --base 0 --change-id demo-1 examples/demo.yaml >"$dir/apply.out" 2>&1; then
		applied=yes
		break
	fi
	sleep 0.2
done
[ "$applied" = yes ] || fail "the catalogue was not accepted: $(cat "$dir/apply.out")"
cat "$dir/apply.out"

tasks=12
[ "$smoke" = yes ] && tasks=120
echo "submitting a job of $tasks tasks"
carobctl job submit --key "sample-1" --service booking.check --tasks "$tasks" \
	--timeout 60s --wait >"$dir/answer.json" 2>"$dir/submit.err" || fail "the job failed: $(cat "$dir/submit.err")"
cat "$dir/answer.json"

if [ "$smoke" = yes ]; then
	# A resubmission through the other entry returns the same answer.
	CAROB_API="http://$host:$((base + 2))" carobctl job submit --key "sample-1" --service booking.check \
		--tasks "$tasks" --timeout 60s --wait >"$dir/again.json" || fail "the resubmission failed"
	cmp "$dir/answer.json" "$dir/again.json" || fail "the two answers differ"
	grep -q '"outcome":"complete"' "$dir/answer.json" || fail "the job is not complete"
	[ "$(grep -o '"phase":"done"' "$dir/answer.json" | wc -l)" = "$tasks" ] || fail "tasks are missing"
	echo "smoke: a job of $tasks tasks is complete, and its resubmission got the same answer"
	exit 0
fi

cat <<END

callers' API   http://$host:$((base + 1)) and http://$host:$((base + 2)), token demo-token
operators' API http://$host:$((base + 21)) and http://$host:$((base + 22)), token demo-operator
logs           $dir/*.log
stop with Ctrl-C
END
wait
