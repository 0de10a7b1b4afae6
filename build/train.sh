# Makes target/app.jsa by a short run of the real program against stand-ins on loopback,
# with the options that deploy/system.toml names. Sourced by build/deploy.sh.
#
# The run records which classes it loads and links; a second step writes them, linked, into
# one archive over the runtime's own. It is named as a shared archive at a start, as the
# platform's options exclude the newer name for it; the virtual machine reads it the same.
words=$(sed -n 's/^run = "[^ ]* \(.*\)"$/\1/p' deploy/system.toml | sed 's/-XX:SharedArchiveFile=[^ ]*//')

# The options of the machines: an archive of another heap or collector is not used.
machine="-XX:+UseSerialGC -XX:-UsePerfData -XX:TieredStopAtLevel=1 -Djava.net.preferIPv4Stack=true"

# Rehearses once on five ports from a given one; fails if they are not all free.
rehearse() {
	rm -f target/rehearsal.yaml
	java -cp "platform/standin/target/gullsaddle-platform-standin-0.1.0-SNAPSHOT.jar:platform/standin/target/lib/*" \
		org.gullsaddle.platform.standin.Rehearsal --port "$1" --settings target/rehearsal.yaml >target/rehearsal.log 2>&1 &
	local standin=$!
	while kill -0 "$standin" 2>/dev/null && [ ! -s target/rehearsal.yaml ]; do
		sleep 0.05
	done
	set -f
	JAVA_TOOL_OPTIONS="$machine" GULLSADDLE_METRICS_PORT=$(($1 + 4)) GULLSADDLE_CONFIG=target/rehearsal.yaml \
		target/runtime/bin/java -XX:AOTMode=record -XX:AOTConfiguration=target/app.aotconf $words >>target/rehearsal.log 2>&1 &
	local gateway=$!
	set +f
	local ended=0
	wait "$standin" || ended=1
	kill -TERM "$gateway" 2>/dev/null || true
	wait "$gateway" || true
	[ "$ended" -eq 0 ] && [ -s target/app.aotconf ]
}

# Two builds at once on one machine must not meet at the same ports: the one that found them
# taken would make no archive, and its gateways would start three times slower.
for _ in 1 2 3 4 5; do
	rehearse $((17800 + 5 * (RANDOM % 1000))) && break
done
if [ -s target/app.aotconf ]; then
	set -f
	JAVA_TOOL_OPTIONS="$machine" target/runtime/bin/java -XX:AOTMode=create -XX:AOTConfiguration=target/app.aotconf \
		-XX:AOTCache=target/app.jsa $words >>target/rehearsal.log 2>&1 || true
	set +f
	rm -f target/app.aotconf
fi
[ -s target/app.jsa ] || echo "no archive of classes was made, see target/rehearsal.log; starts will be slower" >&2
