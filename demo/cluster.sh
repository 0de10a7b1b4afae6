# Starts and stops a small cluster on the loopback address: the stand-ins, two entries and
# five agents, each a process of its own. Sourced by run-demo.

base_port=${BASE_PORT:-17000}
platform_port=$base_port
platform="http://127.0.0.1:$platform_port"
peer_key="a-key-that-all-nodes-share"
session_key="a-key-that-all-entries-share"
pids=()

sha256() {
	printf %s "$1" | sha256sum | cut -d ' ' -f 1
}

launch() { # name command...
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=("$!")
	echo "$!" >"$work/$name.pid"
}

await() { # what url
	local tries=0
	until curl -fsS -o /dev/null "$2" 2>/dev/null; do
		tries=$((tries + 1))
		if [ "$tries" -gt 200 ]; then
			echo "$1 did not come up at $2; see $work" >&2
			return 1
		fi
		sleep 0.1
	done
}

common_settings() { # node role data-center peer-port
	cat <<EOF
node: $1
role: $2
region: cascadia-west
dataCenter: $3
peers:
  listen: 127.0.0.1:$4
  key: $peer_key
store:
  url: $platform
vms:
  url: $platform/vms
stopWithin: 20s
EOF
}

entry() { # name data-center offset
	local peer=$((base_port + $3)) callers=$((base_port + $3 + 1)) admin=$((base_port + $3 + 2))
	{
		common_settings "$1" entry "$2" "$peer"
		cat <<EOF
entry:
  listen: 127.0.0.1:$callers
  admin: 127.0.0.1:$admin
  rating: $platform/rate
  sessionKey: $session_key
  teams:
    - {team: technicians, keySha256: $(sha256 key-of-technicians)}
    - {team: office, keySha256: $(sha256 key-of-office)}
    - {team: bakers, keySha256: $(sha256 key-of-bakers)}
  operators:
    - {operator: ann, keySha256: $(sha256 key-of-ann)}
    - {operator: bo, keySha256: $(sha256 key-of-bo), teams: [bakers]}
EOF
	} >"$work/$1.yaml"
	list_vm "$1" entry "$2" "$peer"
	launch "$1" "$home/bin/gullsaddled" --settings "$work/$1.yaml"
}

agent() { # name data-center offset kind backend-port extra-setting
	local peer=$((base_port + $3)) status=$((base_port + $3 + 1))
	{
		common_settings "$1" agent "$2" "$peer"
		cat <<EOF
agent:
  kind: $4
  backend: http://127.0.0.1:$5
  status: 127.0.0.1:$status
  slots: ${SLOTS:-4}
  ${6:-}
EOF
	} >"$work/$1.yaml"
	list_vm "$1" agent "$2" "$peer"
	launch "$1" "$home/bin/gullsaddled" --settings "$work/$1.yaml"
}

list_vm() { # name role data-center peer-port
	curl -fsS -X PUT "$platform/vms/$1" -H 'Content-Type: application/json' \
		-d "{\"role\":\"$2\",\"region\":\"cascadia-west\",\"dataCenter\":\"$3\",\"address\":\"127.0.0.1:$4\",\"state\":\"live\"}"
}

start_cluster() {
	launch platform "$home/bin/standin" platform --port "$platform_port"
	launch engine-1 "$home/bin/standin" engine --port $((base_port + 101)) --models small@v1 --skill 0.8
	launch engine-2 "$home/bin/standin" engine --port $((base_port + 102)) --models small@v1,large@v1 --skill 0.8
	launch engine-3 "$home/bin/standin" engine --port $((base_port + 103)) --models large@v1 --skill 0.97
	launch engine-4 "$home/bin/standin" engine --port $((base_port + 104)) --models large@v2 --skill 0.97
	launch service "$home/bin/standin" service --port $((base_port + 105))
	await platform "$platform/vms" || return 1
	entry entry-1 cw-1 10
	entry entry-2 cw-2 20
	agent agent-1 cw-1 30 chat $((base_port + 101))
	agent agent-2 cw-2 40 chat $((base_port + 102))
	agent agent-3 cw-1 50 chat $((base_port + 103))
	agent agent-4 cw-2 60 chat $((base_port + 104))
	agent agent-5 cw-1 70 service $((base_port + 105)) 'versions: [scheduling@v1]'
	await entry-1 "http://127.0.0.1:$((base_port + 12))/health/live" || return 1
	await entry-2 "http://127.0.0.1:$((base_port + 22))/health/live" || return 1
	local offset
	for offset in 30 40 50 60 70; do
		await "agent at $offset" "http://127.0.0.1:$((base_port + offset + 1))/health/ready" || return 1
	done
}

# Ends what still runs of the processes started here, and no other.
stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
}
