# Starts the demonstration's cluster for a tour. Source it: . demo/tour.sh; stop_all ends it.

home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$home/build/jdk.sh"
. "$home/demo/cluster.sh"
work=$(mktemp -d)
export GULLSADDLE_ADMIN="http://127.0.0.1:$((base_port + 12))" GULLSADDLE_KEY=key-of-ann
if start_cluster; then
	echo "the cluster runs; its logs are in $work, and stop_all ends it"
fi
