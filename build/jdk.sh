# Sets JAVA_HOME to a JDK of version 21 or later: that of JAVA_HOME, of the PATH, or the
# newest in the system's JVM folder. Sourced by the other scripts.

jdk_version() {
	"$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

jdk_is_usable() {
	[ -n "$1" ] && [ -x "$1/bin/javac" ] && [ "$(jdk_version "$1")" -ge 21 ] 2>/dev/null
}

jdk_choose() {
	if jdk_is_usable "${JAVA_HOME:-}"; then
		return 0
	fi
	local on_path
	on_path=$(command -v javac 2>/dev/null) && on_path=$(dirname "$(dirname "$(readlink -f "$on_path")")")
	local each
	for each in "$on_path" $(ls -d /usr/lib/jvm/* /Library/Java/JavaVirtualMachines/*/Contents/Home 2>/dev/null | sort -rV); do
		if jdk_is_usable "$each"; then
			export JAVA_HOME="$each"
			return 0
		fi
	done
	echo "gullsaddle needs a JDK of version 21 or later; none was found by JAVA_HOME, on the PATH or in the system's JVM folder" >&2
	return 1
}

jdk_choose || return 1 2>/dev/null || exit 1
export PATH="$JAVA_HOME/bin:$PATH"
# Keeps Maven's own libraries from printing warnings about the newer JDK.
export MAVEN_OPTS="${MAVEN_OPTS:-} -XX:+IgnoreUnrecognizedVMOptions --sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED"
