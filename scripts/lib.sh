# Functions shared by run.sh and e2e.sh: they start the separate programs of the
# system on loopback and stop them by their process ids.

dir=$(mktemp -d)
host=127.0.0.1
# Process ids by name, and the names of the programs in the order of their start.
declare -A pid_of
started=()

stop_all() {
	local i name
	trap - EXIT INT TERM
	# The programs are stopped in reverse order, so that agents drain while their
	# entries still run.
	for ((i = ${#started[@]} - 1; i >= 0; i--)); do
		stop "${started[$i]}" TERM
	done
	for name in "${started[@]}"; do
		wait_for_exit "$name"
	done
	rm -rf "$dir"
}

# stop NAME SIGNAL sends a signal to a program that start has started.
stop() {
	kill "-$2" "${pid_of[$1]}" 2>/dev/null || true
}

wait_for_exit() {
	{ wait "${pid_of[$1]}" || true; } 2>/dev/null
}

# start NAME COMMAND... starts a program and appends its output to files.
start() {
	local name=$1
	shift
	"$@" >>"$dir/$name.out" 2>>"$dir/$name.log" &
	pid_of[$name]=$!
	started+=("$name")
}

fail() {
	echo "$1" >&2
	tail -n 5 "$dir"/*.log >&2 || true
	exit 1
}

port_in_use() {
	(exec 3<>"/dev/tcp/$host/$1") 2>/dev/null
}

# free_base prints a base port, a multiple of 100, for which all ports that the
# programs use are free.
free_base() {
	local candidate p used
	for _ in $(seq 50); do
		candidate=$((20000 + RANDOM % 120 * 100))
		used=no
		for p in 0 1 2 3 11 12 13 21 22 23 31 32 33 34 35 36 41 42 43 44 45 46; do
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

build_programs() {
	mkdir -p "$dir/bin"
	for program in entryd agentd carobctl standin; do
		go build -o "$dir/bin/$program" "./cmd/$program"
	done
	PATH="$dir/bin:$PATH"
}

# start_entry NUMBER OF BASE starts entry NUMBER of OF entries.
start_entry() {
	local i=$1 of=$2 base=$3 peers="" j
	for j in $(seq "$of"); do
		if [ "$j" != "$i" ]; then
			peers="$peers${peers:+,}entry-$j=$host:$((base + 10 + j))"
		fi
	done
	start "entry-$i" entryd --name "entry-$i" --domain "bud-$i" --listen "$host:$((base + i))" \
		--inner-listen "$host:$((base + 10 + i))" --admin-listen "$host:$((base + 20 + i))" \
		--peers "$peers" --log-addr "$host:$base" --operator-token-sha256 "$operator_hash"
}

# start_endpoint NUMBER SPEED BASE starts an endpoint.
start_endpoint() {
	local i=$1 speed=$2 base=$3
	start "endpoint-$i" standin endpoint --name "ep-$i" --listen "$host:$((base + 30 + i))" \
		--speed "$speed" --run-time 100ms --seed "$i"
}

# start_agent NUMBER ENTRIES BASE starts the agent beside an endpoint.
start_agent() {
	local i=$1 entries=$2 base=$3 list="" j
	for j in $(seq "$entries"); do
		list="$list${list:+,}$host:$((base + 10 + j))"
	done
	start "agent-$i" agentd --endpoint-id "ep-$i" --domain "bud-$(((i - 1) % 3 + 1))" --rack "rack-$i" \
		--listen "$host:$((base + 40 + i))" --endpoint-url "http://$host:$((base + 30 + i))" \
		--services booking.check,booking.confirm --slots 8 --entries "$list"
}

# start_system ENTRIES BASE starts the stand-in platform, the entries, and six
# endpoints of unequal speed with their agents in three failure domains.
start_system() {
	local entries=$1 base=$2 i
	local speeds=(1 0.5 2 1 0.7 1.5)
	operator_hash=$(carobctl hash "$CAROB_OPERATOR_TOKEN")
	start log standin log --listen "$host:$base"
	for i in $(seq "$entries"); do
		start_entry "$i" "$entries" "$base"
	done
	for i in 1 2 3 4 5 6; do
		start_endpoint "$i" "${speeds[$((i - 1))]}" "$base"
		start_agent "$i" "$entries" "$base"
	done
}

# apply_catalogue FILE BASE_VERSION applies a catalogue. It retries while the
# programs start.
apply_catalogue() {
	local i
	for i in $(seq 100); do
		if carobctl apply --base "$2" --id "demo-$2" "$1" >"$dir/apply.out" 2>&1; then
			cat "$dir/apply.out"
			return
		fi
		sleep 0.2
	done
	fail "the catalogue was not accepted: $(cat "$dir/apply.out")"
}

# set_log_faults BASE JSON sets the faults of the stand-in log.
set_log_faults() {
	local status
	exec 3<>"/dev/tcp/$host/$1"
	printf 'PUT /faults HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' "${#2}" "$2" >&3
	read -r status <&3
	exec 3>&-
	case "$status" in
	*" 20"*) ;;
	*) fail "the log's faults were not set: $status" ;;
	esac
}
